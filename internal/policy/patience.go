package policy

import "time"

// Routes of one service may have very different times to answer. A queue that suits the route with
// the longest is longer than the whole time of the one with the shortest, whose requests then all
// run out of time in it. So while requests with little time come, those with much more of it do
// not lengthen the queue beyond what the others can wait.

const (
	// deadlineTTL is for how long a route's time counts after its last request.
	deadlineTTL = 5 * time.Second
	// yieldRatio times the shortest time of the service's routes is what a request must have to make
	// room.
	yieldRatio = 1.5
	// maxQueueShare of the shortest time may pass in the queue; the rest is for the work and for
	// servers that are slower than expected.
	maxQueueShare = 0.4
)

// routeDeadline is the most time that a route's requests had of late when they came, and when the last
// one came. Callers that return have less left than the route allows.
type routeDeadline struct {
	allowed time.Duration
	at      time.Time
}

// recordDeadline keeps how much time the requests of a route have.
func (svc *service) recordDeadline(now time.Time, req Request) {
	if !req.First {
		return
	}
	allowed := req.Deadline.Sub(req.Asked)
	if before, known := svc.deadlines[req.Group]; known && now.Sub(before.at) <= deadlineTTL {
		allowed = max(allowed, before.allowed)
	}
	svc.deadlines[req.Group] = routeDeadline{allowed: allowed, at: now}
}

// shortestDeadline is the least time that requests of a route have which comes now, 0 if there is
// none.
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

// mustYield reports whether a request must not lengthen the queue, which it could wait in but others
// could not.
func (svc *service) mustYield(now time.Time, req Request, e estimate) bool {
	shortest := svc.shortestDeadline(now)
	if float64(req.Deadline.Sub(req.Asked)) < yieldRatio*float64(shortest) {
		return false
	}
	queue := float64(e.expected) * (1 - float64(e.work)/float64(e.atTypicalSpeed))
	return shortest > 0 && queue > maxQueueShare*float64(shortest)
}
