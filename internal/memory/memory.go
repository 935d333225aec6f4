// Package memory limits the bytes of request and response bodies that a host holds. Callers and
// backend servers may read and write slowly, and each body buffered meanwhile counts towards the
// memory of the process, which is killed when it exceeds its limit.
package memory

import "sync/atomic"

const (
	// bodyFraction is the fraction of the host's memory that may hold bodies.
	bodyFraction = 0.25
	// optionalFraction is the fraction of that available to bodies that can also be streamed without
	// buffering.
	optionalFraction = 0.5
	// DefaultHostBytes is assumed if the host's memory size is unknown.
	DefaultHostBytes = 512 << 20
)

// Budget limits the bytes of bodies that a host holds. It is safe for concurrent use.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// NewBudget returns the budget of a host with the given memory, DefaultHostBytes if it is 0.
func NewBudget(hostBytes int64) *Budget {
	if hostBytes <= 0 {
		hostBytes = DefaultHostBytes
	}
	return &Budget{limit: int64(bodyFraction * float64(hostBytes))}
}

// TryAcquire reserves n bytes that must be held, and reports whether there is room. Reserved bytes must
// be released with Release.
func (b *Budget) TryAcquire(n int64) bool { return b.tryAcquire(n, b.limit) }

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
