package dispatch

import "sync"

const (
	// retryShare is the part of first tries that may be tried again; it bounds
	// the load that failures add.
	retryShare = 0.1
	// retryReserve lets a quiet service retry at all.
	retryReserve = 10
)

// budget is the retry budget of one service on one host.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

func newBudget() *budget { return &budget{tokens: retryReserve} }

// first notes a first try.
func (b *budget) first() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryShare, retryReserve)
}

// retry takes a token for another try, or reports that there is none.
func (b *budget) retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// charge takes a token for a try that is already spent.
func (b *budget) charge() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens--
}

// ample reports whether there is enough for tries that may well be refused.
func (b *budget) ample() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens >= retryReserve/2
}
