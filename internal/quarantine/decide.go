package quarantine

import (
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/content"
)

// Decision is a change that all hosts must be told of.
type Decision struct {
	// Quarantine begins or is renewed; nil for a content that is cleared.
	Quarantine *Quarantine
	Cleared    content.ID
}

// consider makes a decision due where there is evidence for one.
func (t *Table) consider(now time.Time, s *suspect) {
	t.forgetLifted(s)
	if !s.decideAt.IsZero() || !t.isDue(s) {
		return
	}
	rank := slices.Index(t.homesOf(s.id), t.self)
	if rank < 0 {
		if len(s.own) == 0 || len(s.own) < s.own[0].Scope.needed() {
			return // the homes decide
		}
		rank = homes // unless none of them does
	}
	s.decideAt = now.Add(time.Duration(rank) * rankDelay)
	t.due.Add(s.decideAt)
	t.decideIfDue(now, s)
}

// forgetLifted drops ends from before the content was last lifted.
func (t *Table) forgetLifted(s *suspect) {
	s.ends = slices.DeleteFunc(s.ends, func(e End) bool { return !t.view.counts(s.id, e) })
}

// isDue reports whether a content's ends call for a quarantine, or for a longer one.
func (t *Table) isDue(s *suspect) bool {
	q := t.view.Get(s.id)
	if q == nil {
		return len(s.ends) > 0 && len(s.ends) >= s.ends[0].Scope.needed()
	}
	return slices.ContainsFunc(s.ends, func(e End) bool { return e.At.After(q.Until) && !q.covers(e) })
}

// decideIfDue puts a content under quarantine once this home's time has come.
func (t *Table) decideIfDue(now time.Time, s *suspect) {
	if s.decideAt.IsZero() || now.Before(s.decideAt) {
		return
	}
	s.decideAt = time.Time{}
	t.forgetLifted(s)
	if !t.isDue(s) {
		return // another home has decided
	}
	if !t.mayDecide(now) {
		s.decideAt = t.second.Add(time.Second)
		t.due.Add(s.decideAt)
		return
	}
	trials := 0
	if q := t.view.Get(s.id); q != nil {
		trials = q.Trials + 1
	}
	scope := s.ends[0].Scope
	t.decisions = append(t.decisions, Decision{Quarantine: &Quarantine{
		Content: s.id,
		Scope:   scope,
		Service: s.ends[len(s.ends)-1].Service,
		Ends:    slices.Clone(s.ends),
		Until:   now.Add(scope.hold(trials)),
		Trials:  trials,
	}})
}

// mayDecide counts a decision against the bound of this second.
func (t *Table) mayDecide(now time.Time) bool {
	if now.Sub(t.second) >= time.Second {
		t.second = now
		t.decided = 0
	}
	t.decided++
	return t.decided <= maxDecisions
}
