package clientlimit

import (
	"bytes"
	"container/list"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// errGivenUp ends the reads of a connection whose request was given up. net/http closes a connection without a
// response on an error of type net.OpError.
var errGivenUp = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("no room for the request")}

// http2Preface begins an HTTP/2 connection without TLS, which takes no HTTP/1.1 response.
var http2Preface = []byte("PRI * HTTP/2.0")

// refusalTimeout bounds the write of a refusal, for which a connection's send buffer usually has room.
const refusalTimeout = 100 * time.Millisecond

// conn is a connection of a client. It charges the bytes of request heads as they arrive.
type conn struct {
	net.Conn
	limiter  *Limiter
	listener *Listener

	// written are the writes to the connection, streamed those of responses over HTTP/2.
	written, streamed writes
	// cutOff is set once a handler has aborted the response to a request of HTTP/1.0. Nothing is written after it: the
	// message that ends a TLS connection would end the body.
	cutOff atomic.Bool

	// Protected by Limiter.mu.

	// place is the connection's element in Listener.waiting, nil while a handler serves it.
	place *list.Element
	// head is the request whose head is being read, nil between requests and while a handler runs.
	head *incoming
	// serving counts the requests in handlers.
	serving int
	// responding is set from the beginning of an HTTP/1 request's handler until the response has been sent.
	responding bool
	// received counts the bytes since the connection became idle. accounted are those of the request that is being
	// served.
	received, accounted int
	// plain is set if the request that is being read can be answered by a plain HTTP/1.1 response.
	plain bool
	// begun is set once bytes have arrived, preface if the first ones may begin an HTTP/2 connection.
	begun, preface bool

	secure    bool
	abandoned bool
	closed    bool
	// http10 is set if the last request was one of HTTP/1.0, unfinished while a handler has not written its whole
	// response, failed once a write has failed.
	http10, unfinished, failed bool
	// http2 is set once a stream has been opened, quiet while none is open. http2Charged is the memory of the
	// connection beside its streams.
	http2, quiet bool
	http2Charged int64
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.receive(p[:n]) {
		c.refuse()
		return 0, errGivenUp
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.cutOff.Load() {
		return 0, net.ErrClosed
	}
	c.written.begin()
	defer c.written.end()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.limiter.mu.Lock()
		defer c.limiter.mu.Unlock()
		c.failed = true
	}
	return n, err
}

// stalledSince returns since when the client has taken nothing of its responses, ok is false if none is being written.
// Limiter.mu must be held.
func (c *conn) stalledSince() (since time.Time, ok bool) {
	if c.http2 {
		return c.streamed.stalledSince()
	}
	return c.written.stalledSince()
}

// receive charges bytes that have arrived, and reports whether the connection may go on.
func (c *conn) receive(p []byte) bool {
	l := c.limiter
	l.mu.Lock()
	if c.abandoned {
		l.mu.Unlock()
		return false
	}
	if !c.begun {
		c.begun, c.preface = true, bytes.HasPrefix(p, http2Preface[:min(len(p), len(http2Preface))])
	}
	c.received += len(p)
	if c.responding || c.serving > 0 || c.http2 {
		l.mu.Unlock()
		return true
	}
	if c.head == nil {
		c.beginHead()
		c.plain = !c.secure && !c.preface
	}
	head := c.head
	l.mu.Unlock()
	return c.chargeHead(head, len(p))
}

// chargeHead charges bytes of a head. If there is no memory, it abandons the connection and returns false. Nothing is
// charged to a head that a handler has taken meanwhile: frames of HTTP/2 are read while handlers run.
func (c *conn) chargeHead(head *incoming, bytes int) bool {
	l := c.limiter
	if l.charge(head, headFactor*int64(bytes)) {
		return true
	}
	l.mu.Lock()
	if head.ended && !c.abandoned && !c.closed {
		l.mu.Unlock()
		return true
	}
	counted := head.ended // by whoever ended it
	c.abandon()
	l.mu.Unlock()
	if !counted {
		l.refused(c.listener.name, Memory)
	}
	return false
}

// beginHead makes the connection one that reads a request head. Limiter.mu must be held.
func (c *conn) beginHead() {
	c.head = &incoming{listener: c.listener.name, conn: c}
	c.limiter.enqueue(c.head, &c.limiter.heads)
	c.wait()
}

// endHead ends the reading of a head. Limiter.mu must be held.
func (c *conn) endHead() {
	if c.head == nil {
		return
	}
	c.limiter.discharge(c.head)
	c.head = nil
}

// wait puts the connection behind all others that wait. Limiter.mu must be held.
func (c *conn) wait() {
	c.stopWaiting()
	if !c.closed {
		c.place = c.listener.waiting.PushBack(c)
	}
}

// stopWaiting keeps the connection from being closed for another one. Limiter.mu must be held.
func (c *conn) stopWaiting() {
	if c.place != nil {
		c.listener.waiting.Remove(c.place)
		c.place = nil
	}
}

// abandon keeps requests on the connection from being served. The caller must call refuse after it has released
// Limiter.mu, which must be held.
func (c *conn) abandon() {
	c.abandoned = true
	c.stopWaiting()
}

// refuse closes an abandoned connection, after a refusal if it has sent a part of a request.
func (c *conn) refuse() {
	c.limiter.mu.Lock()
	answer := c.plain && c.head != nil && c.received > 0 && !c.closed
	c.limiter.mu.Unlock()
	if answer && c.SetWriteDeadline(time.Now().Add(refusalTimeout)) == nil {
		_, _ = c.Write(c.limiter.conf.Refusal) // the client may be gone
	}
	_ = c.Close()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.limiter.mu.Lock()
	if !c.closed {
		c.closed = true
		c.resetCutOff()
		delete(c.listener.conns, c)
		c.stopWaiting()
		c.endHead()
		c.limiter.memory.Release(c.http2Charged)
		c.http2Charged = 0
	}
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite lets net/http send a refusal of its own before it closes the connection.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// ConnState is the hook of http.Server that tells when a connection is idle.
func (l *Limiter) ConnState(nc net.Conn, state http.ConnState) {
	c := unwrap(nc)
	if c == nil {
		return
	}
	l.mu.Lock()
	rest := 0
	switch state {
	case http.StateActive:
		c.quiet = false
	case http.StateIdle:
		c.quiet, c.responding = true, false
		rest = c.becomeIdle()
	}
	head := c.head
	l.mu.Unlock()
	if rest > 0 && !c.chargeHead(head, rest) {
		c.refuse()
	}
}

// becomeIdle makes the connection one that waits for a request, unless one is still in a handler. It returns how many
// bytes of the next request net/http has read already, for which the caller must charge the new head. Limiter.mu must
// be held.
func (c *conn) becomeIdle() int {
	if c.serving > 0 || c.closed {
		return 0
	}
	c.endHead()
	c.wait()
	rest := min(c.received-c.accounted-lineOverhead, readBufferBytes)
	c.received, c.accounted = 0, 0
	if rest <= 0 || c.secure || c.http2 {
		return 0
	}
	c.beginHead()
	c.plain = false // the client may not have begun another request: the bytes are an estimate
	return rest
}
