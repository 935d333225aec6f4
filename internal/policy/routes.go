package policy

import "time"

// Routes of one service may differ in their work a hundredfold, so that one usual
// time for all says nothing about any: what is expected of a request, and with it
// whether it is overdue, goes by the answers to its own route. How much slower than
// others a server is, is one figure for all routes.
const (
	// minRouteWeight is the least weight of one answer in the usual time and size of a
	// route; the first ones weigh more.
	minRouteWeight = 0.05
	// priorRouteAnswers is how many answers the usual time of the service counts for.
	priorRouteAnswers = 2
	// minRouteAnswers are needed before requests are refused, or make room, by the usual
	// time of a route, and the newest must have come within knownFor: what is refused
	// brings no answer, so that a wrong figure would never be put right.
	minRouteAnswers = 3
	routeLatencyTTL = 5 * time.Second
	// slownessWeight is the weight of one answer in the slowness of a server.
	slownessWeight = 0.2
	// minSlowness and mostSlowness bound what one answer can say of a server.
	minSlowness = 0.05
	maxSlowness = 20.0
)

// route is what this host knows of the good answers to one route.
type route struct {
	answers        int
	newestAt       time.Time     // when the newest came
	typicalLatency time.Duration // to the header, at an idle server of usual speed
	bytes          float64       // of the body
}

// record notes a good answer. The first ones are weighed with what is usual for the
// service: any of them may be an odd one.
func (r *route) record(now time.Time, atIdle time.Duration, bytes float64) {
	r.answers++
	r.newestAt = now
	gain := max(1/float64(r.answers+priorRouteAnswers), minRouteWeight)
	r.typicalLatency += time.Duration(gain * float64(atIdle-r.typicalLatency))
	r.bytes += max(1/float64(r.answers), minRouteWeight) * (bytes - r.bytes)
}

// route returns the row of a route, made if absent.
func (t *Table) route(svc *service, group string) *route {
	r, ok := t.routes[group]
	if !ok {
		r = &route{typicalLatency: svc.typicalLatency}
		t.routes[group] = r
	}
	return r
}

// typicalLatency is the typicalLatency time of a request's route, that of its service if the route
// has had no answer here.
func (t *Table) typicalLatency(svc *service, group string) time.Duration {
	if r, ok := t.routes[group]; ok && r.answers > 0 && t.has(MechanismRouteLatency) {
		return r.typicalLatency
	}
	return svc.typicalLatency
}

// routeIfKnown returns a route whose usual time is known by answers of late, nil if it
// is not.
func (t *Table) routeIfKnown(now time.Time, group string) *route {
	r, ok := t.routes[group]
	if !ok || r.answers < minRouteAnswers || now.Sub(r.newestAt) > routeLatencyTTL {
		return nil
	}
	return r
}

// expireRoutes drops routes without an answer for long: they may be gone.
func (t *Table) expireRoutes(now time.Time) {
	for group, r := range t.routes {
		if now.Sub(r.newestAt) > stateTTL {
			delete(t.routes, group)
		}
	}
}

// typicalBytes is the usual size of an answer to a route, 0 if unknown.
func (t *Table) typicalBytes(group string) float64 {
	if r, ok := t.routes[group]; ok {
		return r.bytes
	}
	return 0
}

// recordSlowness notes how slow answers were, 1 for the usual time.
func (s *server) recordSlowness(ratio float64) {
	ratio = min(max(ratio, minSlowness), maxSlowness)
	s.slowness += slownessWeight * (ratio - s.slowness)
}

// estimate is how long a request takes to its header at a server, queue included.
type estimate struct {
	// atTypicalSpeed is the time at a server of usual speed, expected that at this one.
	atTypicalSpeed time.Duration
	expected       time.Duration
	// work is the part of atUsual that is the request's own.
	work time.Duration
}

// estimate goes by the usual time of the request's route, by the queue that is
// ahead of it, and by the server's slowness.
func (s *server) estimate(now time.Time, svc *service, usual time.Duration, load float64) estimate {
	e := estimate{work: max(usual, time.Microsecond)}
	e.atTypicalSpeed = e.work + time.Duration(float64(svc.typicalLatency)*s.queuedPerSlot(load))
	slowness := s.slowness
	if now.Before(s.coldUntil) {
		slowness *= coldSlowdown
	}
	e.expected = time.Duration(float64(e.atTypicalSpeed) * slowness)
	return e
}

// queuedPerSlot is how many requests must end at a server before one more begins, for
// each slot.
func (s *server) queuedPerSlot(load float64) float64 {
	slots := float64(max(s.slots, 1))
	return max(load+1-slots, 0) / slots
}
