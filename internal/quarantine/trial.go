package quarantine

import (
	"time"
)

// Trial reports whether this host may send a content whose hold is over, once, to see
// whether it still ends servers. If not, it asks the first home, for the next time.
func (t *Table) Trial(now time.Time, q *Quarantine) bool {
	id := q.Content
	if until, granted := t.granted[id]; granted {
		delete(t.granted, id)
		return now.Before(until)
	}
	first := t.homesOf(id)[0]
	if first == t.self {
		return t.grant(now, q)
	}
	if asked, known := t.asked[id]; !known || now.Sub(asked) >= askAgain {
		t.asked[id] = now
		t.out = append(t.out, Message{To: first, Asks: [][]byte{id[:]}})
	}
	return false
}

// grant reports whether a content may be tried now, by one host.
func (t *Table) grant(now time.Time, q *Quarantine) bool {
	if now.Before(q.Until) {
		return false
	}
	if began, tried := t.trials[q.Content]; tried && now.Sub(began) < trialPause {
		return false
	}
	t.trials[q.Content] = now
	return true
}
