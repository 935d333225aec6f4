package dispatch

import "sync"

const (
	// retryRatio is the number of retries earned per first attempt. It bounds the load that
	// failures add.
	retryRatio = 0.1
	// maxRetryTokens caps the budget and is also its initial value, so that a service with
	// little traffic can retry at all.
	maxRetryTokens = 10
)

// retryBudget is the retry budget (a token bucket) of one service on one host.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: maxRetryTokens} }

// deposit credits the budget for a first attempt.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryRatio, maxRetryTokens)
}

// withdraw takes a token for a retry, or reports that there is none.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// overdraw takes a token for an attempt that has already been made. The balance may become
// negative.
func (b *retryBudget) overdraw() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens--
}

// isAmple reports whether the budget allows attempts that are likely to be refused.
func (b *retryBudget) isAmple() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens >= maxRetryTokens/2
}
