package quarantine

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/content"
)

// earlyTrials is how long after a first hold began a content may be tried that some host remembers
// an answer of, from before the ends: most likely it did nothing wrong. One that has begun to end
// servers since ends one more.
const earlyTrials = trialPause

// Trial reports whether this host may send a content, once, to see whether it still ends servers:
// one whose hold is over, or which some host remembers an answer of. If not, it may have asked the
// first home, which grants it within a round trip.
func (t *Table) Trial(now time.Time, q *Quarantine) (tries, asked bool) {
	id := q.Content
	if until, granted := t.granted[id]; granted {
		delete(t.granted, id)
		return now.Before(until), false
	}
	if now.Before(q.Until) && !q.allowsEarlyTrial(now) {
		return false, false
	}
	first := t.homesOf(id)[0]
	if first == t.self {
		return t.grant(now, q), false
	}
	if at, known := t.asked[id]; known && now.Sub(at) < askAgain {
		return false, false
	}
	t.asked[id] = now
	ask := Message{To: first, Asks: [][]byte{id[:]}}
	if t.answers.remember(now, id) {
		ask.Answered = ask.Asks // what this host told before may be lost
	}
	t.out = append(t.out, ask)
	return false, true
}

// allowsEarlyTrial reports whether a content may be tried before its hold is over.
func (q *Quarantine) allowsEarlyTrial(now time.Time) bool {
	began := q.Until.Add(-q.Scope.hold(q.Trials))
	return q.Trials == 0 && now.Sub(began) < earlyTrials
}

// grant reports whether a content may be tried now, by one host: before the hold is over only if
// a host remembers an answer.
func (t *Table) grant(now time.Time, q *Quarantine) bool {
	if now.Before(q.Until) && !(q.allowsEarlyTrial(now) && t.wasAnswered(now, q.Content)) {
		return false
	}
	if began, tried := t.trials[q.Content]; tried && now.Sub(began) < trialPause {
		return false
	}
	t.trials[q.Content] = now
	return true
}

// wasAnswered reports whether this host, or one that has told it, remembers an answer.
func (t *Table) wasAnswered(now time.Time, id content.ID) bool {
	_, told := t.answeredBefore[id]
	return told || t.answers.remember(now, id)
}
