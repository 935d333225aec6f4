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

func TestLivenessOfAddresses(t *testing.T) {
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
	checker := NewLivenessChecker((&net.Dialer{}).DialContext)
	for address, want := range map[string]Liveness{alive.Addr().String(): LivenessAlive, ended.Addr().String(): LivenessEnded} {
		if got := checker.Check(address); got != want {
			t.Errorf("liveness of %s: got %s, want %s", address, got, want)
		}
	}
}

// A timeout or an unreachable network does not show that the server has ended.
func TestNoResponseIsUnknown(t *testing.T) {
	for _, err := range []error{os.ErrDeadlineExceeded, errors.New("no route to host")} {
		if got := livenessOf(&net.OpError{Op: "dial", Err: err}); got != LivenessUnknown {
			t.Errorf("liveness after %v: got %s", err, got)
		}
	}
}

// Concurrent checks of one address share one connection attempt.
func TestConcurrentChecksShareOneDial(t *testing.T) {
	var dials atomic.Int32
	release := make(chan struct{})
	checker := NewLivenessChecker((&net.Dialer{}).DialContext)
	checker.dial = func(context.Context, string) error {
		dials.Add(1)
		<-release
		return nil
	}
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() { checker.Check("10.0.0.1:80") })
	}
	for dials.Load() == 0 {
		time.Sleep(time.Millisecond) // until the first dial has started
	}
	close(release)
	wg.Wait()
	if n := dials.Load(); n != 1 {
		t.Errorf("got %d dials, want 1", n)
	}
}

func TestCachedChecksAreBounded(t *testing.T) {
	checker := NewLivenessChecker((&net.Dialer{}).DialContext)
	checker.dial = func(context.Context, string) error { return nil }
	for i := range 2 * maxChecks {
		checker.Check(fmt.Sprintf("10.0.0.1:%d", i))
	}
	if n := len(checker.checks); n > maxChecks {
		t.Errorf("%d checks are cached, more than maxChecks", n)
	}
}
