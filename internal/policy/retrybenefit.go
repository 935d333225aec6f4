package policy

import (
	"math"
	"time"
)

// While more requests need a retry than the allowance has, the order in which they come would decide
// which of them get one: those of a low priority, and copies of requests that may still be answered, as
// soon as any other. So what earns less leaves as many retries as what earns more has lately needed.
// Requests that earn alike are served in the order in which they come.
const (
	// benefitClasses divides benefits by factors of the square root of two, from 1 down.
	benefitClasses = 16
	// clearlyMore is the difference in classes from which one benefit is larger than another. One
	// priority more is two classes; requests of one kind differ by less unless one of them is late.
	clearlyMore = 2
	// needHorizon is how far the need for retries is foreseen: as many as in the last horizon, or as the
	// requests that come and the share that is refused let expect, which shows earlier. Servers that
	// all shed do so for several seconds. 5 and 8.5 s brought no more.
	needHorizon = 2500 * time.Millisecond
)

// retryNeeds counts the requests of this host that needed a retry, by benefit.
type retryNeeds [benefitClasses]window

// benefitClass is the class of a benefit of 0 to 1, 0 is the highest.
func benefitClass(benefit float64) int {
	if benefit <= 0 {
		return benefitClasses - 1
	}
	return min(max(int(math.Round(-2*math.Log2(benefit))), 0), benefitClasses-1)
}

// moreValuable is the number of requests in the last horizon that earned clearly more by a retry.
func (n *retryNeeds) moreValuable(now time.Time, class int) int {
	total := 0
	for c := range max(class-clearlyMore+1, 0) {
		total += n[c].sum(now, needHorizon)
	}
	return total
}

// retryBenefit is what a retry of a request earns, 1 for one of the highest priority that will surely
// be in time. The odds that the retry is served are the
// same for all requests of a service at a time and would only shift the classes as they change.
func (t *Table) retryBenefit(now time.Time, svc *service, req Request) float64 {
	loss := 0.0
	if !req.Deadline.IsZero() {
		loss = t.lossIfSent(svc, 0, t.typicalLatency(svc, req.Group), req.objectiveLeft(now), req.timeLeft(now))
	}
	return priorityWeight(req.Priority) * min(max(1-loss/t.conf.Cost.Failure, 0), 1)
}

// priorityWeight is the benefit of a request by its priority: each counts half of the one before.
func priorityWeight(priority int) float64 { return math.Exp2(-float64(max(priority, 0))) }

// refusedShare is the share of this host's requests that were not served lately, as far as it and the
// hosts of its segment know: a retry meets the same servers.
func (svc *service) refusedShare(now time.Time) float64 {
	served, unserved := svc.served.sum(now, outcomeWindow), svc.unserved.sum(now, outcomeWindow)
	return float64(unserved) / float64(max(served+unserved, 1))
}

// keptForBetter is what a request with a benefit leaves of the budget, in thousandths of a retry.
func (t *Table) keptForBetter(now time.Time, svc *service, benefit float64) int {
	if !t.has(MechanismRetryBenefit) {
		return 0
	}
	class := benefitClass(benefit)
	needed := wholeRetry * svc.needs.moreValuable(now, class)
	expected := svc.refusedShare(now) * float64(svc.arrivals.moreUrgent(now, class, t.conf.Retry.Window))
	return max(needed, int(wholeRetry*expected*float64(needHorizon)/float64(t.conf.Retry.Window)))
}

// arrivalCounts counts this host's requests by priority.
type arrivalCounts [benefitClasses / clearlyMore]window

func (a *arrivalCounts) add(now time.Time, length time.Duration, priority int) {
	a[min(max(priority, 0), len(a)-1)].add(now, length, 1)
}

// moreUrgent is the number of requests that would earn clearly more by a retry than one of the class,
// if they were in time.
func (a *arrivalCounts) moreUrgent(now time.Time, class int, length time.Duration) int {
	total := 0
	for priority := range class / clearlyMore {
		total += a[priority].sum(now, length)
	}
	return total
}

// AllowRetryOf reports whether a request may be retried. again is set if it has asked before, while it
// waits.
func (t *Table) AllowRetryOf(now time.Time, req Request, again bool) RetryDecision {
	svc := t.service(req.Service)
	benefit := t.retryBenefit(now, svc, req)
	if !again {
		svc.needs[benefitClass(benefit)].add(now, needHorizon, 1)
	}
	return t.allowRetry(now, svc, req.FleetSize, t.keptForBetter(now, svc, benefit))
}
