// Package upstream sends one request to one backend server or owner host and
// reports whether it was answered, never written, or has an unknown outcome.
//
// When a reused connection breaks, http.Transport may resend a request on its
// own, even a POST if it carries Idempotency-Key and has no body. Every request
// sent by this package therefore has a body but no GetBody, which http.Transport
// does not replay. TestStandardTransportResends and TestTransportNeverResends
// cover this.
package upstream

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"slices"
	"sync"
	"time"

	"github.com/pearshelf/pearshelf/internal/errs"
)

const (
	maxIdleConnsPerAddress = 64
	idleConnTimeout        = 60 * time.Second
)

// Transport sends requests over pooled connections.
type Transport struct {
	http         *HTTPTransport
	maxHeadBytes int64
}

// Config configures a Transport.
type Config struct {
	// TLS is the client configuration for https targets. It may be nil.
	TLS *tls.Config
	// DialTimeout limits the time to establish a connection. A shorter one gives up
	// on an unresponsive address sooner, but the kernel retransmits a lost SYN only
	// after 1 s.
	DialTimeout time.Duration
	// MaxHeadBytes limits the head of a response. The default is MaxHeadBytes.
	MaxHeadBytes int64
	// MaxIdleConns limits the idle connections to all addresses together, 0 for no limit. They
	// take descriptors that other connections need.
	MaxIdleConns int
	// Dial opens the connections. The default is a net.Dialer.
	Dial DialFunc
	// Meter, if set, returns the meter of connections to an address, or nil for none.
	Meter func(address string) *Meter
	// OnDial, if set, is called with the result of each attempt to open a connection. It must
	// not block.
	OnDial func(err error)
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns a Transport with the given configuration.
func NewTransport(conf Config) *Transport {
	if conf.Dial == nil {
		conf.Dial = (&net.Dialer{}).DialContext
	}
	if conf.OnDial == nil {
		conf.OnDial = func(error) {}
	}
	if conf.MaxHeadBytes == 0 {
		conf.MaxHeadBytes = MaxHeadBytes
	}
	transport := NewHTTPTransport(trackingDial(conf), conf.MaxHeadBytes)
	transport.TLSClientConfig = conf.TLS
	transport.MaxIdleConns = conf.MaxIdleConns
	transport.MaxIdleConnsPerHost = maxIdleConnsPerAddress
	transport.IdleConnTimeout = idleConnTimeout
	transport.DisableCompression = true
	return &Transport{http: transport, maxHeadBytes: conf.MaxHeadBytes}
}

// Close closes idle connections.
func (t *Transport) Close() { t.http.CloseIdleConnections() }

// Answer is a response whose header has been received.
type Answer struct {
	*http.Response
	// FirstByte is the time from the start of the request to the response header.
	FirstByte time.Duration
	// Reused is true if the connection had carried an earlier request.
	Reused bool
	// Earlier is the number of requests that the connection had been given to before.
	Earlier int
	conn    *trackedConn
	// received is the body as the connection delivers it. Unlike Body, which may be a buffer, it can be
	// closed during a read.
	received io.Closer
}

// Discard closes the response body and the connection, so that no late data on it
// can reach another caller. A connection that already carries the next request, as it
// may once the response has been read to its end, is left to that request.
func (a *Answer) Discard() {
	a.Body.Close()
	if a.conn != nil && a.conn.sealAfter(a.Earlier+1) {
		a.conn.Close()
	}
}

const (
	// maxDrainBytes and maxDrainTime limit how much of an unwanted body is read, and for how long, to
	// keep the connection reusable. Opening another one costs less.
	maxDrainBytes = 16 << 10
	maxDrainTime  = 250 * time.Millisecond
	// drainWait is how long DrainAndClose blocks. A body that follows its head at once has arrived by
	// then, and its connection is free for the next request.
	drainWait = 5 * time.Millisecond
)

// DrainAndClose drains and closes the body of a response that is not passed on, so that
// the connection can be reused. It does not close the connection itself, which may
// carry another request as soon as the body has been read to its end. If the body does not
// end within drainWait, draining goes on in the background: the request must not wait for it.
func (a *Answer) DrainAndClose() {
	if a.Body == http.NoBody {
		return
	}
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		a.drain()
	}()
	wait := time.NewTimer(drainWait)
	defer wait.Stop()
	select {
	case <-drained:
	case <-wait.C:
	}
}

