package engine

import (
	"fmt"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/system/configsync"
	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	// confirmInterval is the time after which other sources are asked to confirm the documents.
	confirmInterval = 100 * time.Millisecond
	// confirmPeers is the number of hosts that are asked at the same time. Some may be paused too.
	confirmPeers = 3
	// peersOnlyAttempts is the number of rounds of questions after which a host that does
	// not read the platform asks it as well. If the whole fleet was paused, the readers have the
	// platform's answer by then.
	peersOnlyAttempts = 5
	// platformConfirmInterval is the minimum interval between two such questions to the platform.
	platformConfirmInterval = time.Second
	// confirmLimit is the time without an answer after which unconfirmed documents are used again:
	// neither another host nor the platform can be reached.
	confirmLimit = 2 * time.Second
)

// freshness tracks whether the documents may be out of date because this process was paused. Data
// that arrives after a pause may have been sent before its end, so only answers to questions that were
// asked afterwards end that state.
type freshness struct {
	pauseEndedAt time.Time // end of the last pause, zero if the view is fresh
	attempts     int
	nextAt       time.Time // when the next source is asked
	platformAt   time.Time // when the platform may be asked
	// confirmed holds, for each document that a source has answered for, the newest revision named.
	// answeredAt is the time of the last answer, zero if there was none.
	confirmed  map[string]uint64
	answeredAt time.Time
}

// pauseSince returns how long this process has been paused if it has not run since the last tick, and
// the part of that for which its machine was suspended.
func (e *Engine) pauseSince(now time.Time) (pause, suspendedFor time.Duration) {
	suspendedFor = e.conf.Suspended() - e.world.Suspended
	return max(world.Elapsed(e.lastTick, now), now.Sub(e.lastTick)+suspendedFor), suspendedFor
}

// detectPause marks the view stale if this process was paused for longer than Freshness. See
// updateFreshness for its end.
func (e *Engine) detectPause(now time.Time) {
	pause, suspendedFor := e.pauseSince(now)
	e.lastTick = now
	e.world.Suspended += suspendedFor
	if pause > e.conf.Freshness {
		e.freshness = freshness{pauseEndedAt: now, confirmed: make(map[string]uint64)}
		e.world.FreshUntil = now.Add(-time.Nanosecond) // the old value may still be ahead by the monotonic clock
		e.world.Record(now, event.HostPaused, "", "", pause.Round(time.Millisecond).String()+", including suspended time of "+suspendedFor.Round(time.Millisecond).String())
	}
}

// isStale reports whether the documents have not been confirmed since the last pause.
func (e *Engine) isStale() bool { return !e.freshness.pauseEndedAt.IsZero() }

// keysToConfirm returns the keys of the documents that must be confirmed after a pause. An index lists
// the revisions of the others.
func (e *Engine) keysToConfirm() []string {
	if slices.Contains(e.world.Required, world.KeyDiscovered) {
		return e.world.Required
	}
	return []string{world.KeyIndex}
}

// isConfirmed reports whether every document has been confirmed since the last pause and is in force
// at the confirmed revision.
func (e *Engine) isConfirmed() bool {
	if !e.isStale() {
		return false
	}
	for _, key := range e.keysToConfirm() {
		revision, answered := e.freshness.confirmed[key]
		if !answered || e.world.Document(key).Needs(revision) {
			return false
		}
	}
	return len(configsync.Wanted(e.world)) == 0
}

// updateFreshness ends the stale state if the documents have been confirmed, and else asks for a
// confirmation.
func (e *Engine) updateFreshness(now time.Time) {
	if !e.isStale() {
		return
	}
	f := &e.freshness
	lastSign := f.pauseEndedAt
	if f.answeredAt.After(lastSign) {
		lastSign = f.answeredAt
	}
	switch {
	case e.isConfirmed():
		e.endStale(now, "documents confirmed after "+now.Sub(f.pauseEndedAt).Round(time.Millisecond).String())
	case now.Sub(lastSign) > confirmLimit:
		e.endStale(now, fmt.Sprintf("documents not confirmed: no host and no platform answered within %s", confirmLimit))
	case !now.Before(f.nextAt):
		e.requestConfirmation(now)
	}
}

func (e *Engine) endStale(now time.Time, detail string) {
	e.freshness = freshness{}
	e.world.Record(now, event.HostFresh, "", "", detail)
}

// requestConfirmation asks other hosts, readers first, whether they hold newer documents. Readers and
// hosts without others ask the platform too.
func (e *Engine) requestConfirmation(now time.Time) {
	f := &e.freshness
	f.nextAt = now.Add(confirmInterval)
	f.attempts++
	peers := e.confirmingPeers()
	asksPlatform := configsync.IsReader(e.world) || len(peers) == 0 || f.attempts > peersOnlyAttempts
	asksPlatform = asksPlatform && !now.Before(f.platformAt)
	if asksPlatform {
		f.platformAt = now.Add(platformConfirmInterval)
	}
	for _, key := range e.keysToConfirm() {
		question := world.Fetch{Key: key, After: e.world.Document(key).BaseRevision(), ConfirmFor: f.pauseEndedAt}
		for _, address := range peers {
			ask := question
			ask.Peers = []string{address}
			e.world.Outbox.Fetches = append(e.world.Outbox.Fetches, ask)
		}
		if asksPlatform {
			question.Platform = true
			e.world.Outbox.Fetches = append(e.world.Outbox.Fetches, question)
		}
	}
}

// confirmingPeers returns the addresses of the hosts to ask next.
func (e *Engine) confirmingPeers() []string {
	var names []string
	if e.freshness.attempts == 1 {
		names = slices.Clone(e.world.Readers)
	}
	others := e.world.HostNames()
	for _, i := range e.rng.Perm(len(others)) {
		if !slices.Contains(names, others[i]) {
			names = append(names, others[i])
		}
	}
	var addresses []string
	for _, name := range names {
		h, ok := e.world.Hosts[name]
		if ok && name != e.conf.Self.Host && h.Live() && len(addresses) < confirmPeers {
			addresses = append(addresses, h.Address)
		}
	}
	return addresses
}

// DocumentConfirmed handles the answer to a request for confirmation: another host or the platform held
// the given revision of the document after the pause that the request names.
func (e *Engine) DocumentConfirmed(now time.Time, question world.Fetch, revision uint64) {
	if !e.isStale() || !e.freshness.pauseEndedAt.Equal(question.ConfirmFor) {
		return
	}
	e.freshness.answeredAt = now
	e.freshness.confirmed[question.Key] = max(e.freshness.confirmed[question.Key], revision)
}
