// Package memory limits the bytes of request heads and of request and response bodies that a host holds. Callers and
// backend servers may read and write slowly, and what is held meanwhile counts towards the memory of the process,
// which is killed when it exceeds its limit.
package memory

import (
	"errors"
	"runtime/debug"
	"sync/atomic"
)

const (
	// budgetFraction is the fraction of the host's memory that may hold heads and bodies.
	budgetFraction = 0.25
	// optionalFraction is the fraction of that available to bodies that can also be streamed without
	// buffering, largeFraction the fraction available to requests larger than ordinary ones.
	optionalFraction = 0.5
	largeFraction    = 0.5
	// runtimeFraction is the fraction of the host's memory from which on the runtime collects garbage more often.
	runtimeFraction = 0.75
	// DefaultHostBytes is assumed if the host's memory size is unknown.
	DefaultHostBytes = 512 << 20
)

// ErrNoRoom is the error of reading a request that was given up for others.
var ErrNoRoom = errors.New("the host has no memory left for the request")

// Budget limits the bytes that a host holds. It is safe for concurrent use.
type Budget struct {
	limit int64
	held  atomic.Int64
	// makeRoom releases some reserved bytes, see OnFull.
	makeRoom func(missing int64) bool
}

// NewBudget returns the budget of a host with the given memory, DefaultHostBytes if it is 0.
func NewBudget(hostBytes int64) *Budget {
	if hostBytes <= 0 {
		hostBytes = DefaultHostBytes
	}
	return &Budget{limit: int64(budgetFraction * float64(hostBytes)), makeRoom: func(int64) bool { return false }}
}

// HostBytesFor returns the memory of a host on which requests larger than ordinary ones may take n bytes together.
func HostBytesFor(n int64) int64 { return int64(float64(n) / (budgetFraction * largeFraction)) }

// OnFull sets a function that is called when room for bytes that must be held is missing. It releases some reserved
// bytes that the host can do without, and returns false if it has too few of them. OnFull must be called before the
// budget is used.
func (b *Budget) OnFull(makeRoom func(missing int64) bool) { b.makeRoom = makeRoom }

// TryAcquire reserves n bytes that must be held, and reports whether there is room. Reserved bytes must
// be released with Release.
func (b *Budget) TryAcquire(n int64) bool { return b.acquire(n, b.limit) }

// TryAcquireLarge is like TryAcquire, but for requests larger than ordinary ones. It leaves room for those.
func (b *Budget) TryAcquireLarge(n int64) bool {
	return b.acquire(n, int64(largeFraction*float64(b.limit)))
}

// acquire reserves n bytes, and makes room for them if needed and possible.
func (b *Budget) acquire(n, limit int64) bool {
	if n > limit {
		return false
	}
	for !b.tryAcquire(n, limit) {
		if !b.makeRoom(b.held.Load() + n - limit) {
			return false
		}
	}
	return true
}

// TryAcquireOptional is like TryAcquire, but for bytes that need not be held. It leaves room for
// those that must.
func (b *Budget) TryAcquireOptional(n int64) bool {
	return b.tryAcquire(n, int64(optionalFraction*float64(b.limit)))
}

func (b *Budget) tryAcquire(n, limit int64) bool {
	if b.held.Add(n) <= limit {
		return true
	}
	b.held.Add(-n)
	return false
}

// Release releases n reserved bytes.
func (b *Budget) Release(n int64) { b.held.Add(-n) }

// InUse returns the number of bytes reserved now.
func (b *Budget) InUse() int64 { return b.held.Load() }

// LimitRuntime has the runtime collect garbage more often when the process comes near the host's memory, which is
// unlimited if it is 0.
func LimitRuntime(hostBytes int64) {
	if hostBytes > 0 {
		debug.SetMemoryLimit(int64(runtimeFraction * float64(hostBytes)))
	}
}
