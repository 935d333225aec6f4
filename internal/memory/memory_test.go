package memory_test

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/pearshelf/pearshelf/internal/memory"
)

// However many take at once, no more is held than a quarter of the host's memory, and what can be
// passed on without being held leaves half of that for what cannot.
func TestBudgetHolds(t *testing.T) {
	const host, one = 1 << 20, 1 << 10
	budget := memory.NewBudget(host)
	var optional, must atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				if budget.TakeOptional(one) {
					optional.Add(one)
				}
			}
		})
	}
	wg.Wait()
	if held := optional.Load(); held != host/8 || budget.Held() != held {
		t.Errorf("%d bytes held that need not be, %d in all", held, budget.Held())
	}
	for budget.Take(one) {
		must.Add(one)
	}
	if held := must.Load() + optional.Load(); held != host/4 {
		t.Errorf("%d bytes held of %d", held, host)
	}
	budget.Return(optional.Load())
	if !budget.Take(one) || budget.TakeOptional(one) {
		t.Error("what was returned is not to be had, or not first by what must be held")
	}
}
