package frontend

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/startup"
)

func never() bool { return false }

// Requests that wait for the first configuration are all let in once it is in force, also those that
// have waited for longer than the fixed 0.5 s after which they were refused, and a request that has too
// little time left is refused and not let in later.
func TestWaitingRequestsAreLetIn(t *testing.T) {
	queue := newStartupQueue(0)
	ready := make(chan struct{})
	var wg sync.WaitGroup
	results := make(chan string, 20)
	arrived := time.Now()
	for range 19 {
		wg.Go(func() { results <- queue.wait(context.Background(), ready, never, arrived, 4*time.Second, 0) })
	}
	if got := queue.wait(context.Background(), ready, never, arrived, 100*time.Millisecond, 0); got != waitExpired {
		t.Errorf("request with 100 ms: %s, want %s", got, waitExpired)
	}
	time.Sleep(600*time.Millisecond - time.Since(arrived))
	begin := time.Now()
	close(ready)
	wg.Wait()
	if took := time.Since(begin); took > startup.MaxSpread+200*time.Millisecond {
		t.Errorf("requests were let in over %s", took)
	}
	for range 19 {
		if got := <-results; got != waitAdmitted {
			t.Errorf("result %s, want %s", got, waitAdmitted)
		}
	}
}

// A caller that disconnects and a host that stops end the wait; nothing is left behind.
func TestWaitEnds(t *testing.T) {
	queue := newStartupQueue(0)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	if got := queue.wait(ctx, nil, never, time.Now(), time.Minute, 0); got != waitLeft {
		t.Errorf("disconnected caller: %s", got)
	}
	ready := make(chan struct{})
	if got := queue.wait(context.Background(), ready, func() bool { return true }, time.Now(), time.Minute, 0); got != waitStopped {
		t.Errorf("stopping host: %s", got)
	}
	if queue.hold.Len() != 0 || len(queue.admitted) != 0 {
		t.Errorf("%d requests and %d channels are left", queue.hold.Len(), len(queue.admitted))
	}
}
