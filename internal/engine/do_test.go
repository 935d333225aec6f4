package engine_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/world"
)

// A caller of Do that gives up may read what its function writes: the function must not run
// afterwards. One that has begun by then is waited for.
func TestDoThatIsGivenUp(t *testing.T) {
	e := newEngine()
	ctx, cancel := context.WithCancel(context.Background())
	gaveUp := make(chan error)
	var ran atomic.Bool
	go func() {
		gaveUp <- e.Do(ctx, func(*world.World, time.Time) { ran.Store(true) })
	}()
	cancel()
	if err := <-gaveUp; err == nil {
		t.Fatal("done, though the loop does not run")
	}
	running, stop := context.WithCancel(context.Background())
	defer stop()
	go e.Run(running)
	if err := e.Do(running, func(*world.World, time.Time) {}); err != nil { // behind the one that was given up
		t.Fatal(err)
	}
	if ran.Load() {
		t.Error("the function ran after its caller had given up")
	}

	ctx, cancel = context.WithCancel(context.Background())
	begun, finish := make(chan struct{}), make(chan struct{})
	written := 0
	go func() {
		<-begun
		cancel()
		close(finish)
	}()
	err := e.Do(ctx, func(*world.World, time.Time) {
		close(begun)
		<-finish
		written = 1
	})
	if err != nil || written != 1 {
		t.Errorf("returned %v with %d written: it had begun", err, written)
	}
}
