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
	// confirmInterval is the time after which another source is asked to confirm the server list.
	confirmInterval = 100 * time.Millisecond
	// confirmPeers is the number of hosts that are asked at the same time. Some may be paused too.
	confirmPeers = 3
	// peersOnlyAttempts is the number of rounds of questions after which a host that does
	// not read the platform asks it as well. If the whole fleet was paused, the readers have the
	// platform's answer by then.
	peersOnlyAttempts = 5
	// platformConfirmInterval is the minimum interval between two such questions to the platform.
	platformConfirmInterval = time.Second
	// confirmLimit is the time after the end of a pause at which an unconfirmed server list is used
	// again: neither another host nor the platform can be reached.
	confirmLimit = 2 * time.Second
)

// freshness tracks whether the server list may be out of date because this process was paused. Data
// that arrives after a pause may have been sent before its end, so only the answer to a question
// that was asked afterwards ends that state.
type freshness struct {
	pauseEndedAt time.Time // end of the last pause, zero if the view is fresh
	attempts     int
	nextAt       time.Time // when the next source is asked
	platformAt   time.Time // when the platform may be asked
	// confirmed is set once a source has answered, with the revision of its server list.
	confirmed bool
	revision  uint64
}

// detectPause marks the view stale if this process was paused for longer than Freshness, and fresh
// again once the server list has been confirmed.
func (e *Engine) detectPause(now time.Time) {
	suspended := e.conf.Suspended()
	suspendedFor := suspended - e.world.Suspended
	pause := max(world.Elapsed(e.lastTick, now), now.Sub(e.lastTick)+suspendedFor)
	e.lastTick = now
	e.world.Suspended = suspended
	if pause > e.conf.Freshness {
		e.freshness = freshness{pauseEndedAt: now}
		e.world.FreshUntil = now.Add(-time.Nanosecond) // the old value may still be ahead by the monotonic clock
		e.world.Record(now, event.HostPaused, "", "", pause.Round(time.Millisecond).String()+", including suspended time of "+suspendedFor.Round(time.Millisecond).String())
	}
}

// isStale reports whether the server list has not been confirmed since the last pause.
func (e *Engine) isStale() bool { return !e.freshness.pauseEndedAt.IsZero() }

// listKey returns the key of the document that lists the backend servers or their documents.
func (e *Engine) listKey() string {
	if slices.Contains(e.world.Required, world.KeyDiscovered) {
		return world.KeyDiscovered
	}
	return world.KeyIndex
}

// updateFreshness ends the stale state if the server list has been confirmed, and else asks for a
// confirmation.
func (e *Engine) updateFreshness(now time.Time) {
	if !e.isStale() {
		return
	}
	f := &e.freshness
	doc := e.world.Document(e.listKey())
	staleFor := now.Sub(f.pauseEndedAt)
	switch {
	case f.confirmed && !doc.Needs(f.revision) && len(configsync.Wanted(e.world)) == 0:
		e.endStale(now, fmt.Sprintf("server list revision %d confirmed after %s", doc.Revision, staleFor.Round(time.Millisecond)))
	case staleFor > confirmLimit:
		e.endStale(now, fmt.Sprintf("server list revision %d not confirmed: no host and no platform answered within %s", doc.Revision, confirmLimit))
	case !now.Before(f.nextAt):
		e.requestConfirmation(now, doc)
	}
}

func (e *Engine) endStale(now time.Time, detail string) {
	e.freshness = freshness{}
	e.world.Record(now, event.HostFresh, "", "", detail)
}

// requestConfirmation asks other hosts, readers first, whether they hold a newer server list. Readers
// and hosts without others ask the platform too.
func (e *Engine) requestConfirmation(now time.Time, doc *world.Document) {
	f := &e.freshness
	f.nextAt = now.Add(confirmInterval)
	f.attempts++
	question := world.Fetch{Key: doc.Key, After: doc.BaseRevision(), ConfirmFor: f.pauseEndedAt}
	peers := e.confirmingPeers()
	for _, address := range peers {
		ask := question
		ask.Peers = []string{address}
		e.world.Outbox.Fetches = append(e.world.Outbox.Fetches, ask)
	}
	asksPlatform := configsync.IsReader(e.world) || len(peers) == 0 || f.attempts > peersOnlyAttempts
	if asksPlatform && !now.Before(f.platformAt) {
		f.platformAt = now.Add(platformConfirmInterval)
		question.Platform = true
		e.world.Outbox.Fetches = append(e.world.Outbox.Fetches, question)
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

// ListConfirmed handles the answer to a request for confirmation: another host or the platform held
// the given revision of the server list after the pause that ended at pauseEndedAt.
func (e *Engine) ListConfirmed(now, pauseEndedAt time.Time, revision uint64) {
	if !e.isStale() || !e.freshness.pauseEndedAt.Equal(pauseEndedAt) {
		return
	}
	e.freshness.confirmed = true
	e.freshness.revision = max(e.freshness.revision, revision)
}
