package quarantine

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/content"
)

const (
	// answersFor is how long an answer is remembered at the least: a request that did nothing
	// wrong and comes each few seconds has had one since the first of three ends.
	answersFor = 10 * time.Second
	// maxAnswers bounds the contents in one half of what is remembered, 60 bytes each. A host
	// that answers more within answersFor remembers those of a shorter time.
	maxAnswers = 4096
)

// answers is when contents were last answered whole by way of this host. Halves take turns: the
// older one is dropped as a whole.
type answers struct {
	newer, older map[content.ID]time.Time
	turnAt       time.Time
}

func newAnswers() *answers {
	return &answers{newer: make(map[content.ID]time.Time), older: make(map[content.ID]time.Time)}
}

func (a *answers) note(now time.Time, id content.ID) {
	if now.After(a.turnAt) || len(a.newer) >= maxAnswers {
		a.newer, a.older = a.older, a.newer
		clear(a.newer)
		a.turnAt = now.Add(answersFor)
	}
	a.newer[id] = now
}

// last is when a content was last answered, zero if that is not remembered.
func (a *answers) last(id content.ID) time.Time {
	if at, known := a.newer[id]; known {
		return at
	}
	return a.older[id]
}

// remember reports whether a content was answered of late. On a host that answers little, older
// answers are still held.
func (a *answers) remember(now time.Time, id content.ID) bool {
	return now.Sub(a.last(id)) <= 2*answersFor
}

// refute reports whether an answer shows that a content does not end servers: what ended before
// it is no evidence, and what is left would be too little.
func (a *answers) refute(q *Quarantine) bool {
	answered := a.last(q.Content)
	if answered.IsZero() {
		return false
	}
	later := 0
	for _, e := range q.Ends {
		if e.At.After(answered) {
			later++
		}
	}
	return later < q.Scope.needed()
}
