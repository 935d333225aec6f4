package balance

import (
	"math/rand/v2"
	"time"

	"github.com/pearshelf/pearshelf/internal/policy"
	"github.com/pearshelf/pearshelf/internal/waitqueue"
)

// waits holds the requests of this host that wait for a free slot. All fields are guarded by
// Table.mu.
type waits struct {
	set     *waitqueue.Set
	waiters map[uint64]*Waiter
	// review calls reviewWaits at reviewAt, zero if nothing waits.
	review   *time.Timer
	reviewAt time.Time
}

func newWaits(table *policy.Table) waits {
	bounds := waitqueue.Bounds{Requests: waitqueue.DefaultRequests, Bytes: waitqueue.DefaultBytes}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return waits{set: waitqueue.NewSet(table, bounds, random), waiters: make(map[uint64]*Waiter)}
}

// Decision is the result of Submit, or of the wait that it began.
type Decision struct {
	// Lease is the request's placement, nil if Err says why there is none.
	Lease *Lease
	waitqueue.Decision
}

// Waiter is a request that waits for a free slot.
type Waiter struct {
	table   *Table
	id      uint64
	decided chan Decision
}

// Decided returns a channel that receives the decision on the request once.
func (w *Waiter) Decided() <-chan Decision { return w.decided }

// Leave ends the wait of a request that no longer needs a slot. A slot that it was given meanwhile
// is released.
func (w *Waiter) Leave() {
	w.table.mu.Lock()
	if _, waiting := w.table.waits.waiters[w.id]; waiting {
		w.table.waits.set.Remove(w.table.clock(), w.id)
		delete(w.table.waits.waiters, w.id)
	}
	w.table.mu.Unlock()
	select {
	case d := <-w.decided:
		if d.Lease != nil {
			d.Lease.Finish(policy.Result{Outcome: policy.Neutral, Unsent: true})
		}
	default:
	}
}

// Submit places a request at a server, or lets it wait for one: then the returned Waiter is not nil
// and receives the decision.
func (t *Table) Submit(req waitqueue.Request) (Decision, *Waiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d, waiting := t.waits.set.Submit(t.clock(), req)
	if !waiting {
		return t.decision(d), nil
	}
	w := &Waiter{table: t, id: d.ID, decided: make(chan Decision, 1)}
	t.waits.waiters[d.ID] = w
	t.scheduleReview()
	return Decision{}, w
}

// DrainWaits ends the wait of all requests, because this host stops: each is placed or refused now.
// Later requests do not wait.
func (t *Table) DrainWaits() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deliver(t.waits.set.Drain(t.clock()))
	t.scheduleReview()
}

// WaitingUsage returns the number of requests that wait, and the memory that they occupy.
func (t *Table) WaitingUsage() (requests int, bytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	usage := t.waits.set.Usage()
	return usage.Requests(), usage.Bytes()
}

// reviewWaits looks for free slots. It is called when the set asks for it.
func (t *Table) reviewWaits() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waits.reviewAt = time.Time{}
	t.deliver(t.waits.set.Review(t.clock()))
	t.scheduleReview()
}

// scheduleReview calls reviewWaits when it is due. A review that is due now is made before the lock
// is released, so that no other request takes the slot.
func (t *Table) scheduleReview() {
	now := t.clock()
	at := t.waits.set.ReviewAt()
	for !at.IsZero() && !at.After(now) {
		t.deliver(t.waits.set.Review(now))
		if at = t.waits.set.ReviewAt(); !at.After(now) {
			break // requests may expire at this very moment; the timer looks again
		}
	}
	if at.Equal(t.waits.reviewAt) {
		return
	}
	t.waits.reviewAt = at
	if t.waits.review != nil {
		t.waits.review.Stop()
	}
	if !at.IsZero() {
		t.waits.review = time.AfterFunc(at.Sub(now), t.reviewWaits)
	}
}

func (t *Table) deliver(decisions []waitqueue.Decision) {
	for _, d := range decisions {
		w := t.waits.waiters[d.ID]
		delete(t.waits.waiters, d.ID)
		w.decided <- t.decision(d) // has room: there is one decision for each waiter
	}
}

func (t *Table) decision(d waitqueue.Decision) Decision {
	if d.Placement == nil {
		return Decision{Decision: d}
	}
	t.placed()
	return Decision{Lease: &Lease{Placement: d.Placement, table: t}, Decision: d}
}
