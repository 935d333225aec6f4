package policy

import (
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/world"
)

// Where servers leave requests unanswered, an idempotent request must not wait for
// its first server until its time is over: a second server gets a copy while the
// first goes on, and the first whole answer wins. A copy costs work, which others
// then wait for, a part of the retry allowance, and bytes if it goes to another
// data centre. So it is sent when the loss that it saves, by what is known at that
// moment, exceeds what it costs.
const (
	// reviewQuantile of the answers have come before a copy is considered.
	reviewQuantile = 0.7
	// reviewStep is the time between two considerations, in usual times.
	reviewStep = 0.15
	// copyBaseCost is the cost of a copy at an idle data centre, copyLoad what is added
	// where its servers have a request for each slot, growing with the square;
	// copySpent what is added as the retry allowance is spent. In requests lost.
	copyBaseCost      = 0.05
	copyLoadCost      = 0.25
	copyAllowanceCost = 0.3
)

// Review says whether a request that waits at a server should have a copy now and,
// if not, when to ask again; 0 for never. req.Exclude names the servers that it has
// had, that of p included.
func (t *Table) Review(now time.Time, view *world.ServiceView, req Request, p *Placement) (copyNow bool, after time.Duration) {
	if !t.has(MechanismCopies) {
		return false, 0
	}
	svc := t.service(req.Service)
	age := now.Sub(p.pending.since)
	usual := p.pending.expected
	first := time.Duration(svc.latencies.quantile(reviewQuantile) * float64(usual))
	if age < first {
		return false, first - age
	}
	if req.timeLeft(now) <= 0 {
		return false, 0
	}
	if t.isCopyWorthwhile(now, view, req, p) {
		return true, 0
	}
	return false, max(time.Duration(reviewStep*float64(usual)), time.Millisecond)
}

// isCopyWorthwhile compares the loss that a copy saves with its cost.
func (t *Table) isCopyWorthwhile(now time.Time, view *world.ServiceView, req Request, p *Placement) bool {
	used := t.retriesUsed(now, req.Service, req.Fleet)
	if !used.allowsOne() {
		return false
	}
	req.Repeat = true
	best := t.choose(now, view, req)
	if best.server == nil {
		return false
	}
	svc := t.service(req.Service)
	waiting := t.lossIfWaiting(now, svc, req, p)
	expected := best.state.estimate(now, svc, t.typicalLatency(svc, req.Group), best.state.load(now)).expected
	other := t.lossIfSent(svc, best.state.failureProbability(now, svc), expected, req.objectiveLeft(now), req.timeLeft(now))
	spent := used.spent()
	busy := t.utilization(now, view, req)
	cost := copyBaseCost + copyLoadCost*busy*busy + copyAllowanceCost*spent*spent + t.crossDataCentreCost(best.server, req)
	return waiting*(1-other) > cost
}

// lossIfWaiting is the expected loss of a request that waits at a server: it may
// never be answered, or too late.
func (t *Table) lossIfWaiting(now time.Time, svc *service, req Request, p *Placement) float64 {
	age := now.Sub(p.pending.since)
	unanswered := svc.latencies.probabilityAfter(age, p.pending.expected)
	hang := svc.unansweredProbability()
	belief := 0.0
	if s, known := t.servers[p.key]; known {
		if s.process != p.process {
			return 1 // the process that had it is gone
		}
		belief = s.belief(now, svc)
	}
	never := belief * hang / (hang + (1-hang)*unanswered)
	late := svc.latencies.probabilityAfter(age+req.objectiveLeft(now), p.pending.expected) / unanswered
	lost := svc.latencies.probabilityAfter(age+req.timeLeft(now), p.pending.expected) / unanswered
	return never + (1-never)*t.lateLoss(min(late, 1), min(lost, 1))
}

// lossIfSent is the expected lossIfSent of a request sent to a server now.
func (t *Table) lossIfSent(svc *service, failure float64, expected, objectiveLeft, left time.Duration) float64 {
	late := svc.latencies.probabilityAfter(objectiveLeft, expected)
	lost := svc.latencies.probabilityAfter(left, expected)
	return failure + (1-failure)*t.lateLoss(late, lost)
}

func (t *Table) lateLoss(late, lost float64) float64 {
	return t.conf.Cost.Late*late + (t.conf.Cost.Failure-t.conf.Cost.Late)*lost
}

// utilization is the part of the slots of the subset in this data centre that have a request, 1 at most.
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

// objectiveLeft is the time in which an answer still meets the objective.
func (r Request) objectiveLeft(now time.Time) time.Duration {
	objective := r.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	return objective - r.elapsed(now)
}

// timeLeft is the time until the request's deadline.
func (r Request) timeLeft(now time.Time) time.Duration { return r.Deadline.Sub(now) }

// elapsed is how long the request has been here.
func (r Request) elapsed(now time.Time) time.Duration {
	if r.Asked.IsZero() {
		return 0
	}
	return now.Sub(r.Asked)
}

// allows reports whether the request may go to a server: the server takes such requests and
// has not had this one.
func (r Request) allows(b *world.BackendView) bool {
	if b.IdempotentOnly && !r.Idempotent {
		return false
	}
	if r.Beside && r.isLimited(b) {
		return false // the room is for requests that no server works on
	}
	return !slices.Contains(r.Exclude, b.ID) && r.isAvailable(b)
}
