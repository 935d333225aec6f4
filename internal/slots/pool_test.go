package slots

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/world"
)

// A waiting request is refused without further delay once every server reports that it
// accepts no requests. A slot that becomes free afterwards must not be allocated.
func TestWaitingRequestFailsWhenNoServerIsAvailable(t *testing.T) {
	pool := NewPool()
	view := &world.ServiceView{
		Config:   &config.Service{Name: "shop", Queue: 10, QueueWait: config.Duration(time.Hour)},
		Backends: []world.BackendView{{ID: "b1", Slots: 1, SlotShare: 1, Weight: 1}},
	}
	var unavailable atomic.Bool
	req := Request{Deadline: time.Now().Add(time.Hour), Available: func(*world.BackendView) bool { return !unavailable.Load() }}
	first, err := pool.Acquire(context.Background(), view, req)
	if err != nil {
		t.Fatal(err)
	}
	secondErr := make(chan error)
	go func() {
		_, err := pool.Acquire(context.Background(), view, req)
		secondErr <- err
	}()
	for !pool.hasWaiters() {
		time.Sleep(time.Millisecond)
	}
	unavailable.Store(true)
	if err := <-secondErr; errs.KindOf(err) != errs.KindNoBackendServer {
		t.Errorf("waiting request: got %v, want KindNoBackend", err)
	}
	first.Release()
	if _, err := pool.Acquire(context.Background(), view, req); errs.KindOf(err) != errs.KindNoBackendServer {
		t.Errorf("request to an unavailable server with a free slot: got %v, want KindNoBackend", err)
	}
}

func (p *Pool) hasWaiters() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting) > 0
}
