package policy

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/errs"
)

// While more comes than the servers can carry, a queue of any length is full, and
// all that is served is late: each request waits for work that is itself too late
// to be worth much. The same number can be served in time if the queue is kept
// short. A queue that is gone again soon is to be served: there nothing is gained
// by turning requests away. What tells the two apart is whether the queue stands, as
// in CoDel (Nichols and Jacobson, "Controlling Queue Delay", ACM Queue 2012): not
// its length, but for how long answers have been late.
const (
	// standingLate is the chance of a late answer above which a request is refused
	// while the queue stands. It is above even odds because a late answer is worth more
	// than none.
	standingLate = 0.7
	// standingShare is the share of late answers in troubleWindow, in this data centre,
	// from which on a queue stands, and standingLeast how many must have come. Refusing
	// holds the share near this figure: below it, requests are admitted again. Lower
	// refuses requests of short spikes too.
	standingShare      = 0.5
	standingMinAnswers = 10
	// lowPriorityFactor is the part of standingShare and of standingLate from which on
	// requests are refused that are less urgent than others of the service: they make
	// room first.
	lowPriorityFactor = 0.5
	// priorityWindow is the time over which the work of requests is added up by their
	// priority: a host has a few a second of a service. Less urgent requests make room
	// where more than urgentShare of the work is more urgent; less needs no room made.
	priorityWindow    = 10 * time.Second
	highPriorityShare = 0.2
	// missedDeadlineThreshold is the chance of no answer in time at all, above which a request is
	// refused at any time: it would only hold up others.
	missedDeadlineThreshold = 0.9
)

// admit refuses a request that would be answered too late to be of use, by the
// best server that there is for it.
func (t *Table) admit(now time.Time, svc *service, best choice, req Request) error {
	if !t.has(MechanismStanding) || req.Deadline.IsZero() {
		return nil
	}
	estimate := best.state.estimate(now, svc, t.typicalLatency(svc, req.Group), best.state.load(now))
	expected := estimate.expected
	svc.recordDeadline(now, req)
	if t.routeIfKnown(now, req.Group) != nil && svc.latencies.probabilityAfter(req.timeLeft(now), expected) > missedDeadlineThreshold {
		return errs.New(errs.KindQueueFull, "no backend server of "+req.Service+" can answer before the request's deadline", "repeat the request after the time in Retry-After, or allow more time")
	}
	if !req.First {
		return nil
	}
	if t.routeIfKnown(now, req.Group) != nil && svc.mustYield(now, req, estimate) {
		return errs.New(errs.KindQueueFull, "the queue of "+req.Service+" is as long as requests with less time can wait", "repeat the request after the time in Retry-After; add capacity")
	}
	strictness := 1.0
	if svc.hasHigherPriorityWork(now, req.Priority) {
		strictness = lowPriorityFactor
	}
	late := svc.latencies.probabilityAfter(req.objectiveLeft(now), expected)
	if svc.lateShare(now) > strictness*standingShare && late > strictness*standingLate {
		return errs.New(errs.KindQueueFull, "the queue of "+req.Service+" stands: the answer would be late", "repeat the request after the time in Retry-After")
	}
	return nil
}

// lateShare is the share of late ones among the newest answers of this data centre,
// 0 where there are too few to tell.
func (svc *service) lateShare(now time.Time) float64 {
	late := svc.late.sum(now, outcomeWindow)
	served := svc.served.sum(now, outcomeWindow)
	if served < standingMinAnswers {
		return 0
	}
	return float64(late) / float64(served)
}

// recordPriority adds a request's usual work to that of its rank. What a route takes is
// known only after some answers; until then its requests do not count.
func (t *Table) recordPriority(now time.Time, svc *service, req Request) {
	r := t.routeIfKnown(now, req.Group)
	if r == nil {
		return
	}
	w, ok := svc.priorities[req.Priority]
	if !ok {
		w = &window{}
		svc.priorities[req.Priority] = w
	}
	w.add(now, priorityWindow, int(r.typicalLatency.Milliseconds()))
}

// hasHigherPriorityWork reports whether much of the newest work is of a higher rank.
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
