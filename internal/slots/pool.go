// Package slots gives the slots of a service's backend servers to the requests
// that one owner host dispatches, and queues what does not fit, ordered by
// deadline.
//
// Each slot belongs to one active owner. An owner uses its own slots first,
// which needs no knowledge of the others, and borrows others' by the load that
// servers report. A host that owns none goes by reported load alone.
package slots

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	// reportHalfLife is how fast a reported load of others loses its weight.
	reportHalfLife = 50 * time.Millisecond
	// usualGain is the weight of one report in the usual load.
	usualGain = 1.0 / 32
	// borrowMargin is how much room the estimate must show.
	borrowMargin = 0.75
	// borrowAfter times the average hold is how long a request waits for one of
	// its own host's slots before it may borrow.
	borrowAfter = 0.3
	// recheckEvery is how often waiting requests look for decayed reports.
	recheckEvery = 5 * time.Millisecond
	// minRetryAfter is the least time a refused caller is told to wait.
	minRetryAfter = time.Second
)

// Request is what the pool needs to know of a request.
type Request struct {
	Idempotent bool
	// Session prefers the same server for the same session, if not empty.
	Session string
	// Deadline orders the queue.
	Deadline time.Time
	// Exclude are servers already tried.
	Exclude []string
	// Available reports whether a server takes requests, as it reports itself; asked again each
	// time that a slot is free; nil for all do.
	Available func(b *world.BackendView) bool
	// Borrow allows slots of other owners; the server may then refuse.
	Borrow bool
}

type waiter struct {
	request Request
	since   time.Time
	ready   chan *Lease // gets nil if no server may have the request any more
}

// Pool is the slots of one service on one host. It is safe for concurrent use.
type Pool struct {
	mu      sync.Mutex
	view    *world.ServiceView
	servers map[string]*server
	waiting []*waiter
	timer   bool
	held    time.Duration // average time for which a slot is held
}

// NewPool returns an empty pool; Acquire brings it up to date.
func NewPool() *Pool {
	return &Pool{servers: make(map[string]*server)}
}

// Lease is the right to one slot of a server until Release.
type Lease struct {
	// Server is where to send.
	Server world.BackendView
	// Borrowed is set if the slot belongs to another owner.
	Borrowed bool

	pool  *Pool
	since time.Time
	once  sync.Once
}

// Release gives the slot back. Further calls do nothing.
func (l *Lease) Release() {
	l.once.Do(func() { l.pool.release(l.Server.ID, time.Since(l.since)) })
}

// Report notes the load that the server told in an answer, its own request
// still counted.
func (l *Lease) Report(inUse int) {
	l.pool.report(l.Server.ID, inUse)
}

// Acquire returns a slot, waiting in the queue if none is free. It returns a
// typed error at once if the queue is full or no server may be used.
func (p *Pool) Acquire(ctx context.Context, view *world.ServiceView, req Request) (*Lease, error) {
	p.mu.Lock()
	p.update(view)
	if !p.anyEligible(req) {
		p.mu.Unlock()
		return nil, noneEligible(view)
	}
	if len(p.waiting) == 0 {
		if lease := p.take(req, !p.view.SharesSlots); lease != nil {
			p.mu.Unlock()
			return lease, nil
		}
	}
	if len(p.waiting) >= view.Config.Queue {
		depth := len(p.waiting)
		p.mu.Unlock()
		return nil, errs.New(errs.KindQueueFull, fmt.Sprintf("all slots of %s are busy and %d requests wait", view.Config.Name, depth), "repeat the request after the time in Retry-After")
	}
	w := &waiter{request: req, since: time.Now(), ready: make(chan *Lease, 1)}
	p.enqueue(w)
	p.mu.Unlock()
	return p.wait(ctx, w, view)
}

func (p *Pool) wait(ctx context.Context, w *waiter, view *world.ServiceView) (*Lease, error) {
	timer := time.NewTimer(time.Duration(view.Config.QueueWait))
	defer timer.Stop()
	select {
	case lease := <-w.ready:
		if lease == nil {
			return nil, noneEligible(view)
		}
		return lease, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	p.mu.Lock()
	p.waiting = slices.DeleteFunc(p.waiting, func(held *waiter) bool { return held == w })
	p.mu.Unlock()
	select {
	case lease := <-w.ready: // granted while giving up
		if lease != nil {
			lease.Release()
		}
	default:
	}
	return nil, errs.New(errs.KindQueueTimeout, "no slot became free in time", "repeat the request after the time in Retry-After")
}

func noneEligible(view *world.ServiceView) error {
	return errs.New(errs.KindNoBackend, "no backend server of "+view.Config.Name+" may take this request", "repeat it after the time in Retry-After")
}

// Full reports whether a request would be refused at once.
func (p *Pool) Full(view *world.ServiceView) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting) >= view.Config.Queue && len(p.waiting) > 0
}

