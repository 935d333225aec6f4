package upstream_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/upstream"
)

// abortingServer answers the first request on each connection. It runs any later
// one too, but then closes the connection without a response.
type abortingServer struct {
	listener net.Listener
	runs     atomic.Int64
}

func newAbortingServer(t *testing.T) *abortingServer {
	t.Helper()
	c := &abortingServer{}
	var err error
	if c.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	type connKey struct{}
	server := &http.Server{
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, new(atomic.Int64))
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c.runs.Add(1)
			if r.Context().Value(connKey{}).(*atomic.Int64).Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "ok")
		}),
	}
	go func() { _ = server.Serve(c.listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return c
}

func (c *abortingServer) request(t *testing.T, body io.ReadCloser) *http.Request {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+c.listener.Addr().String()+"/", body)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Idempotency-Key", "k")
	return req
}

func drain(t *testing.T, body io.ReadCloser) {
	t.Helper()
	if _, err := io.Copy(io.Discard, body); err != nil {
		t.Fatal(err)
	}
	body.Close()
}

// http.Transport resends a POST with Idempotency-Key and no body when a reused
// connection breaks. This is why upstream never sends a request with a nil body.
func TestStandardTransportResends(t *testing.T) {
	c := newAbortingServer(t)
	transport := &http.Transport{}
	resp, err := transport.RoundTrip(c.request(t, nil))
	if err != nil {
		t.Fatal(err)
	}
	drain(t, resp.Body)
	if resp, err = transport.RoundTrip(c.request(t, nil)); err == nil {
		drain(t, resp.Body)
	}
	if runs := c.runs.Load(); runs != 3 {
		t.Fatalf("got %d runs, want 3: http.Transport no longer resends, so the rule against nil bodies may be unnecessary", runs)
	}
}

func TestTransportNeverResends(t *testing.T) {
	c := newAbortingServer(t)
	transport := upstream.NewTransport(upstream.Config{DialTimeout: upstream.DefaultDialTimeout})
	answer, failure := transport.Do(t.Context(), c.request(t, upstream.Body(nil)), upstream.Conditions{})
	if failure != nil {
		t.Fatal(failure)
	}
	drain(t, answer.Body)
	_, failure = transport.Do(t.Context(), c.request(t, upstream.Body(nil)), upstream.Conditions{})
	if failure == nil || !failure.Written {
		t.Fatalf("got %+v, want a failure after the write", failure)
	}
	if runs := c.runs.Load(); runs != 2 {
		t.Fatalf("got %d runs of 2 requests", runs)
	}
}

func TestDialFailureIsNotWritten(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	req, err := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String()+"/", upstream.Body(nil))
	if err != nil {
		t.Fatal(err)
	}
	_, failure := upstream.NewTransport(upstream.Config{DialTimeout: upstream.DefaultDialTimeout}).Do(t.Context(), req, upstream.Conditions{})
	if failure == nil || failure.Written || failure.Connected || errs.KindOf(failure) != errs.KindDialFailed {
		t.Fatalf("got %+v, want a dial failure", failure)
	}
}

// No byte is sent if the guard returns an error, on a new connection or a reused
// one.
func TestGuardPreventsWrite(t *testing.T) {
	c := newAbortingServer(t)
	transport := upstream.NewTransport(upstream.Config{DialTimeout: upstream.DefaultDialTimeout})
	reject := func() error { return errors.New("paused") }
	for _, reused := range []bool{false, true} {
		if reused {
			answer, failure := transport.Do(t.Context(), c.request(t, upstream.Body(nil)), upstream.Conditions{})
			if failure != nil {
				t.Fatal(failure)
			}
			drain(t, answer.Body)
		}
		before := c.runs.Load()
		body := io.NopCloser(strings.NewReader("payload"))
		_, failure := transport.Do(t.Context(), c.request(t, body), upstream.Conditions{Guard: reject})
		if failure == nil || failure.Written || errs.KindOf(failure) != errs.KindStaleHost {
			t.Fatalf("got %+v, want a write rejected by the guard", failure)
		}
		if c.runs.Load() != before {
			t.Fatal("the server ran a request that the guard rejected")
		}
	}
}

// A request that is cancelled after it was written is reported as written.
func TestCancelAfterWriteIsWritten(t *testing.T) {
	arrived := make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	ctx, cancel := context.WithCancelCause(t.Context())
	go func() {
		<-arrived
		cancel(context.DeadlineExceeded)
	}()
	req, err := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String()+"/", upstream.Body(nil))
	if err != nil {
		t.Fatal(err)
	}
	_, failure := upstream.NewTransport(upstream.Config{DialTimeout: upstream.DefaultDialTimeout}).Do(ctx, req, upstream.Conditions{})
	if failure == nil || !failure.Written || errs.KindOf(failure) != errs.KindDeadline {
		t.Fatalf("got %+v, want a deadline failure after the write", failure)
	}
}
