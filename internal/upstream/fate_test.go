package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

func TestFateOfAddresses(t *testing.T) {
	alive, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer alive.Close()
	ended, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended.Close()
	fates := NewFates()
	for address, want := range map[string]Fate{alive.Addr().String(): FateAlive, ended.Addr().String(): FateEnded} {
		if got := fates.Of(address); got != want {
			t.Errorf("%s: %s, want %s", address, got, want)
		}
	}
}

// A path that is cut says nothing of the server.
func TestSilenceIsNoEnd(t *testing.T) {
	for _, err := range []error{os.ErrDeadlineExceeded, errors.New("no route to host")} {
		if got := fateOf(&net.OpError{Op: "dial", Err: err}); got != FateUnknown {
			t.Errorf("%v: %s", err, got)
		}
	}
}

// All requests that lose a connection at one moment make one connection between them.
func TestOneCheckForAll(t *testing.T) {
	var dials atomic.Int32
	release := make(chan struct{})
	fates := NewFates()
	fates.dial = func(context.Context, string) error {
		dials.Add(1)
		<-release
		return nil
	}
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() { fates.Of("10.0.0.1:80") })
	}
	for dials.Load() == 0 {
		time.Sleep(time.Millisecond) // until the first is under way
	}
	close(release)
	wg.Wait()
	if n := dials.Load(); n != 1 {
		t.Errorf("%d connections", n)
	}
}

func TestFatesAreBounded(t *testing.T) {
	fates := NewFates()
	fates.dial = func(context.Context, string) error { return nil }
	for i := range 2 * maxFates {
		fates.Of(fmt.Sprintf("10.0.0.1:%d", i))
	}
	if n := len(fates.checks); n > maxFates {
		t.Errorf("%d addresses are remembered", n)
	}
}
