package policy

import "time"

// The work of the routes of one service may differ by a factor of a hundred, so that a single
// typical latency would describe none of them. The expected latency of a request, and thereby
// whether it is overdue, is derived from the answers to its own route. The slowness of a server is
// one value for all routes.
const (
	// minRouteWeight is the minimum weight of one answer in the moving averages of a route's
	// latency and answer size; the first answers have a higher weight.
	minRouteWeight = 0.05
	// priorRouteAnswers is the number of answers that the service's typical latency counts for.
	priorRouteAnswers = 2
	// minRouteAnswers is the number of answers required before requests are refused, or yield to
	// others, because of a route's typical latency. The newest answer must be no older than
	// routeLatencyTTL: refused requests bring no answers, so that a wrong estimate would never be
	// corrected.
	minRouteAnswers = 3
	routeLatencyTTL = 5 * time.Second
	// slownessWeight is the weight of one answer in the moving average of a server's slowness.
	slownessWeight = 0.2
	// minSlowness and maxSlowness limit the influence of one answer on a server's slowness.
	minSlowness = 0.05
	maxSlowness = 20.0
)

// route holds the statistics of this host about the good answers of one route.
type route struct {
	answers        int
	newestAt       time.Time     // when the newest answer came
	typicalLatency time.Duration // to the header, on an idle server of typical speed
	bytes          float64       // of the body
}

// record adds a good answer. The first answers are averaged with the typical latency of the
// service, because any of them may be an outlier.
func (r *route) record(now time.Time, atIdle time.Duration, bytes float64) {
	r.answers++
	r.newestAt = now
	gain := max(1/float64(r.answers+priorRouteAnswers), minRouteWeight)
	r.typicalLatency += time.Duration(gain * float64(atIdle-r.typicalLatency))
	r.bytes += max(1/float64(r.answers), minRouteWeight) * (bytes - r.bytes)
}

// route returns the statistics of a route, creating them if needed.
func (t *Table) route(svc *service, group string) *route {
	r, ok := t.routes[group]
	if !ok {
		r = &route{typicalLatency: svc.typicalLatency}
		t.routes[group] = r
	}
	return r
}

// typicalLatency is the typical latency of a route, or that of its service if this host has seen no
// answer of the route.
func (t *Table) typicalLatency(svc *service, group string) time.Duration {
	if r, ok := t.routes[group]; ok && r.answers > 0 && t.has(MechanismRouteLatency) {
		return r.typicalLatency
	}
	return svc.typicalLatency
}

// routeIfKnown returns a route whose typical latency is known from recent answers, otherwise nil.
func (t *Table) routeIfKnown(now time.Time, group string) *route {
	r, ok := t.routes[group]
	if !ok || r.answers < minRouteAnswers || now.Sub(r.newestAt) > routeLatencyTTL {
		return nil
	}
	return r
}

// expireRoutes drops routes without an answer for stateTTL: they may have been removed.
func (t *Table) expireRoutes(now time.Time) {
	for group, r := range t.routes {
		if now.Sub(r.newestAt) > stateTTL {
			delete(t.routes, group)
		}
	}
}

// typicalBytes is the typical size of a route's answers, 0 if unknown.
func (t *Table) typicalBytes(group string) float64 {
	if r, ok := t.routes[group]; ok {
		return r.bytes
	}
	return 0
}

// recordSlowness updates the server's slowness with the latency of answers relative to what is
// typical.
func (s *server) recordSlowness(ratio float64) {
	ratio = min(max(ratio, minSlowness), maxSlowness)
	s.slowness += slownessWeight * (ratio - s.slowness)
}

// estimate is the expected time to the header of a request's answer, including the queue.
type estimate struct {
	// atTypicalSpeed is the latency on a server of typical speed, expected that on this server.
	atTypicalSpeed time.Duration
	expected       time.Duration
	// work is the part of atTypicalSpeed that the request itself takes.
	work time.Duration
}

// estimate combines the typical latency of the request's route, the queue ahead of it, and the
// server's slowness.
func (s *server) estimate(now time.Time, svc *service, typical time.Duration, load float64) estimate {
	e := estimate{work: max(typical, time.Microsecond)}
	e.atTypicalSpeed = e.work + time.Duration(float64(svc.typicalLatency)*s.queuedPerSlot(load))
	slowness := s.slowness
	if now.Before(s.coldUntil) {
		slowness *= coldSlowdown
	}
	e.expected = time.Duration(float64(e.atTypicalSpeed) * slowness)
	return e
}

// queuedPerSlot is the number of requests per slot that a server must complete before it starts
// another one.
func (s *server) queuedPerSlot(load float64) float64 {
	slots := float64(max(s.slots, 1))
	return max(load+1-slots, 0) / slots
}