// drain reads up to maxDrainBytes of the body for up to maxDrainTime. If more is left, the connection
// is closed.
func (a *Answer) drain() {
	limit := time.AfterFunc(maxDrainTime, a.abandon)
	defer limit.Stop()
	_, _ = io.CopyN(io.Discard, a.Body, maxDrainBytes) // Close drops the connection if more is left
	a.Body.Close()
}

// abandon ends a read of the body and closes the connection. It does nothing once the body has been
// read to its end, when the connection may carry another request.
func (a *Answer) abandon() {
	if a.received != nil {
		a.received.Close()
	}
}

// Failure is the error of a request that got no response.
type Failure struct {
	// Written is false only if no byte of the request can have left this host.
	Written bool
	// Connected is false if no connection was established.
	Connected bool
	// Reused is true if the connection had carried an earlier request. The failure
	// may then concern only the connection, not the server.
	Reused bool
	// Earlier is the number of requests that the connection had been given to before. It
	// is 0 if the request was given no connection.
	Earlier int
	// Assigned is true if the request was given a connection.
	Assigned bool
	err      *errs.Error
}

// Error implements the error interface.
func (f *Failure) Error() string { return f.err.Error() }

// Unwrap returns the underlying *errs.Error.
func (f *Failure) Unwrap() error { return f.err }

// attempt tracks the connection that one request uses.
type attempt struct {
	conditions   Conditions
	maxHeadBytes int64
	write        *requestWrite

	mu           sync.Mutex
	conn         *trackedConn
	writesBefore uint64
	earlier      int
	reused       bool
}

// Guard is called immediately before the first byte of a request is written. If it
// returns an error, nothing is written and the request counts as not written.
type Guard func() error

// Conditions restrict how a request is sent. The zero value sets none.
type Conditions struct {
	// Guard is checked before the first byte.
	Guard Guard
	// MaxIdle is how long the connection may have been idle, 0 for no limit but the one that the server
	// announced.
	MaxIdle time.Duration
	// Avoid are connections that must not carry the request.
	Avoid []Connection
}

// Connection identifies a connection.
type Connection struct{ conn *trackedConn }

// Connection returns the connection on which the response arrived.
func (a *Answer) Connection() Connection { return Connection{a.conn} }

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	conn := underlying(info.Conn)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = conn
	if conn != nil {
		a.reused = info.Reused
		if info.WasIdle {
			conn.sealIfIdle(info.IdleTime, a.conditions.MaxIdle)
		}
		if slices.Contains(a.conditions.Avoid, Connection{conn}) {
			conn.seal()
		}
		a.writesBefore, a.earlier = conn.beginRequest(a.conditions.Guard)
		conn.headLimit.Store(a.maxHeadBytes)
	}
}

func (a *attempt) connection() (conn *trackedConn, writesBefore uint64, earlier int, reused bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn, a.writesBefore, a.earlier, a.reused
}

func underlying(conn net.Conn) *trackedConn {
	switch c := conn.(type) {
	case *trackedConn:
		return c
	case *tls.Conn:
		tracked, _ := c.NetConn().(*trackedConn)
		return tracked
	default:
		return nil
	}
}

