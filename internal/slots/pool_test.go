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

// A request that waits for a slot is refused at once when no server takes requests any more,
// as they report, and none is given a slot that becomes free then.
func TestWaitingRequestIsRefusedWhenServersTakeNone(t *testing.T) {
	pool := NewPool()
	view := &world.ServiceView{
		Config:   &config.Service{Name: "shop", Queue: 10, QueueWait: config.Duration(time.Hour)},
		Backends: []world.BackendView{{ID: "b1", Slots: 1, Share: 1, Weight: 1}},
	}
	var away atomic.Bool
	req := Request{Deadline: time.Now().Add(time.Hour), Available: func(*world.BackendView) bool { return !away.Load() }}
	first, err := pool.Acquire(context.Background(), view, req)
	if err != nil {
		t.Fatal(err)
	}
	refused := make(chan error)
	go func() {
		_, err := pool.Acquire(context.Background(), view, req)
		refused <- err
	}()
	for !pool.someoneWaits() {
		time.Sleep(time.Millisecond)
	}
	away.Store(true)
	if err := <-refused; errs.KindOf(err) != errs.KindNoBackend {
		t.Errorf("refused with %v", err)
	}
	first.Release()
	if _, err := pool.Acquire(context.Background(), view, req); errs.KindOf(err) != errs.KindNoBackend {
		t.Errorf("a free slot of a server that takes no requests is given: %v", err)
	}
}

func (p *Pool) someoneWaits() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting) > 0
}
