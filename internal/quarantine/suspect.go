package quarantine

import (
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/content"
)

// suspect is what a host knows of a content.
type suspect struct {
	id      content.ID
	crashes []End
	// observed are those of the ends that this host has seen itself, told the hosts that were
	// told of them, and tellAgain when they are told once more, zero if they have been.
	observed []End
	notified []string
	resendAt time.Time
	// decideAt is when this home decides, unless another has; zero if nothing is due.
	decideAt  time.Time
	updatedAt time.Time
}

// suspect returns the row of a content, made if absent.
func (t *Table) suspect(now time.Time, id content.ID) *suspect {
	s, ok := t.suspects[id]
	if !ok {
		t.evictOldest()
		s = &suspect{id: id}
		t.suspects[id] = s
		t.due.Add(now.Add(evidenceTTL))
	}
	s.updatedAt = now
	return s
}

// evictOldest drops the row that has been unchanged for longest, if there are too many.
func (t *Table) evictOldest() {
	if len(t.suspects) < maxSuspects {
		return
	}
	var oldest *suspect
	for _, s := range t.suspects {
		if oldest == nil || s.updatedAt.Before(oldest.updatedAt) {
			oldest = s
		}
	}
	delete(t.suspects, oldest.id)
}

// isEvidence reports whether an end is still evidence against a content.
func (t *Table) isEvidence(now time.Time, id content.ID, end End) bool {
	cleared, known := t.clearedAt[id]
	return now.Sub(end.At) <= evidenceTTL && (!known || end.At.After(cleared))
}

// addCrash notes the end of a server, once however many hosts tell of it.
func (t *Table) addCrash(now time.Time, s *suspect, end End) {
	if slices.ContainsFunc(s.crashes, end.sameCrash) {
		return
	}
	s.crashes = newestCrashes(append(s.crashes, end))
	t.scheduleDecision(now, s)
}

// newestCrashes keeps as many ends as are of use.
func newestCrashes(ends []End) []End { return ends[max(len(ends)-maxCrashes, 0):] }

// clear forgets the ends of a content that has been answered, and ends its quarantine.
func (t *Table) clear(now time.Time, id content.ID) {
	delete(t.suspects, id)
	if len(t.clearedAt) < maxSuspects {
		t.clearedAt[id] = now
		t.due.Add(now.Add(evidenceTTL))
	}
	t.lift(now, id)
}

// lift ends the quarantine of a content, once: many hosts may tell of answers before all know.
func (t *Table) lift(now time.Time, id content.ID) {
	if t.view.Get(id) == nil {
		return
	}
	if at, decided := t.liftedAt[id]; decided && now.Sub(at) < liftRetryInterval {
		return
	}
	t.liftedAt[id] = now
	t.due.Add(now.Add(liftRetryInterval))
	t.decisions = append(t.decisions, Decision{Cleared: id})
}
