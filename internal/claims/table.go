// Package claims ensures that a non-idempotent request with an idempotency key
// runs at most once in the whole fleet. A host claims the key from a set of hosts
// chosen by rendezvous hashing, the voters, and sends the request to a backend
// server only after a quorum of them has granted the claim. Claims are kept in
// memory for a limited time, the horizon. A host that has been up for less than the
// horizon abstains, because it does not know what it granted before its restart.
package claims

import (
	"sync"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/memory"
)

const (
	// MaxClaims limits the claims in a table, and memoryFraction the fraction of the host's memory that claims and
	// tombstones may take. A full table abstains from new claims and evicts none.
	MaxClaims      = 200_000
	memoryFraction = 0.125
	// entryOverhead is the number of bytes that a claim or a tombstone takes beside its strings.
	entryOverhead = 256
)

// grantsPerSweep is the number of grants after which expired entries are swept. A full table, which grants nothing, is
// swept once in fullSweepInterval if it is asked.
const (
	grantsPerSweep    = 1024
	fullSweepInterval = time.Second
)

// minTombstoneTTL is the minimum time for which the release of an unknown claim is
// kept, in case the claim arrives later. The sender's RPC times out after
// releaseTimeout, but the call may still be queued at a busy host.
const minTombstoneTTL = 10 * time.Second

// Key identifies a request to a service across retries by the caller.
type Key struct {
	Service string
	Key     string
}

// claim is a granted claim on a key.
type claim struct {
	requestID string
	expires   time.Time
}

// Table holds the claims that one host has granted. It is safe for concurrent use.
type Table struct {
	horizon   time.Duration
	maxBytes  int
	startedAt time.Time
	now       func() time.Time

	mu sync.Mutex
	// bytes is what held and tombstones take.
	bytes int
	held  map[Key]claim
	// tombstones holds the IDs of claims that were released before they arrived, with
	// the expiry of each entry.
	tombstones map[string]time.Time
	grants     int
	sweptAt    time.Time
}

// bytes returns the memory of a claim on the key.
func (c claim) bytes(key Key) int {
	return entryOverhead + len(key.Service) + len(key.Key) + len(c.requestID)
}

// NewTable returns an empty table for a host that starts at the time now returns and
// has hostBytes of memory, which is unknown if it is 0. The clock is a parameter for tests.
func NewTable(horizon time.Duration, hostBytes int64, now func() time.Time) *Table {
	if hostBytes <= 0 {
		hostBytes = memory.DefaultHostBytes
	}
	return &Table{
		horizon:    horizon,
		maxBytes:   int(memoryFraction * float64(hostBytes)),
		startedAt:  now(),
		now:        now,
		held:       make(map[Key]claim),
		tombstones: make(map[string]time.Time),
	}
}

// Claim decides on the claim of a request to a key and returns the request that
// holds the key, if known. A granted claim lasts for hold, at least for the horizon,
// or until Release.
func (t *Table) Claim(key Key, requestID string, hold time.Duration) (decision peerpb.ClaimResponse_Decision, holder string) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.tombstones[requestID]) {
		return peerpb.ClaimResponse_DECISION_ABSTAIN, ""
	}
	held, ok := t.held[key]
	if ok && now.Before(held.expires) {
		if held.requestID == requestID {
			return peerpb.ClaimResponse_DECISION_GRANTED, requestID
		}
		return peerpb.ClaimResponse_DECISION_HELD, held.requestID
	}
	granted := claim{requestID: requestID, expires: now.Add(max(hold, t.horizon))}
	if now.Sub(t.startedAt) < t.horizon || !t.hasRoom(now, granted.bytes(key)) {
		return peerpb.ClaimResponse_DECISION_ABSTAIN, ""
	}
	t.remove(key)
	t.held[key] = granted
	t.bytes += granted.bytes(key)
	t.grants++
	if t.grants%grantsPerSweep == 0 {
		t.sweep(now)
	}
	return peerpb.ClaimResponse_DECISION_GRANTED, requestID
}

// Release ends a request's claim. If the request has finished, the key stays held
// for the horizon from now on. If it did not run, the claim is removed, so that the
// caller can retry.
func (t *Table) Release(key Key, requestID string, finished bool) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	held, ok := t.held[key]
	if !ok || held.requestID != requestID {
		t.bury(requestID, now)
		return
	}
	if !finished {
		t.remove(key)
		return
	}
	t.held[key] = claim{requestID: requestID, expires: now.Add(t.horizon)}
}

// Len returns the number of claims, including expired ones not yet swept.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.held)
}

// hasRoom reports whether a claim of the given size fits. t.mu must be held.
func (t *Table) hasRoom(now time.Time, bytes int) bool {
	fits := func() bool { return len(t.held) < MaxClaims && t.bytes+bytes <= t.maxBytes }
	if !fits() && now.Sub(t.sweptAt) >= fullSweepInterval {
		t.sweep(now)
	}
	return fits()
}

// remove removes a claim, if there is one. t.mu must be held.
func (t *Table) remove(key Key) {
	if held, ok := t.held[key]; ok {
		t.bytes -= held.bytes(key)
		delete(t.held, key)
	}
}

// bury keeps a claim from being granted if it arrives after its release. t.mu must be held.
func (t *Table) bury(requestID string, now time.Time) {
	if _, ok := t.tombstones[requestID]; !ok {
		size := entryOverhead + len(requestID)
		if len(t.tombstones) >= MaxClaims || t.bytes+size > t.maxBytes {
			return
		}
		t.bytes += size
	}
	t.tombstones[requestID] = now.Add(max(t.horizon, minTombstoneTTL))
}

// sweep removes expired claims and tombstones. t.mu must be held.
func (t *Table) sweep(now time.Time) {
	t.sweptAt = now
	for key, held := range t.held {
		if !now.Before(held.expires) {
			t.remove(key)
		}
	}
	for id, expires := range t.tombstones {
		if !now.Before(expires) {
			t.bytes -= entryOverhead + len(id)
			delete(t.tombstones, id)
		}
	}
}
