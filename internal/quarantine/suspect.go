package quarantine

import (
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/content"
)

// suspect is what a host knows of a content.
type suspect struct {
	id   content.ID
	ends []End
	// own are those of the ends that this host has seen itself, told the hosts that were
	// told of them, and tellAgain when they are told once more, zero if they have been.
	own       []End
	told      []string
	tellAgain time.Time
	// decideAt is when this home decides, unless another has; zero if nothing is due.
	decideAt time.Time
	changed  time.Time
}

// suspect returns the row of a content, made if absent.
func (t *Table) suspect(now time.Time, id content.ID) *suspect {
	s, ok := t.suspects[id]
	if !ok {
		t.makeRoom()
		s = &suspect{id: id}
		t.suspects[id] = s
		t.due.Add(now.Add(knownFor))
	}
	s.changed = now
	return s
}

// makeRoom drops the row that has been unchanged for longest, if there are too many.
func (t *Table) makeRoom() {
	if len(t.suspects) < maxSuspects {
		return
	}
	var oldest *suspect
	for _, s := range t.suspects {
		if oldest == nil || s.changed.Before(oldest.changed) {
			oldest = s
		}
	}
	delete(t.suspects, oldest.id)
}

// counts reports whether an end is still evidence against a content.
func (t *Table) counts(now time.Time, id content.ID, end End) bool {
	cleared, known := t.cleared[id]
	return now.Sub(end.At) <= knownFor && (!known || end.At.After(cleared))
}

// add notes the end of a server, once however many hosts tell of it.
func (t *Table) add(now time.Time, s *suspect, end End) {
	if slices.ContainsFunc(s.ends, end.same) {
		return
	}
	s.ends = newest(append(s.ends, end))
	t.consider(now, s)
}

// newest keeps as many ends as are of use.
func newest(ends []End) []End { return ends[max(len(ends)-maxEnds, 0):] }

// clear forgets the ends of a content that has been answered, and ends its quarantine.
func (t *Table) clear(now time.Time, id content.ID) {
	delete(t.suspects, id)
	if len(t.cleared) < maxSuspects {
		t.cleared[id] = now
		t.due.Add(now.Add(knownFor))
	}
	t.lift(now, id)
}

// lift ends the quarantine of a content, once: many hosts may tell of answers before all know.
func (t *Table) lift(now time.Time, id content.ID) {
	if t.view.Get(id) == nil {
		return
	}
	if at, decided := t.lifted[id]; decided && now.Sub(at) < liftAgain {
		return
	}
	t.lifted[id] = now
	t.due.Add(now.Add(liftAgain))
	t.decisions = append(t.decisions, Decision{Cleared: id})
}
