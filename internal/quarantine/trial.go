package quarantine

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/content"
)

// earlyTrialWindow is how long after a first hold began a content may be tried that some host remembers
// an answer of, from before the ends: most likely it did nothing wrong. One that has begun to end
// servers since ends one more.
const earlyTrialWindow = trialInterval

// Trial reports whether this host may send a content, once, to see whether it still ends servers:
// one whose hold is over, or which some host remembers an answer of. If not, it may have asked the
// first home, which grants it within a round trip.
func (t *Table) Trial(now time.Time, q *Quarantine) (allowed, requested bool) {
	id := q.Content
	if until, granted := t.grantedUntil[id]; granted {
		delete(t.grantedUntil, id)
		return now.Before(until), false
	}
	if now.Before(q.Until) && !q.allowsEarlyTrial(now) {
		return false, false
	}
	first := t.homesOf(id)[0]
	if first == t.self {
		return t.grantTrial(now, q), false
	}
	if at, known := t.trialRequestedAt[id]; known && now.Sub(at) < trialRequestInterval {
		return false, false
	}
	t.trialRequestedAt[id] = now
	ask := Message{To: first, Asks: [][]byte{id[:]}}
	if t.answers.answeredRecently(now, id) {
		ask.Answered = ask.Asks // what this host told before may be lost
	}
	t.messages = append(t.messages, ask)
	return false, true
}

// allowsEarlyTrial reports whether a content may be tried before its hold is over.
func (q *Quarantine) allowsEarlyTrial(now time.Time) bool {
	began := q.Until.Add(-q.Scope.holdDuration(q.Trials))
	return q.Trials == 0 && now.Sub(began) < earlyTrialWindow
}

// grantTrial reports whether a content may be tried now, by one host: before the hold is over only if
// a host remembers an answer.
func (t *Table) grantTrial(now time.Time, q *Quarantine) bool {
	if now.Before(q.Until) && !(q.allowsEarlyTrial(now) && t.knownAnswered(now, q.Content)) {
		return false
	}
	if began, tried := t.lastTrial[q.Content]; tried && now.Sub(began) < trialInterval {
		return false
	}
	t.lastTrial[q.Content] = now
	return true
}

// knownAnswered reports whether this host, or one that has told it, remembers an answer.
func (t *Table) knownAnswered(now time.Time, id content.ID) bool {
	_, told := t.answeredBefore[id]
	return told || t.answers.answeredRecently(now, id)
}
