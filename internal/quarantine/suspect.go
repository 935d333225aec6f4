package quarantine

import (
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/content"
)

// suspect is the evidence that a host holds against a content.
type suspect struct {
	id      content.ID
	crashes []Crash
	// observed are the crashes that this host has observed itself, and notified the hosts that
	// they were reported to. They are reported once more at resendAt, which is zero after that.
	observed []Crash
	notified []string
	resendAt time.Time
	// decideAt is when this host decides unless another one has done so before; zero if no
	// decision is scheduled.
	decideAt  time.Time
	updatedAt time.Time
}

// suspect returns the entry of a content, creating it if necessary.
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

// evictOldest evicts the least recently updated entry if the table is full.
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

// isEvidence reports whether a crash is still evidence against a content: it has not expired, and
// the content has not been answered since.
func (t *Table) isEvidence(now time.Time, id content.ID, crash Crash) bool {
	cleared, known := t.clearedAt[id]
	return now.Sub(crash.At) <= evidenceTTL && (!known || crash.At.After(cleared))
}

// addCrash records a server's crash. Reports of the same crash by several hosts count once.
func (t *Table) addCrash(now time.Time, s *suspect, crash Crash) {
	if slices.ContainsFunc(s.crashes, crash.sameCrash) {
		return
	}
	s.crashes = newestCrashes(append(s.crashes, crash))
	t.scheduleDecision(now, s)
}

// newestCrashes returns the last maxCrashes elements.
func newestCrashes(crashes []Crash) []Crash { return crashes[max(len(crashes)-maxCrashes, 0):] }

// clear drops the evidence against a content that was answered, and lifts its quarantine.
func (t *Table) clear(now time.Time, id content.ID) {
	delete(t.suspects, id)
	if len(t.clearedAt) < maxSuspects {
		t.clearedAt[id] = now
		t.due.Add(now.Add(evidenceTTL))
	}
	t.lift(now, id)
}

// lift decides that the quarantine of a content ends. It does so once per liftRetryInterval,
// because many hosts may report answers before the decision has reached them.
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
