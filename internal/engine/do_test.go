package engine_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/world"
)

// After Do has returned an error, its caller may read variables that the function writes, so
// the function must not run later. Do must wait for a function that has already started.
func TestDoCancelled(t *testing.T) {
	e := newEngine()
	ctx, cancel := context.WithCancel(context.Background())
	doErr := make(chan error)
	var ran atomic.Bool
	go func() {
		doErr <- e.Do(ctx, func(*world.World, time.Time) { ran.Store(true) })
	}()
	cancel()
	if err := <-doErr; err == nil {
		t.Fatal("Do succeeded although the loop is not running")
	}
	running, stop := context.WithCancel(context.Background())
	defer stop()
	go e.Run(running)
	if err := e.Do(running, func(*world.World, time.Time) {}); err != nil { // queued behind the cancelled one
		t.Fatal(err)
	}
	if ran.Load() {
		t.Error("the function ran after Do had been cancelled")
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
		t.Errorf("Do returned %v with %d written, want nil and 1 for a function that had started", err, written)
	}
}
