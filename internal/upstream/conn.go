package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// DefaultDialTimeout bounds the start of a connection.
const DefaultDialTimeout = time.Second

var (
	errSealed = errors.New("connection sealed: its request was given up before a byte was written")
	errGuard  = errors.New("write forbidden by the last check")
)

// trackedConn knows whether a write has begun since a mark, and can forbid
// writes from then on. It turns "the request failed" into the proof that no
// byte of it can have left this host.
type trackedConn struct {
	net.Conn

	mu     sync.Mutex
	begun  uint64
	sealed bool
	guard  Guard
	// idleTimeout is what the server announced, 0 for nothing.
	idleTimeout time.Duration
}

// Write notes that a write begins before any byte can leave.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	if err := c.check(); err != nil {
		c.mu.Unlock()
		return 0, err
	}
	c.begun++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.nothingWritten()
	}
	return n, err
}

// nothingWritten takes back the note of a write that the system refused whole,
// as on a connection that the other side has closed.
func (c *trackedConn) nothingWritten() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun--
}

// check asks the guard once, before the first write of a request.
func (c *trackedConn) check() error {
	guard := c.guard
	c.guard = nil
	if guard == nil {
		return nil
	}
	if err := guard(); err != nil {
		c.sealed = true
		return errors.Join(errGuard, err)
	}
	return nil
}

// arm sets the guard of the next request and returns a mark, the present point
// in the connection's life.
func (c *trackedConn) arm(guard Guard) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard = guard
	return c.begun
}

// sealIfUnwritten reports whether no write has begun since the mark. If so, no
// write can begin any more.
func (c *trackedConn) sealIfUnwritten(mark uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun != mark {
		return false
	}
	c.sealed = true
	return true
}

// tracked returns a dial function whose connections know what was written.
func tracked(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn}, nil
	}
}
