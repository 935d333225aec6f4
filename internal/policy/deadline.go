package policy

import "time"

// Routes of one service may have very different deadlines. A queue that is acceptable for the route
// with the longest deadline may exceed that of the route with the shortest one, whose requests then
// all time out in the queue. While requests with short deadlines arrive, those with considerably
// more time are therefore not allowed to extend the queue beyond what the others can wait.

const (
	// deadlineTTL is how long the allowed time of a route is considered after its last request.
	deadlineTTL = 5 * time.Second
	// yieldRatio is the multiple of the shortest allowed time from which on a request yields to
	// those with shorter deadlines.
	yieldRatio = 1.5
	// maxQueueShare is the share of the shortest allowed time that may be spent in the queue; the
	// rest is for the work itself and for servers that are slower than expected.
	maxQueueShare = 0.4
	// waitedQueueShare is the same for requests that wait in the host: they go on as soon as there
	// is room, so that the queue would always stand at its limit. With 0.4 fewer requests with
	// short deadlines were served in time than without any waiting (mixed-timeouts).
	waitedQueueShare = 0.05
)

// routeDeadline is the longest time allowed to a route's recent requests on arrival, and the time
// of the last one. The maximum is used because callers that retry have less time left than the
// route allows.
type routeDeadline struct {
	allowed time.Duration
	at      time.Time
}

// recordDeadline records how much time a request of a route is allowed.
func (svc *service) recordDeadline(now time.Time, req Request) {
	if !req.FirstAttempt || req.Waited {
		return
	}
	allowed := req.Deadline.Sub(req.ReceivedAt)
	if before, known := svc.deadlines[req.Group]; known && now.Sub(before.at) <= deadlineTTL {
		allowed = max(allowed, before.allowed)
	}
	svc.deadlines[req.Group] = routeDeadline{allowed: allowed, at: now}
}

// shortestDeadline is the shortest time allowed to requests of a route in use, 0 if there is none.
func (svc *service) shortestDeadline(now time.Time) time.Duration {
	shortest := time.Duration(0)
	for group, p := range svc.deadlines {
		switch {
		case now.Sub(p.at) > deadlineTTL:
			delete(svc.deadlines, group)
		case shortest == 0 || p.allowed < shortest:
			shortest = p.allowed
		}
	}
	return shortest
}

// mustYield reports whether a request must not extend the queue: it has the time to wait in it, but
// requests with shorter deadlines have not. fairness scales the queue that it may extend.
func (svc *service) mustYield(now time.Time, req Request, e estimate, fairness float64) bool {
	return e.exceedsQueue(svc.yieldsTo(now, req), fairness*maxQueueShare)
}

// exceedsQueue reports whether the queue takes more than a share of the shortest allowed time, 0 for
// none.
func (e estimate) exceedsQueue(shortest time.Duration, share float64) bool {
	queue := float64(e.expected) * (1 - float64(e.work)/float64(e.atTypicalSpeed))
	return shortest > 0 && queue > share*float64(shortest)
}

// yieldsTo is the shortest time allowed to requests that a request must leave queues to, 0 if there
// are none.
func (svc *service) yieldsTo(now time.Time, req Request) time.Duration {
	shortest := svc.shortestDeadline(now)
	if float64(req.Deadline.Sub(req.ReceivedAt)) < yieldRatio*float64(shortest) {
		return 0
	}
	return shortest
}
