package policy

import (
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/world"
)

// If a server leaves a request unanswered, an idempotent request should not wait for it until its
// deadline. A copy is sent to a second server while the first continues (a hedged request), and the
// first complete answer is used. A copy costs work that other requests then wait for, a part of the
// retry allowance, and traffic if it is sent to another data centre. It is therefore sent once the
// expected loss that it avoids exceeds its cost.
const (
	// reviewQuantile is the quantile of the latency distribution before which no copy is
	// considered.
	reviewQuantile = 0.7
	// reviewStep is the interval between two reviews, in units of the expected latency.
	reviewStep = 0.15
	// copyBaseCost is the cost of a copy in an idle data centre. copyLoadCost is added where all
	// slots of its servers are in use, and copyAllowanceCost where the retry allowance is spent;
	// both grow with the square. The unit is one lost request.
	copyBaseCost      = 0.05
	copyLoadCost      = 0.25
	copyAllowanceCost = 0.3
)

// ReviewCopy reports whether a copy of a request that waits on a server should be sent now and, if
// not, when to call it again; 0 means never. req.Exclude lists the servers that have received the
// request, including that of p.
func (t *Table) ReviewCopy(now time.Time, view *world.ServiceView, req Request, p *Placement) (copyNow bool, after time.Duration) {
	if !t.has(MechanismCopies) {
		return false, 0
	}
	svc := t.service(req.Service)
	age := now.Sub(p.pending.since)
	expected := p.pending.expected
	earliest := time.Duration(svc.latencies.quantile(reviewQuantile) * float64(expected))
	if age < earliest {
		return false, earliest - age
	}
	if req.timeLeft(now) <= 0 {
		return false, 0
	}
	if t.isCopyWorthwhile(now, view, req, p) {
		return true, 0
	}
	return false, max(time.Duration(reviewStep*float64(expected)), time.Millisecond)
}

// isCopyWorthwhile compares the expected loss that a copy avoids with the cost of the copy.
func (t *Table) isCopyWorthwhile(now time.Time, view *world.ServiceView, req Request, p *Placement) bool {
	if !t.AllowRetry(now, req.Service, req.FleetSize).Allowed {
		return false
	}
	req.Retry = true
	best := t.choose(now, view, req)
	if best.server == nil {
		return false
	}
	svc := t.service(req.Service)
	waiting := t.lossIfWaiting(now, svc, req, p)
	expected := best.state.estimate(now, svc, t.typicalLatency(svc, req.Group), best.state.load(now)).expected
	other := t.lossIfSent(svc, best.state.failureProbability(now, svc), expected, req.objectiveLeft(now), req.timeLeft(now))
	spent := t.spentAllowance(now, req.Service, req.FleetSize)
	busy := t.utilization(now, view, req)
	cost := copyBaseCost + copyLoadCost*busy*busy + copyAllowanceCost*spent*spent + t.crossDataCentreCost(best.server, req)
	// A copy leaves retries to more urgent requests. While servers hang it is what saves a request, so
	// that it does not yield to others of its kind.
	kept := t.keptForBetter(now, svc, priorityWeight(req.Priority))
	return waiting*(1-other) > cost && t.updateBudget(now, svc).available() >= wholeRetry+kept
}

// lossIfWaiting is the expected loss of a request that continues to wait on a server: the answer
// may never come, or come too late.
func (t *Table) lossIfWaiting(now time.Time, svc *service, req Request, p *Placement) float64 {
	age := now.Sub(p.pending.since)
	unanswered := svc.latencies.probabilityAfter(age, p.pending.expected)
	neverAnswered := svc.unansweredProbability()
	belief := 0.0
	if s, known := t.servers[p.key]; known {
		if s.process != p.process {
			return 1 // the process that received the request has been replaced
		}
		belief = s.belief(now, svc)
	}
	never := belief * neverAnswered / (neverAnswered + (1-neverAnswered)*unanswered)
	late := svc.latencies.probabilityAfter(age+req.objectiveLeft(now), p.pending.expected) / unanswered
	lost := svc.latencies.probabilityAfter(age+req.timeLeft(now), p.pending.expected) / unanswered
	return never + (1-never)*t.lateLoss(min(late, 1), min(lost, 1))
}

// lossIfSent is the expected loss of a request that is sent to a server now.
func (t *Table) lossIfSent(svc *service, failure float64, expected, objectiveLeft, left time.Duration) float64 {
	late := svc.latencies.probabilityAfter(objectiveLeft, expected)
	lost := svc.latencies.probabilityAfter(left, expected)
	return failure + (1-failure)*t.lateLoss(late, lost)
}

func (t *Table) lateLoss(late, lost float64) float64 {
	return t.conf.Cost.Late*late + (t.conf.Cost.Failure-t.conf.Cost.Late)*lost
}

// utilization is the share of the slots of the subset in this data centre that are in use, at most
// 1.
func (t *Table) utilization(now time.Time, view *world.ServiceView, req Request) float64 {
	load, slots := 0.0, 0
	servers := view.Candidates()
	for i := range servers {
		b := &servers[i]
		if b.DataCentre != req.DataCentre || !req.isAvailable(b) {
			continue
		}
		slots += b.Slots
		if s, known := t.servers[key{req.Service, b.ID}]; known {
			load += s.load(now)
		}
	}
	if slots == 0 {
		return 1
	}
	return min(load/float64(slots), 1)
}

// objectiveLeft is the time until the latency objective of the request expires.
func (r Request) objectiveLeft(now time.Time) time.Duration {
	objective := r.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	return objective - r.elapsed(now)
}

// timeLeft is the time until the request's deadline.
func (r Request) timeLeft(now time.Time) time.Duration { return r.Deadline.Sub(now) }

// elapsed is the time since this host received the request.
func (r Request) elapsed(now time.Time) time.Duration {
	if r.ReceivedAt.IsZero() {
		return 0
	}
	return now.Sub(r.ReceivedAt)
}

// allows reports whether the request may be sent to a server: the server takes such requests and
// has not received this one.
func (r Request) allows(b *world.BackendView) bool {
	if b.IdempotentOnly && !r.Idempotent {
		return false
	}
	if r.Parallel && r.isLimited(b) {
		return false // reserved for requests that no server is processing
	}
	return !slices.Contains(r.Exclude, b.ID) && r.isAvailable(b)
}
