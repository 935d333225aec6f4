package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// DefaultDialTimeout is the default limit on establishing a connection.
const DefaultDialTimeout = time.Second

var (
	errSealed        = errors.New("connection closed for writing: the request was abandoned before its first byte")
	errWriteRejected = errors.New("write rejected by guard")
	errHeadTooLong   = errors.New("the head of the response is too long")
)

// trackedConn is a connection that counts its writes and can be sealed against
// further ones. This can prove that no byte of a failed request has left this host.
type trackedConn struct {
	net.Conn

	mu sync.Mutex
	// requests counts the requests that the connection was given to.
	requests int
	writes   uint64
	sealed   bool
	guard    Guard
	// received counts the bytes received since the last request began. headLimit bounds them until the head of
	// its response has arrived, 0 for no bound.
	received, headLimit atomic.Int64
	head                headRecorder
	// writing is held during a write. failed is the error of the first write that failed.
	writing sync.Mutex
	failed  error
	// serverIdleTimeout is the idle timeout that the server announced, 0 if none.
	serverIdleTimeout time.Duration
}

// Write implements net.Conn. It counts the write before any byte can be sent.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	if err := c.runGuard(); err != nil {
		c.mu.Unlock()
		return 0, err
	}
	c.writes++
	c.mu.Unlock()
	n, err := c.write(p)
	if n == 0 && err != nil {
		c.undoWrite()
	}
	return n, err
}

func (c *trackedConn) write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.failed == nil {
		c.failed = err
	}
	return n, err
}

// writeError returns the error of the first write that failed, nil for none. A write that is under way must end within
// limit. The connection must not be written to afterwards.
func (c *trackedConn) writeError(limit time.Duration) error {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(limit)) // fails on a closed connection, which ends writes as well
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.failed
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	if limit := c.headLimit.Load(); limit > 0 {
		left := limit - c.received.Load()
		if left <= 0 {
			return 0, errHeadTooLong
		}
		p = p[:min(int64(len(p)), left)]
	}
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	if c.headLimit.Load() > 0 { // also if the read began before the request
		c.recordHead(p[:n])
	}
	return n, err
}

func (c *trackedConn) recordHead(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.record(p)
}

// undoWrite uncounts a write of which the kernel accepted no byte, as on a
// connection that the peer has closed.
func (c *trackedConn) undoWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
}

// runGuard calls the guard once, before the first write of a request. c.mu must be
// held.
func (c *trackedConn) runGuard() error {
	guard := c.guard
	c.guard = nil
	if guard == nil {
		return nil
	}
	if err := guard(); err != nil {
		c.sealed = true
		return errors.Join(errWriteRejected, err)
	}
	return nil
}

// beginRequest sets the guard of the next request. It returns the number of writes so far, the
// reference for sealIfUnwritten, and the number of earlier requests.
func (c *trackedConn) beginRequest(guard Guard) (writes uint64, earlier int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard = guard
	c.received.Store(0)
	c.head = headRecorder{}
	c.requests++
	return c.writes, c.requests - 1
}

// endHead lifts the limit of a response's head, and returns a *HeadError if its framing is faulty. It does nothing if
// the connection has been given to more than the given number of requests.
func (c *trackedConn) endHead(requests int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests != requests {
		return nil
	}
	c.headLimit.Store(0)
	if c.head.hasTransferCoding() {
		return &HeadError{"a response of HTTP/1.0 has a transfer coding"}
	}
	return nil
}

// sealIfUnwritten reports whether no write has begun since the count was
// writesBefore. If so, it seals the connection.
func (c *trackedConn) sealIfUnwritten(writesBefore uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != writesBefore {
		return false
	}
	c.sealed = true
	return true
}

// seal seals the connection. A request on it then counts as not written.
func (c *trackedConn) seal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
}

// sealAfter seals the connection unless it has been given to more than the given number of requests,
// and reports whether it is sealed.
func (c *trackedConn) sealAfter(requests int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests > requests {
		return c.sealed
	}
	c.sealed = true
	return true
}

// trackingDial returns a dial function whose connections are of type trackedConn.
func trackingDial(conf Config) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if conf.DialTimeout > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, conf.DialTimeout)
			defer cancel()
		}
		conn, err := conf.Dial(ctx, network, address)
		conf.OnDial(err)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: metered(ctx, conf, address, conn)}, nil
	}
}
