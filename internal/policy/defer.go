package policy

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/world"
)

// A server's own queue is first in, first out. Where the routes of a service differ much in the time
// that they have, requests with much time fill all slots and queues in a burst, and those with little
// time wait behind them. Requests with much time therefore wait in the host until a slot is free
// (package waitqueue), so that the others find short queues. Requests that may not extend the
// servers' queues because of shorter deadlines wait there too, instead of being refused: then only
// the slots that the requests with shorter deadlines in fact use are kept from them.

const (
	// DefaultDeferralRatio is the multiple of the shortest latency objective of a service from which
	// on requests wait in the host. Below it, a request that waited for requests with less time
	// would have little time left itself.
	DefaultDeferralRatio = 3.0
	// objectiveTTL is how long a route's objective is considered after its last request. A host
	// may see a route with little time every two seconds only.
	objectiveTTL = 10 * time.Second
	// startQuantile is the quantile of latencies, relative to the expected one, that a request
	// must have time for when it is started.
	startQuantile = 0.75
	// freeSlotCost is how much more than the best server one of this data centre with a free slot may
	// cost for a request that would wait otherwise. It is below the cost of a server that is likely
	// to be failing. The loads of other data centres are not known as well: with their servers all
	// slots were full before requests with little time came.
	freeSlotCost = 0.1
)

// NoFreeSlot is the error of a Pick for a request that should wait in the host, because no server is
// known to have a free slot for it, or because it would extend a queue that requests with shorter
// deadlines wait in.
type NoFreeSlot struct {
	// Until is the latest time at which starting the request gives an answer within its objective.
	Until time.Time
}

// Error implements the error interface.
func (e *NoFreeSlot) Error() string { return "no backend server has a free slot for the request" }

// routeObjective is a route's latency objective and the time of its last request.
type routeObjective struct {
	objective time.Duration
	at        time.Time
}

// recordObjective records the latency objective of a request's route.
func (svc *service) recordObjective(now time.Time, req Request) {
	if req.FirstAttempt && !req.Waited && req.Objective > 0 {
		svc.objectives[req.Group] = routeObjective{req.Objective, now}
	}
}

// deferralRatio is Config.DeferralRatio or its default.
func (t *Table) deferralRatio() float64 {
	if t.conf.DeferralRatio <= 0 {
		return DefaultDeferralRatio
	}
	return t.conf.DeferralRatio
}

// shortestObjective is the shortest latency objective of the routes in use, 0 if there is none.
func (svc *service) shortestObjective(now time.Time) time.Duration {
	shortest := time.Duration(0)
	for group, o := range svc.objectives {
		switch {
		case now.Sub(o.at) > objectiveTTL:
			delete(svc.objectives, group)
		case shortest == 0 || o.objective < shortest:
			shortest = o.objective
		}
	}
	return shortest
}

// mayWait reports whether a request can wait in the host: nothing has been sent for it.
func (t *Table) mayWait(req Request) bool {
	return req.MayWait && !req.Retry && !req.Parallel && !req.Deadline.IsZero() && t.has(MechanismWaitQueue)
}

// isDeferrable reports whether a request leaves the queues of servers to requests of routes with a
// much shorter objective.
func (t *Table) isDeferrable(now time.Time, svc *service, view *world.ServiceView, req Request) bool {
	ratio := t.deferralRatio()
	if req.Objective <= 0 || view.ShortestObjective <= 0 || float64(view.LongestObjective) < ratio*float64(view.ShortestObjective) {
		return false
	}
	shortest := svc.shortestObjective(now)
	return shortest > 0 && float64(req.Objective) >= ratio*float64(shortest)
}

// withFreeSlot returns the choice of a server with a free slot, instead of the best one, for a request
// that was to wait. ok is false if there is none that is worth it.
func (c choice) withFreeSlot(err error) (choice, bool) {
	if _, waits := err.(*NoFreeSlot); !waits || c.free == nil || c.free == c.server || c.freeCost > c.cost+freeSlotCost {
		return choice{}, false
	}
	return choice{server: c.free, state: c.freeState, cost: c.freeCost, eligible: c.eligible}, true
}

// hasStandingQueue reports whether so many answers are late that requests of this strictness are refused:
// a queue that does not drain only delays what waits for it.
func (svc *service) hasStandingQueue(now time.Time, strictness float64) bool {
	return svc.lateShare(now) > strictness*standingShare
}

// deferred returns a NoFreeSlot for a request that is to wait in the host, otherwise nil. best is
// its best server, without a server if all are full.
func (t *Table) deferred(now time.Time, svc *service, view *world.ServiceView, best choice, req Request) error {
	if !t.mayWait(req) || best.server != nil && req.isLimited(best.server) {
		return nil // where servers announce a rate limit, a free slot is no room
	}
	typical := t.typicalLatency(svc, req.Group)
	deferrable, slowness, yields := t.isDeferrable(now, svc, view, req), 1.0, false
	hasSlot := false
	if best.server != nil {
		load := best.state.load(now)
		hasSlot = load < float64(max(best.server.Slots, 1))
		e := best.state.estimate(now, svc, typical, load)
		share := maxQueueShare
		if req.Waited {
			share = waitedQueueShare
		}
		if shortest := svc.yieldsTo(now, req); shortest > 0 && t.routeIfKnown(now, req.Group) != nil {
			yields = (req.OthersWait || e.exceedsQueue(shortest, share)) && !svc.hasStandingQueue(now, svc.strictness(now, req))
		}
		slowness = best.state.slowness
	}
	if !yields && (!deferrable || hasSlot && !req.OthersWait) {
		return nil
	}
	left := req.timeLeft(now)
	if req.Objective > 0 {
		left = min(left, req.objectiveLeft(now))
	}
	left -= time.Duration(svc.latencies.quantile(startQuantile) * slowness * float64(typical))
	if left <= 0 {
		return nil
	}
	return &NoFreeSlot{Until: now.Add(left)}
}
