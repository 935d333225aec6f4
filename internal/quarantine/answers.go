package quarantine

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/content"
)

const (
	// answerRetention is the minimum time for which an answer is remembered. A harmless request
	// that is repeated every few seconds is answered at least once within it, and therefore
	// after the first of three crashes.
	answerRetention = 10 * time.Second
	// maxAnswersPerGeneration bounds the contents of one generation, at 60 bytes each. A host that
	// passes on more answers within answerRetention remembers them for less time.
	maxAnswersPerGeneration = 4096
)

// answerHistory records when this host last passed on a complete answer to each content. It has
// two generations; on rotation the previous one is dropped as a whole.
type answerHistory struct {
	current, previous map[content.ID]time.Time
	rotateAt          time.Time
}

func newAnswerHistory() *answerHistory {
	return &answerHistory{current: make(map[content.ID]time.Time), previous: make(map[content.ID]time.Time)}
}

// record notes that a content was answered now.
func (a *answerHistory) record(now time.Time, id content.ID) {
	if now.After(a.rotateAt) || len(a.current) >= maxAnswersPerGeneration {
		a.current, a.previous = a.previous, a.current
		clear(a.current)
		a.rotateAt = now.Add(answerRetention)
	}
	a.current[id] = now
}

// lastAnswer returns the time of the last answer to a content, zero if none is remembered.
func (a *answerHistory) lastAnswer(id content.ID) time.Time {
	if at, known := a.current[id]; known {
		return at
	}
	return a.previous[id]
}

// answeredRecently reports whether a content was answered within twice answerRetention. The limit
// is checked because a host with little traffic rotates rarely and still holds older answers.
func (a *answerHistory) answeredRecently(now time.Time, id content.ID) bool {
	return now.Sub(a.lastAnswer(id)) <= 2*answerRetention
}

// clears reports whether a remembered answer refutes a quarantine: crashes before the answer are
// no evidence against the content, and those after it are fewer than the threshold.
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
