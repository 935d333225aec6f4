// Package memory bounds the bytes of bodies that a host holds: callers and backend servers may
// read and write slowly, and each body that is held meanwhile counts towards the memory of the
// process, which is ended when it has too much.
package memory

import "sync/atomic"

const (
	// bodiesShare of a host's memory may hold bodies.
	bodiesShare = 0.25
	// optionalShare of that may hold what can also be passed on without being held.
	optionalShare = 0.5
	// DefaultHostBytes is assumed where a host does not know its memory.
	DefaultHostBytes = 512 << 20
)

// Budget is how many bytes of bodies a host may hold. It is safe for concurrent use.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// NewBudget returns the budget of a host with so much memory, 0 for DefaultHostBytes.
func NewBudget(hostBytes int64) *Budget {
	if hostBytes <= 0 {
		hostBytes = DefaultHostBytes
	}
	return &Budget{limit: int64(bodiesShare * float64(hostBytes))}
}

// Take takes bytes that must be held, and reports whether there is room. What is taken must be
// returned.
func (b *Budget) Take(n int64) bool { return b.take(n, b.limit) }

// TakeOptional takes bytes that need not be held, and leaves room for those that must.
func (b *Budget) TakeOptional(n int64) bool {
	return b.take(n, int64(optionalShare*float64(b.limit)))
}

func (b *Budget) take(n, limit int64) bool {
	if b.held.Add(n) <= limit {
		return true
	}
	b.held.Add(-n)
	return false
}

// Return gives bytes back.
func (b *Budget) Return(n int64) { b.held.Add(-n) }

// Held is how many bytes are held now.
func (b *Budget) Held() int64 { return b.held.Load() }
