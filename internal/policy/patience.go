package policy

import "time"

// Routes of one service may have very different times to answer. A queue that suits the route with
// the longest is longer than the whole time of the one with the shortest, whose requests then all
// run out of time in it. So while requests with little time come, those with much more of it do
// not lengthen the queue beyond what the others can wait.

const (
	// patienceFor is for how long a route's time counts after its last request.
	patienceFor = 5 * time.Second
	// muchMore times the shortest time of the service's routes is what a request must have to make
	// room.
	muchMore = 1.5
	// queueShare of the shortest time may pass in the queue; the rest is for the work and for
	// servers that are slower than expected.
	queueShare = 0.4
)

// patience is the most time that a route's requests had of late when they came, and when the last
// one came. Callers that return have less left than the route allows.
type patience struct {
	allowed time.Duration
	at      time.Time
}

// notePatience keeps how much time the requests of a route have.
func (svc *service) notePatience(now time.Time, req Request) {
	if !req.First {
		return
	}
	allowed := req.Deadline.Sub(req.Asked)
	if before, known := svc.patience[req.Group]; known && now.Sub(before.at) <= patienceFor {
		allowed = max(allowed, before.allowed)
	}
	svc.patience[req.Group] = patience{allowed: allowed, at: now}
}

// shortestPatience is the least time that requests of a route have which comes now, 0 if there is
// none.
func (svc *service) shortestPatience(now time.Time) time.Duration {
	shortest := time.Duration(0)
	for group, p := range svc.patience {
		switch {
		case now.Sub(p.at) > patienceFor:
			delete(svc.patience, group)
		case shortest == 0 || p.allowed < shortest:
			shortest = p.allowed
		}
	}
	return shortest
}

// makesRoom reports whether a request must not lengthen the queue, which it could wait in but others
// could not.
func (svc *service) makesRoom(now time.Time, req Request, e estimate) bool {
	shortest := svc.shortestPatience(now)
	if float64(req.Deadline.Sub(req.Asked)) < muchMore*float64(shortest) {
		return false
	}
	queue := float64(e.expected) * (1 - float64(e.work)/float64(e.atUsual))
	return shortest > 0 && queue > queueShare*float64(shortest)
}
