// Package slots allocates the slots of a service's backend servers to the requests
// that one owner host dispatches. Requests that find no free slot wait in a queue
// ordered by deadline.
//
// Each slot belongs to one active owner. An owner uses its own slots first, which
// needs no coordination, and borrows those of other owners according to the load that
// servers report. A host that owns no slots relies on reported load alone.
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
	// reportHalfLife is the half-life of the weight of a reported load.
	reportHalfLife = 50 * time.Millisecond
	// averageWeight is the weight of a new sample in the moving averages of the load
	// from other hosts and of the hold time.
	averageWeight = 1.0 / 32
	// borrowMargin is the number of slots that must be free by estimate for a server to
	// get a request.
	borrowMargin = 0.75
	// borrowDelayFactor is the time for which a request waits for one of its own host's
	// slots before it may borrow, as a fraction of the average hold time.
	borrowDelayFactor = 0.3
	// recheckInterval is how often capacity is checked again for waiting requests, as
	// the weight of reported loads decays.
	recheckInterval = 5 * time.Millisecond
	// minRetryAfter is the minimum of RetryAfter.
	minRetryAfter = time.Second
)

// Request holds the properties of a request that matter for its slot.
type Request struct {
	Idempotent bool
	// Session identifies the session, if not empty. If the service has session affinity,
	// requests of a session prefer the same server.
	Session string
	// Deadline determines the order in the queue.
	Deadline time.Time
	// Exclude lists the IDs of servers already tried.
	Exclude []string
	// Available reports whether a server accepts requests according to its own reports.
	// It is called again whenever a slot may be free. If nil, all servers do.
	Available func(b *world.BackendView) bool
	// Borrow allows slots of other owners. The server may then refuse the request, which
	// costs a retry.
	Borrow bool
}

// waiter is a request in the queue.
type waiter struct {
	request    Request
	enqueuedAt time.Time
	ready      chan *Lease // receives nil if no server is eligible any more
}

// Pool allocates the slots of one service on one host. It is safe for concurrent use.
type Pool struct {
	mu               sync.Mutex
	view             *world.ServiceView
	servers          map[string]*server
	waiting          []*waiter
	recheckScheduled bool
	holdTime         time.Duration // moving average of the time for which a slot is held
}

// NewPool returns an empty pool. Acquire adds the servers of its view.
func NewPool() *Pool {
	return &Pool{servers: make(map[string]*server)}
}

// Lease is the use of one slot of a server until Release.
type Lease struct {
	// Server is the server that the slot belongs to.
	Server world.BackendView
	// Borrowed is true if another owner host owns the slot.
	Borrowed bool

	pool       *Pool
	acquiredAt time.Time
	once       sync.Once
}

// Release returns the slot to the pool. Further calls do nothing.
func (l *Lease) Release() {
	l.once.Do(func() { l.pool.release(l.Server.ID, time.Since(l.acquiredAt)) })
}

// Report records the load that the server reported in a response. inUse includes the
// lease's own request.
func (l *Lease) Report(inUse int) {
	l.pool.report(l.Server.ID, inUse)
}

// Acquire returns a slot for a request. If none is free, it waits in the queue. It
// returns a typed error, without waiting, if the queue is full or no server is
// eligible.
func (p *Pool) Acquire(ctx context.Context, view *world.ServiceView, req Request) (*Lease, error) {
	p.mu.Lock()
	p.update(view)
	if !p.anyEligible(req) {
		p.mu.Unlock()
		return nil, noEligibleServer(view)
	}
	if len(p.waiting) == 0 {
		if lease := p.tryAcquire(req, !p.view.SharesSlots); lease != nil {
			p.mu.Unlock()
			return lease, nil
		}
	}
	if len(p.waiting) >= view.Config.Queue {
		depth := len(p.waiting)
		p.mu.Unlock()
		return nil, errs.New(errs.KindQueueFull, fmt.Sprintf("all slots of %s are in use and %d requests are waiting", view.Config.Name, depth), "repeat the request after the time in Retry-After")
	}
	w := &waiter{request: req, enqueuedAt: time.Now(), ready: make(chan *Lease, 1)}
	p.enqueue(w)
	p.mu.Unlock()
	return p.wait(ctx, w, view)
}

