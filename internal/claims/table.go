// Package claims lets a non-idempotent request with an idempotency key run at
// most once over the whole fleet. A host claims the key from the hosts that a
// rendezvous hash names for it, and writes to a backend server only after a
// quorum has granted. Claims live in memory for a short horizon; a host
// younger than the horizon abstains, because it cannot know what its
// predecessor granted.
package claims

import (
	"sync"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
)

// MaxClaims bounds the table. A full table abstains rather than forget.
const MaxClaims = 200_000

// sweepEvery is how many grants pass between sweeps of expired claims.
const sweepEvery = 1024

// overtakenFor is how long at least a release is remembered whose claim has not
// arrived: a request between hosts gives up after releaseTimeout, and may then still
// wait in a busy host.
const overtakenFor = 10 * time.Second

// Key identifies a request of a service over repeats by the caller.
type Key struct {
	Service string
	Key     string
}

type claim struct {
	requestID string
	expires   time.Time
}

// Table is the claims that one host has granted. It is safe for concurrent use.
type Table struct {
	horizon   time.Duration
	startedAt time.Time
	now       func() time.Time

	mu   sync.Mutex
	held map[Key]claim
	// released are claims by identity that were released before they arrived, until
	// when that is remembered.
	released map[string]time.Time
	grants   int
}

// NewTable returns an empty table of a host that starts now. The clock is a
// parameter for tests.
func NewTable(horizon time.Duration, now func() time.Time) *Table {
	return &Table{
		horizon:   horizon,
		startedAt: now(),
		now:       now,
		held:      make(map[Key]claim),
		released:  make(map[string]time.Time),
	}
}

// Claim asks for a key on behalf of a request. The claim is kept for hold, or
// until Release.
func (t *Table) Claim(key Key, requestID string, hold time.Duration) (decision peerpb.ClaimResponse_Decision, holder string) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.released[requestID]) {
		return peerpb.ClaimResponse_DECISION_ABSTAIN, ""
	}
	held, ok := t.held[key]
	if ok && now.Before(held.expires) {
		if held.requestID == requestID {
			return peerpb.ClaimResponse_DECISION_GRANTED, requestID
		}
		return peerpb.ClaimResponse_DECISION_HELD, held.requestID
	}
	if now.Sub(t.startedAt) < t.horizon || len(t.held) >= MaxClaims {
		return peerpb.ClaimResponse_DECISION_ABSTAIN, ""
	}
	t.held[key] = claim{requestID: requestID, expires: now.Add(max(hold, t.horizon))}
	t.sweep(now)
	return peerpb.ClaimResponse_DECISION_GRANTED, requestID
}

// Release ends a request's claim. A finished one is remembered for the horizon
// from now; one that did not run is forgotten, so that the caller can repeat.
func (t *Table) Release(key Key, requestID string, finished bool) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	held, ok := t.held[key]
	if !ok || held.requestID != requestID {
		if len(t.released) < MaxClaims {
			t.released[requestID] = now.Add(max(t.horizon, overtakenFor))
		}
		return
	}
	if !finished {
		delete(t.held, key)
		return
	}
	t.held[key] = claim{requestID: requestID, expires: now.Add(t.horizon)}
}

// Len returns the number of claims held, expired ones included.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.held)
}

func (t *Table) sweep(now time.Time) {
	t.grants++
	if t.grants%sweepEvery != 0 {
		return
	}
	for key, held := range t.held {
		if !now.Before(held.expires) {
			delete(t.held, key)
		}
	}
	for id, expires := range t.released {
		if !now.Before(expires) {
			delete(t.released, id)
		}
	}
}