// RetryAfter estimates when the present queue will have drained.
func (p *Pool) RetryAfter(view *world.ServiceView, perRequest time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	slotCount := max(view.Config.TotalSlots(), 1)
	drain := time.Duration(len(p.waiting)/slotCount+1) * perRequest
	return max(drain, minRetryAfter)
}

// update follows a new view; counts of servers that left end with their leases.
func (p *Pool) update(view *world.ServiceView) {
	if view == p.view {
		return
	}
	p.view = view
	seen := make(map[string]bool, len(view.Backends))
	for _, b := range view.Backends {
		seen[b.ID] = true
		s, ok := p.servers[b.ID]
		if !ok {
			s = &server{}
			p.servers[b.ID] = s
		}
		s.view = b
	}
	for id, s := range p.servers {
		if !seen[id] && s.inFlight == 0 {
			delete(p.servers, id)
		}
	}
}

func eligible(b *world.BackendView, req Request) bool {
	if b.IdempotentOnly && !req.Idempotent {
		return false
	}
	if slices.Contains(req.Exclude, b.ID) {
		return false
	}
	return req.Available == nil || req.Available(b)
}

func (p *Pool) anyEligible(req Request) bool {
	for i := range p.view.Backends {
		if eligible(&p.view.Backends[i], req) {
			return true
		}
	}
	return false
}

// take picks a server with a free slot, or returns nil. guess allows slots that
// are free only by what servers reported.
func (p *Pool) take(req Request, guess bool) *Lease {
	now := time.Now()
	best := p.pick(now, req, (*server).hasOwnSlot)
	borrowed := best == nil && p.view.SharesSlots
	if best == nil && guess {
		best = p.pick(now, req, (*server).hasRoom)
	}
	if best == nil {
		return nil
	}
	best.inFlight++
	return &Lease{Server: best.view, Borrowed: borrowed, pool: p, since: now}
}

func (p *Pool) enqueue(w *waiter) {
	at, _ := slices.BinarySearchFunc(p.waiting, w, func(held, added *waiter) int {
		if held.request.Deadline.After(added.request.Deadline) {
			return 1
		}
		return -1 // after all with the same deadline
	})
	p.waiting = slices.Insert(p.waiting, at, w)
	p.schedule()
}

// schedule looks again later, because reported loads decay without a release.
func (p *Pool) schedule() {
	if p.timer || len(p.waiting) == 0 {
		return
	}
	p.timer = true
	time.AfterFunc(recheckEvery, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.timer = false
		p.serveWaiting()
		p.schedule()
	})
}

// serveWaiting gives free slots to waiting requests in order, and refuses those that no
// server may have any more.
func (p *Pool) serveWaiting() {
	p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool {
		lease := p.take(w.request, p.mayGuess(w))
		if lease == nil && p.anyEligible(w.request) {
			return false
		}
		w.ready <- lease
		return true
	})
}

// mayGuess reports whether a waiting request may borrow: it has waited for about
// as long as a slot is usually held, and retries are to be had. Borrowing at
// once would take slots that their owner is about to use.
func (p *Pool) mayGuess(w *waiter) bool {
	if !p.view.SharesSlots {
		return true
	}
	return w.request.Borrow && time.Since(w.since) >= time.Duration(borrowAfter*float64(p.held))
}

func (p *Pool) release(id string, held time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held += time.Duration(usualGain * float64(held-p.held))
	s, ok := p.servers[id]
	if !ok {
		return
	}
	s.inFlight--
	p.serveWaiting()
}

func (p *Pool) report(id string, inUse int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.servers[id]
	if !ok {
		return
	}
	s.others = float64(max(inUse-s.inFlight, 0))
	s.usual += usualGain * (s.others - s.usual)
	s.othersAt = time.Now()
}