// wait blocks until w gets a slot or is refused, or until ctx is done or the service's
// queue wait has passed.
func (p *Pool) wait(ctx context.Context, w *waiter, view *world.ServiceView) (*Lease, error) {
	timer := time.NewTimer(time.Duration(view.Config.QueueWait))
	defer timer.Stop()
	select {
	case lease := <-w.ready:
		if lease == nil {
			return nil, noEligibleServer(view)
		}
		return lease, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	p.mu.Lock()
	p.waiting = slices.DeleteFunc(p.waiting, func(queued *waiter) bool { return queued == w })
	p.mu.Unlock()
	select {
	case lease := <-w.ready: // granted while timing out
		if lease != nil {
			lease.Release()
		}
	default:
	}
	return nil, errs.New(errs.KindQueueTimeout, "no slot became free in time", "repeat the request after the time in Retry-After")
}

func noEligibleServer(view *world.ServiceView) error {
	return errs.New(errs.KindNoBackendServer, "no backend server of "+view.Config.Name+" may take this request", "repeat it after the time in Retry-After")
}

// Full reports whether the queue is full, so that a request that finds no free slot is
// refused.
func (p *Pool) Full(view *world.ServiceView) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting) >= view.Config.Queue && len(p.waiting) > 0
}

// RetryAfter estimates the time until the present queue has drained, with perRequest as
// the time that one request holds a slot.
func (p *Pool) RetryAfter(view *world.ServiceView, perRequest time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	slotCount := max(view.Config.TotalSlots(), 1)
	drain := time.Duration(len(p.waiting)/slotCount+1) * perRequest
	return max(drain, minRetryAfter)
}

// update adopts a new view of the service. A server that is no longer in it is removed
// once it has no leases. p.mu must be held.
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

// eligible reports whether a server may get the request, regardless of free slots.
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

// tryAcquire returns a lease on a free slot, or nil if there is none. If allowReported
// is false, only slots that this host owns are used, and else also those that are free
// according to the servers' reports.
func (p *Pool) tryAcquire(req Request, allowReported bool) *Lease {
	now := time.Now()
	best := p.pick(now, req, (*server).hasOwnedSlot)
	borrowed := best == nil && p.view.SharesSlots
	if best == nil && allowReported {
		best = p.pick(now, req, (*server).hasReportedCapacity)
	}
	if best == nil {
		return nil
	}
	best.inFlight++
	return &Lease{Server: best.view, Borrowed: borrowed, pool: p, acquiredAt: now}
}

// enqueue inserts w into the queue, behind all requests with the same deadline.
func (p *Pool) enqueue(w *waiter) {
	at, _ := slices.BinarySearchFunc(p.waiting, w, func(queued, added *waiter) int {
		if queued.request.Deadline.After(added.request.Deadline) {
			return 1
		}
		return -1 // equal deadlines keep their order
	})
	p.waiting = slices.Insert(p.waiting, at, w)
	p.scheduleRecheck()
}

// scheduleRecheck starts a timer that checks for free slots while requests are waiting.
// The weight of reported loads decays, so a slot may become free without a release.
func (p *Pool) scheduleRecheck() {
	if p.recheckScheduled || len(p.waiting) == 0 {
		return
	}
	p.recheckScheduled = true
	time.AfterFunc(recheckInterval, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.recheckScheduled = false
		p.grantWaiting()
		p.scheduleRecheck()
	})
}

// grantWaiting allocates free slots to waiting requests in queue order, and refuses
// requests for which no server is eligible any more.
func (p *Pool) grantWaiting() {
	p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool {
		lease := p.tryAcquire(w.request, p.mayUseReportedCapacity(w))
		if lease == nil && p.anyEligible(w.request) {
			return false
		}
		w.ready <- lease
		return true
	})
}

// mayUseReportedCapacity reports whether a waiting request may get a slot that is free
// only according to the servers' reports. If the slots have owners, that is borrowing:
// the request must allow it and have waited for borrowDelayFactor of the average hold
// time. Borrowing at once would take slots that their owner is about to use.
func (p *Pool) mayUseReportedCapacity(w *waiter) bool {
	if !p.view.SharesSlots {
		return true
	}
	return w.request.Borrow && time.Since(w.enqueuedAt) >= time.Duration(borrowDelayFactor*float64(p.holdTime))
}

// release ends a lease that was held for holdTime.
func (p *Pool) release(id string, holdTime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holdTime += time.Duration(averageWeight * float64(holdTime-p.holdTime))
	s, ok := p.servers[id]
	if !ok {
		return
	}
	s.inFlight--
	p.grantWaiting()
}

// report records the load that a server reported, less this host's own requests.
func (p *Pool) report(id string, inUse int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.servers[id]
	if !ok {
		return
	}
	s.otherLoad = float64(max(inUse-s.inFlight, 0))
	s.avgOtherLoad += averageWeight * (s.otherLoad - s.avgOtherLoad)
	s.reportedAt = time.Now()
}