// Do sends a request exactly once. The request's body must not be nil; Body
// returns one for requests without content. If the only free connection does not meet the
// conditions, the request counts as not written.
func (t *Transport) Do(ctx context.Context, req *http.Request, conditions Conditions) (*Answer, *Failure) {
	a := &attempt{conditions: conditions, maxHeadBytes: t.maxHeadBytes, write: newRequestWrite()}
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:        a.gotConn,
		WroteRequest:   func(info httptrace.WroteRequestInfo) { a.write.end(info.Err) },
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error { return checkFields(http.Header(h)) },
	}))
	req.GetBody = nil
	start := time.Now()
	resp, err := t.http.RoundTrip(req)
	conn, writesBefore, earlier, reused := a.connection()
	if err == nil && conn != nil {
		if err = conn.endHead(earlier + 1); err != nil {
			resp.Body.Close()
		}
	}
	if err != nil {
		f := newFailure(ctx, err, conn, writesBefore)
		f.Reused, f.Earlier = reused, earlier
		if f.Written && ctx.Err() == nil {
			t.blameServer(f, conn, err)
		}
		return nil, f
	}
	answer := &Answer{Response: resp, FirstByte: time.Since(start), Reused: reused, Earlier: earlier, conn: conn, received: resp.Body}
	if conn != nil {
		conn.setServerIdleTimeout(keepAliveTimeout(resp.Header))
		if resp.Body != http.NoBody {
			resp.Body = &responseBody{ReadCloser: resp.Body, response: resp, conn: conn, write: a.write}
		}
	}
	return answer, nil
}

// blameServer marks a failure for which the server is to blame, not the connection: its response has a head that is too
// long or not valid. The connection is closed, unless it carries the next request already, as it may after a response
// without a body.
func (t *Transport) blameServer(f *Failure, conn *trackedConn, err error) {
	var invalid *HeadError
	switch {
	case errors.As(err, &invalid):
		if conn.sealAfter(f.Earlier + 1) {
			conn.Close()
		}
		f.err = errs.Wrap(err, errs.KindAnswerBroken, "the server's response is not valid HTTP", "mend the server; query the outcome before repeating a non-idempotent request")
	case conn.received.Load() >= t.maxHeadBytes:
		f.err = errs.Wrap(err, errs.KindHeadTooLong, "the head of the response is too long", "have the server send shorter headers; query the outcome before repeating a non-idempotent request")
	default:
		return
	}
	f.Reused = false
}

func newFailure(ctx context.Context, err error, conn *trackedConn, writesBefore uint64) *Failure {
	f := &Failure{Connected: conn != nil, Assigned: conn != nil}
	f.Written = conn != nil && !conn.sealIfUnwritten(writesBefore)
	switch {
	case errors.Is(err, errWriteRejected):
		f.err = guardError(err)
	case !f.Written && !f.Connected && ctx.Err() == nil:
		f.err = errs.Wrap(err, errs.KindDialFailed, "could not connect", "check that the server is running and reachable from this host")
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		f.err = errs.Wrap(err, errs.KindDeadline, "no response before the deadline", "allow more time or query the outcome")
	case ctx.Err() != nil:
		f.err = errs.Wrap(err, errs.KindCanceled, "caller went away", "nothing to do")
	default:
		f.err = errs.Wrap(err, errs.KindAnswerBroken, "connection broke", "query the outcome before repeating a non-idempotent request")
	}
	return f
}

// guardError returns the guard's own error if it is typed, and else wraps err.
func guardError(err error) *errs.Error {
	var typed *errs.Error
	if errors.As(err, &typed) {
		return typed
	}
	return errs.Wrap(err, errs.KindStaleHost, "the check before sending the request rejected it", "repeat the request; this host or another will handle it")
}

// emptyBody is an empty body other than nil and http.NoBody, with which
// http.Transport may replay a request.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// Body returns body, or for nil and http.NoBody an empty body that keeps
// http.Transport from replaying the request.
func Body(body io.ReadCloser) io.ReadCloser {
	if body == nil || body == http.NoBody {
		return emptyBody{}
	}
	return body
}

// InternalFailure returns the failure of a request whose processing failed inside this
// host after it may have been sent. A server may have executed it.
func InternalFailure() *Failure {
	return &Failure{Written: true, Connected: true, err: errs.New(errs.KindHostFailed, "internal error while sending the request", "query the outcome before repeating a non-idempotent request; see the host's log")}
}

// NotSent returns the failure of a request that was never passed to a connection.
func NotSent(err *errs.Error) *Failure {
	return &Failure{Connected: true, err: err}
}
