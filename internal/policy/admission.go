package policy

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/world"
)

// When requests arrive faster than servers can process them, a queue of any length fills up and
// every answer is late: each request waits for work that is itself too late to be worth much. With
// a short queue the same number of requests is served in time. A queue that soon drains should be
// served, because refusing requests gains nothing there. As in CoDel (Nichols and Jacobson,
// "Controlling Queue Delay", ACM Queue 2012), the two cases are told apart by whether there is a
// standing queue: not by its length, but by how long answers have been late.
const (
	// standingLate is the probability of a late answer above which a request is refused while
	// there is a standing queue. It exceeds one half because a late answer is worth more than
	// none.
	standingLate = 0.7
	// standingShare is the share of late answers within outcomeWindow in this data centre above
	// which the queue counts as standing, and standingMinAnswers the number of answers required
	// to tell. Refusing requests keeps the share near this value, since requests are admitted
	// again below it. A lower value also refuses requests during short spikes.
	standingShare      = 0.5
	standingMinAnswers = 10
	// lowPriorityFactor scales standingShare and standingLate for requests of lower priority than
	// others of the service, so that these are refused first.
	lowPriorityFactor = 0.5
	// priorityWindow is the period over which the work of requests is summed by priority; a host
	// has a few requests a second of a service. Requests of lower priority are refused first if
	// more than highPriorityShare of the work has a higher priority; for less there is no need.
	priorityWindow    = 10 * time.Second
	highPriorityShare = 0.2
	// missedDeadlineThreshold is the probability of missing the request's deadline above which a
	// request is refused regardless of the queue: it would only delay others.
	missedDeadlineThreshold = 0.9
)

// admit refuses a request that even the best server would answer too late to be of use.
func (t *Table) admit(now time.Time, svc *service, view *world.ServiceView, best choice, req Request) error {
	if !t.has(MechanismStandingQueue) || req.Deadline.IsZero() {
		return nil
	}
	fairness := t.fairnessFactor(now, svc, req)
	estimate := best.state.estimate(now, svc, t.typicalLatency(svc, req.Group), best.state.load(now))
	expected := estimate.expected
	svc.recordDeadline(now, req)
	if t.routeIfKnown(now, req.Group) != nil && svc.latencies.probabilityAfter(req.timeLeft(now), expected) > min(fairness, 1)*missedDeadlineThreshold {
		return errs.New(errs.KindQueueFull, "no backend server of "+req.Service+" can answer before the request's deadline", "repeat the request after the time in Retry-After, or allow more time")
	}
	if err := t.deferred(now, svc, view, best, req); err != nil {
		return err
	}
	if !req.FirstAttempt {
		return nil
	}
	if t.exceedsFairShare(now, svc, best, req) {
		return errs.New(errs.KindQueueFull, "customer "+req.Customer+" has more than its fair share of "+req.Service+", which has more requests than it can serve", "repeat the request after the time in Retry-After; add capacity or lower the customer's limit")
	}
	if t.routeIfKnown(now, req.Group) != nil && svc.mustYield(now, req, estimate, fairness) {
		return errs.New(errs.KindQueueFull, "the queue of "+req.Service+" is already as long as requests with shorter deadlines can wait", "repeat the request after the time in Retry-After; add capacity")
	}
	strictness := fairness * svc.strictness(now, req)
	late := svc.latencies.probabilityAfter(req.objectiveLeft(now), expected)
	if svc.hasStandingQueue(now, strictness) && late > strictness*standingLate {
		return errs.New(errs.KindQueueFull, "the queue of "+req.Service+" is not draining: the answer would be late", "repeat the request after the time in Retry-After")
	}
	return nil
}

// strictness scales the thresholds of a standing queue for a request.
func (svc *service) strictness(now time.Time, req Request) float64 {
	if svc.hasHigherPriorityWork(now, req.Priority) {
		return lowPriorityFactor
	}
	return 1
}

// lateShare is the share of late answers among the recent answers of this data centre, 0 if there
// are too few answers.
func (svc *service) lateShare(now time.Time) float64 {
	late := svc.late.sum(now, outcomeWindow)
	served := svc.served.sum(now, outcomeWindow)
	if served < standingMinAnswers {
		return 0
	}
	return float64(late) / float64(served)
}

// recordPriority adds the typical work of a request to that of its priority. Requests of a route
// are not counted until some answers have shown how long the route takes.
func (t *Table) recordPriority(now time.Time, svc *service, req Request) {
	r := t.routeIfKnown(now, req.Group)
	if r == nil || req.Waited {
		return
	}
	w, ok := svc.priorities[req.Priority]
	if !ok {
		w = &window{}
		svc.priorities[req.Priority] = w
	}
	w.add(now, priorityWindow, int(r.typicalLatency.Milliseconds()))
}

// hasHigherPriorityWork reports whether a considerable share of the recent work has a higher
// priority.
func (svc *service) hasHigherPriorityWork(now time.Time, priority int) bool {
	urgent, all := 0, 0
	for other, w := range svc.priorities {
		n := w.sum(now, priorityWindow)
		all += n
		if other < priority {
			urgent += n
		}
	}
	return float64(urgent) > highPriorityShare*float64(all)
}
