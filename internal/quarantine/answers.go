package quarantine

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/content"
)

const (
	// answerRetention is how long an answer is remembered at the least: a request that did nothing
	// wrong and comes each few seconds has had one since the first of three ends.
	answerRetention = 10 * time.Second
	// maxAnswersPerGeneration bounds the contents in one half of what is remembered, 60 bytes each. A host
	// that answers more within answersFor remembers those of a shorter time.
	maxAnswersPerGeneration = 4096
)

// answerHistory is when contents were last answered whole by way of this host. Halves take turns: the
// older one is dropped as a whole.
type answerHistory struct {
	current, previous map[content.ID]time.Time
	rotateAt          time.Time
}

func newAnswerHistory() *answerHistory {
	return &answerHistory{current: make(map[content.ID]time.Time), previous: make(map[content.ID]time.Time)}
}

func (a *answerHistory) record(now time.Time, id content.ID) {
	if now.After(a.rotateAt) || len(a.current) >= maxAnswersPerGeneration {
		a.current, a.previous = a.previous, a.current
		clear(a.current)
		a.rotateAt = now.Add(answerRetention)
	}
	a.current[id] = now
}

// lastAnswer is when a content was lastAnswer answered, zero if that is not remembered.
func (a *answerHistory) lastAnswer(id content.ID) time.Time {
	if at, known := a.current[id]; known {
		return at
	}
	return a.previous[id]
}

// answeredRecently reports whether a content was answered of late. On a host that answers little, older
// answers are still held.
func (a *answerHistory) answeredRecently(now time.Time, id content.ID) bool {
	return now.Sub(a.lastAnswer(id)) <= 2*answerRetention
}

// clears reports whether an answer shows that a content does not end servers: what ended before
// it is no evidence, and what is left would be too little.
func (a *answerHistory) clears(q *Quarantine) bool {
	answered := a.lastAnswer(q.Content)
	if answered.IsZero() {
		return false
	}
	later := 0
	for _, e := range q.Ends {
		if e.At.After(answered) {
			later++
		}
	}
	return later < q.Scope.threshold()
}
