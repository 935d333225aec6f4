package quarantine

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/content"
)

// earlyTrialWindow is how long after the start of a first hold a content may be tried if some host
// remembers an answer to it from before the crashes. Such a content is most likely harmless. If it
// has begun to crash servers since that answer, the trial costs one more server.
const earlyTrialWindow = trialInterval

// RequestTrial reports whether this host may send a content once, to find out whether it still crashes
// servers. A trial is allowed after the hold, or early if some host remembers an answer to the
// content. If requested is set, the host has requested a trial from the content's first home,
// which may grant it within a round trip.
func (t *Table) RequestTrial(now time.Time, q *Quarantine) (allowed, requested bool) {
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
	request := Message{To: first, TrialRequests: [][]byte{id[:]}}
	if t.answers.answeredRecently(now, id) {
		request.Answered = request.TrialRequests // an earlier report may have been lost
	}
	t.messages = append(t.messages, request)
	return false, true
}

// allowsEarlyTrial reports whether the quarantine is young enough for a trial before the end of its
// hold.
func (q *Quarantine) allowsEarlyTrial(now time.Time) bool {
	began := q.Until.Add(-q.Scope.holdDuration(q.Trials))
	return q.Trials == 0 && now.Sub(began) < earlyTrialWindow
}

// grantTrial reports whether one host may try a content now, and notes the trial. Before the end of
// the hold it is granted only if some host remembers an answer.
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

// knownAnswered reports whether this host remembers an answer to a content, or another host has
// reported one.
func (t *Table) knownAnswered(now time.Time, id content.ID) bool {
	_, reported := t.answeredBefore[id]
	return reported || t.answers.answeredRecently(now, id)
}
