package clientlimit

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pearshelf/pearshelf/internal/memory"
)

type connKey struct{}

// ConnContext is the hook of http.Server that lets handlers find their connection.
func (l *Limiter) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	c := unwrap(nc)
	if c == nil {
		return ctx
	}
	_, c.secure = nc.(*tls.Conn) // before the first read
	return context.WithValue(ctx, connKey{}, c)
}

// Requests returns a handler that charges the memory of each request until it is answered. A request for which there
// is none is passed to refuse instead.
func (l *Limiter) Requests(next, refuse http.Handler) http.Handler {
	return l.handler(next, refuse, func(in *incoming, w http.ResponseWriter, r *http.Request) {
		switch {
		case !l.conf.IsStreamed(r):
			r.Body = l.newBody(in, w, r.Body, 0) // charged with the head
		case r.ContentLength < 0:
			r.Body = &streamedBody{ReadCloser: r.Body, limiter: l, in: in, request: r}
		}
	})
}

// Calls returns a handler for calls, whose bodies are read completely and decoded. Their bytes are charged as they
// arrive.
func (l *Limiter) Calls(next, refuse http.Handler) http.Handler {
	return l.handler(next, refuse, func(in *incoming, w http.ResponseWriter, r *http.Request) {
		r.Body = l.newBody(in, w, r.Body, callFactor)
	})
}

// handler charges each request. If it has a body, that is replaced by replaceBody.
func (l *Limiter) handler(next, refuse http.Handler, replaceBody func(*incoming, http.ResponseWriter, *http.Request)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		in, ok := c.beginRequest(r)
		defer c.endRequest(in)
		if !ok {
			l.refused(c.listener.name, Memory)
			closeAfter(w, r)
			refuse.ServeHTTP(w, r)
			c.finishResponse()
			return
		}
		if r.ContentLength < 0 && r.ProtoMajor == 1 {
			// It is not known how much of the next request would have been read with a body of unknown length.
			w.Header().Set("Connection", "close")
		}
		if r.Body != http.NoBody {
			replaceBody(in, w, r)
		}
		if r.ProtoMajor > 1 {
			w = &streamWriter{ResponseWriter: w, writes: &c.streamed}
		}
		next.ServeHTTP(w, r)
		c.finishResponse()
	})
}

// closeAfter has the connection closed after the response, which does not wait for the rest of the request's body.
func closeAfter(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	if r.ProtoMajor > 1 {
		return // the stream ends with the response
	}
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex() // fails only on a connection that has ended, as does the next
	_ = control.SetReadDeadline(time.Now())
}

// beginRequest replaces the charge for a head by one for the whole request, and reports whether there is room for it.
// It panics with http.ErrAbortHandler if the connection has been given up meanwhile.
func (c *conn) beginRequest(r *http.Request) (*incoming, bool) {
	l := c.limiter
	size, wire := requestSize(r)
	in := &incoming{listener: c.listener.name}
	l.mu.Lock()
	if c.abandoned {
		l.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	c.serving++
	c.stopWaiting()
	c.endHead()
	c.accounted = wire + int(max(r.ContentLength, 0))
	needsHTTP2 := r.ProtoMajor > 1 && c.http2Charged == 0
	c.http2 = r.ProtoMajor > 1
	c.responding = !c.http2
	c.http10, c.unfinished = !r.ProtoAtLeast(1, 1), true
	l.mu.Unlock()
	if needsHTTP2 && !c.chargeHTTP2() {
		return in, false
	}
	if !l.charge(in, size) {
		return in, false
	}
	return in, l.conf.IsStreamed(r) || l.chargeWith(l.memory.TryAcquire, in, r.ContentLength)
}

// chargeHTTP2 charges the memory of an HTTP/2 connection, once.
func (c *conn) chargeHTTP2() bool {
	if !c.limiter.memory.TryAcquireLarge(http2ConnBytes) {
		return false
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.http2Charged > 0 || c.closed {
		c.limiter.memory.Release(http2ConnBytes)
		return true
	}
	c.http2Charged = http2ConnBytes
	return true
}

// endRequest releases a request's memory. The connection of an HTTP/1 request becomes idle once its response has been
// sent, which ConnState tells.
func (c *conn) endRequest(in *incoming) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.discharge(in)
	c.serving--
	c.cutOff.Store(c.http10 && c.unfinished)
	if c.http2 && c.quiet {
		c.becomeIdle()
	}
}

// errTooLong is the error of a call whose body exceeds maxCallBytes.
var errTooLong = fmt.Errorf("the body of the call has more than %d bytes", maxCallBytes)

// body is a request body for which the handler waits before it does anything else. While it does, the request can be
// given up.
type body struct {
	io.ReadCloser
	limiter *Limiter
	in      *incoming
	// factor is the memory charged for each byte that arrives.
	factor   int64
	received int64
	begun    bool
}

func (l *Limiter) newBody(in *incoming, w http.ResponseWriter, inner io.ReadCloser, factor int64) *body {
	control := http.NewResponseController(w)
	in.interrupt = func() { _ = control.SetReadDeadline(time.Now()) } // fails on a connection that has ended
	return &body{ReadCloser: inner, limiter: l, in: in, factor: factor}
}

// Read implements io.Reader. Once the request has been given up, the error is memory.ErrNoRoom.
func (b *body) Read(p []byte) (int, error) {
	if !b.begin() {
		return 0, memory.ErrNoRoom
	}
	n, err := b.ReadCloser.Read(p)
	b.received += int64(n)
	if b.received > maxCallBytes {
		b.end()
		return 0, errTooLong
	}
	if b.factor > 0 && !b.limiter.charge(b.in, b.factor*int64(n)) {
		b.end()
		return 0, memory.ErrNoRoom
	}
	if err == nil {
		return n, nil
	}
	if givenUp := b.end(); givenUp && !errors.Is(err, io.EOF) {
		return n, memory.ErrNoRoom
	}
	return n, err
}

// begin makes the request one that can be given up, and reports whether it has not been.
func (b *body) begin() bool {
	b.limiter.mu.Lock()
	defer b.limiter.mu.Unlock()
	if b.in.givenUp {
		return false
	}
	if !b.begun {
		b.begun = true
		b.limiter.enqueue(b.in, &b.limiter.bodies)
	}
	return true
}

// end makes the request one that cannot be given up, and reports whether it has been.
func (b *body) end() (givenUp bool) {
	b.limiter.mu.Lock()
	defer b.limiter.mu.Unlock()
	b.limiter.dequeue(b.in)
	return b.in.givenUp
}

// streamedBody is a request body that is sent on as it arrives. Its trailer is charged once it has been parsed.
type streamedBody struct {
	io.ReadCloser
	limiter *Limiter
	in      *incoming
	request *http.Request
	ended   bool
}

// Read implements io.Reader. If there is no room for the trailer, the error is memory.ErrNoRoom.
func (b *streamedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) || b.ended {
		return n, err
	}
	b.ended = true
	if size, _ := headSize(b.request.Trailer); !b.limiter.charge(b.in, headCopies*size) {
		b.request.Trailer = nil
		return n, memory.ErrNoRoom
	}
	return n, err
}
