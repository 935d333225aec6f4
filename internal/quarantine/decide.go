package quarantine

import (
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/content"
)

// Decision is a change to the quarantines that must be sent to all hosts.
type Decision struct {
	// Quarantine is the quarantine that begins or is extended; nil if a content is cleared.
	Quarantine *Quarantine
	// Cleared is the content whose quarantine ends, if Quarantine is nil.
	Cleared content.ID
}

// scheduleDecision schedules a decision on a content if the evidence calls for one. Homes decide
// in the order of their rank, rankDelay apart, so that normally only the first one does.
func (t *Table) scheduleDecision(now time.Time, s *suspect) {
	t.dropLifted(s)
	if !s.decideAt.IsZero() || !t.needsDecision(s) {
		return
	}
	rank := slices.Index(t.homesOf(s.id), t.self)
	if rank < 0 {
		if len(s.observed) == 0 || len(s.observed) < s.observed[0].Scope.threshold() {
			return // left to the homes
		}
		rank = homesPerContent // after all homes, in case none of them decides
	}
	s.decideAt = now.Add(time.Duration(rank) * rankDelay)
	t.due.Add(s.decideAt)
	t.decideIfDue(now, s)
}

// dropLifted drops the crashes from before the content's quarantine was last lifted.
func (t *Table) dropLifted(s *suspect) {
	s.crashes = slices.DeleteFunc(s.crashes, func(e Crash) bool { return !t.view.isEvidence(s.id, e) })
}

// needsDecision reports whether a content's crashes call for a quarantine, or for extending the
// present one.
func (t *Table) needsDecision(s *suspect) bool {
	q := t.view.Get(s.id)
	if q == nil {
		return len(s.crashes) > 0 && len(s.crashes) >= s.crashes[0].Scope.threshold()
	}
	return slices.ContainsFunc(s.crashes, func(e Crash) bool { return e.At.After(q.Until) && !q.covers(e) })
}

// decideIfDue puts a content under quarantine once its scheduled decision is due.
func (t *Table) decideIfDue(now time.Time, s *suspect) {
	if s.decideAt.IsZero() || now.Before(s.decideAt) {
		return
	}
	s.decideAt = time.Time{}
	t.dropLifted(s)
	if !t.needsDecision(s) {
		return // another home has already decided
	}
	if !t.allowDecision(now) {
		s.decideAt = t.secondStart.Add(time.Second)
		t.due.Add(s.decideAt)
		return
	}
	trials := 0
	if q := t.view.Get(s.id); q != nil {
		trials = q.Trials + 1
	}
	scope := s.crashes[0].Scope
	t.decisions = append(t.decisions, Decision{Quarantine: &Quarantine{
		Content: s.id,
		Scope:   scope,
		Service: s.crashes[len(s.crashes)-1].Service,
		Ends:    slices.Clone(s.crashes),
		Until:   now.Add(scope.holdDuration(trials)),
		Trials:  trials,
	}})
}

// allowDecision reports whether the limit of decisions per second permits another one, and counts
// it.
func (t *Table) allowDecision(now time.Time) bool {
	if now.Sub(t.secondStart) >= time.Second {
		t.secondStart = now
		t.decidedInSecond = 0
	}
	t.decidedInSecond++
	return t.decidedInSecond <= maxDecisionsPerSecond
}
