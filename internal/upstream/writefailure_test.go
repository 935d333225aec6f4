package upstream_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"

	"github.com/pearshelf/pearshelf/internal/upstream"
)

// scriptedConn is a connection whose writes end as write says. Its peer sends nothing.
type scriptedConn struct {
	net.Conn // unused methods
	write    func(p []byte) (int, error)
	closed   chan struct{}
	once     sync.Once

	mu       sync.Mutex
	accepted int
}

func (c *scriptedConn) Read([]byte) (int, error) {
	<-c.closed
	return 0, net.ErrClosed
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	n, err := c.write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepted += n
	return n, err
}

func (c *scriptedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

func (c *scriptedConn) bytesAccepted() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.accepted
}

// Guards against a request that counts as not written although its connection has accepted a
// part of it.
func TestFailureCountsAsUnwrittenOnlyIfNoByteIsAccepted(t *testing.T) {
	const half = 64
	for name, c := range map[string]struct {
		accepted int
		err      error
		written  bool
	}{
		"no byte accepted":               {accepted: 0, err: syscall.EPIPE},
		"a part accepted before a reset": {accepted: half, err: syscall.ECONNRESET, written: true},
	} {
		t.Run(name, func(t *testing.T) {
			conn := &scriptedConn{write: func([]byte) (int, error) { return c.accepted, c.err }, closed: make(chan struct{})}
			transport := upstream.NewTransport(upstream.Config{
				Dial: func(context.Context, string, string) (net.Conn, error) { return conn, nil },
			})
			request, err := http.NewRequest(http.MethodPost, "http://192.0.2.1/", upstream.Body(nil))
			if err != nil {
				t.Fatal(err)
			}
			_, failure := transport.Do(t.Context(), request, upstream.Conditions{})
			if failure == nil || failure.Written != c.written {
				t.Fatalf("failure %+v, want one with written %t", failure, c.written)
			}
			if got := conn.bytesAccepted(); (got > 0) != c.written {
				t.Errorf("the connection accepted %d bytes, counted as written: %t", got, c.written)
			}
		})
	}
}
