package memory_test

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/pearshelf/pearshelf/internal/memory"
)

// Concurrent reservations never exceed a quarter of the host's memory. Reservations of bytes that
// need not be held leave half of that for bytes that must.
func TestBudgetLimitsReservations(t *testing.T) {
	const host, one = 1 << 20, 1 << 10
	budget := memory.NewBudget(host)
	var optional, must atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				if budget.TryAcquireOptional(one) {
					optional.Add(one)
				}
			}
		})
	}
	wg.Wait()
	if held := optional.Load(); held != host/8 || budget.InUse() != held {
		t.Errorf("%d optional bytes held, %d in total", held, budget.InUse())
	}
	for budget.TryAcquire(one) {
		must.Add(one)
	}
	if held := must.Load() + optional.Load(); held != host/4 {
		t.Errorf("%d bytes held of a host's %d", held, host)
	}
	budget.Release(optional.Load())
	if !budget.TryAcquire(one) || budget.TryAcquireOptional(one) {
		t.Error("returned bytes are not available, or are available to optional reservations")
	}
}
