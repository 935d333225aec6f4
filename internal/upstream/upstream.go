// Package upstream sends one request to one backend server or owner host and
// says truthfully what became of it: not written, answered, or unknown.
//
// net/http's Transport resends a request by itself when a reused connection
// breaks, also a POST that carries Idempotency-Key and has no body. Every
// request of ours therefore has a body without GetBody, which the Transport
// does not replay; a test proves it.
package upstream

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pearshelf/pearshelf/internal/errs"
)

const (
	idleConnsPerAddress = 64
	idleTimeout         = 60 * time.Second
)

// Transport keeps the connections to backend servers and owner hosts.
type Transport struct {
	http *http.Transport
}

// Config of a Transport.
type Config struct {
	// TLS is for https targets, nil for none.
	TLS *tls.Config
	// DialTimeout bounds a connection's start. Shorter leaves a silent address
	// sooner; a lost first packet is sent again after 1 s by the kernel.
	DialTimeout time.Duration
}

// NewTransport returns a transport.
func NewTransport(conf Config) *Transport {
	dialer := &net.Dialer{Timeout: conf.DialTimeout}
	return &Transport{http: &http.Transport{
		DialContext:         tracked(dialer),
		TLSClientConfig:     conf.TLS,
		MaxIdleConnsPerHost: idleConnsPerAddress,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// Close drops idle connections.
func (t *Transport) Close() { t.http.CloseIdleConnections() }

// Answer is a response whose header has arrived.
type Answer struct {
	*http.Response
	// FirstByte is the time from sending to the header.
	FirstByte time.Duration
	conn      *trackedConn
}

// Discard closes the answer together with its connection, so that nothing late
// on it can reach another caller.
func (a *Answer) Discard() {
	a.Body.Close()
	if a.conn != nil {
		a.conn.Close()
	}
}

// Finish ends an answer that is not passed on and keeps its connection usable.
// The connection may carry another request as soon as the body has been read
// to its end: it must not be closed then.
func (a *Answer) Finish() {
	_, _ = io.CopyN(io.Discard, a.Body, finishLimitBytes) // a longer rest closes the connection
	a.Body.Close()
}

// finishLimitBytes is how much of an unwanted answer is read to keep its
// connection.
const finishLimitBytes = 16 << 10

// Failure is an exchange without an answer.
type Failure struct {
	// Written is false only if no byte of the request can have left this host.
	Written bool
	// Dialled is false if no connection could be had.
	Dialled bool
	// Reused is whether the connection had carried a request before: then it may
	// be the connection alone that broke.
	Reused bool
	err    *errs.Error
}

// Error implements error.
func (f *Failure) Error() string { return f.err.Error() }

// Unwrap returns the typed cause.
func (f *Failure) Unwrap() error { return f.err }

// attempt follows one request over its connection.
type attempt struct {
	guard   Guard
	maxIdle time.Duration

	mu     sync.Mutex
	conn   *trackedConn
	mark   uint64
	reused bool
}

// Guard is asked right before the first byte of a request is written. An error
// forbids the write; the request then counts as not written.
type Guard func() error

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	conn := underlying(info.Conn)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = conn
	if conn != nil {
		a.reused = info.Reused
		if info.WasIdle {
			conn.sealIfIdle(info.IdleTime, a.maxIdle)
		}
		a.mark = conn.arm(a.guard)
	}
}

func (a *attempt) connection() (conn *trackedConn, mark uint64, reused bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn, a.mark, a.reused
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

// Do sends a request once. The request's body must not be nil; Body gives one
// for requests without content. guard may be nil. A connection that was idle for
// longer than maxIdle is not used, 0 for no bound but the server's own.
func (t *Transport) Do(ctx context.Context, req *http.Request, guard Guard, maxIdle time.Duration) (*Answer, *Failure) {
	a := &attempt{guard: guard, maxIdle: maxIdle}
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn}))
	req.GetBody = nil
	start := time.Now()
	resp, err := t.http.RoundTrip(req)
	conn, mark, reused := a.connection()
	if err != nil {
		f := failure(ctx, err, conn, mark)
		f.Reused = reused
		return nil, f
	}
	if conn != nil {
		conn.announce(announcedIdle(resp.Header))
	}
	return &Answer{Response: resp, FirstByte: time.Since(start), conn: conn}, nil
}

func failure(ctx context.Context, err error, conn *trackedConn, mark uint64) *Failure {
	f := &Failure{Dialled: conn != nil}
	f.Written = conn != nil && !conn.sealIfUnwritten(mark)
	switch {
	case errors.Is(err, errGuard):
		f.err = guardError(err)
	case !f.Written && !f.Dialled && ctx.Err() == nil:
		f.err = errs.Wrap(err, errs.KindDialFailed, "no connection", "see that the server runs and can be reached from this host")
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		f.err = errs.Wrap(err, errs.KindDeadline, "no answer in time", "allow more time or ask for the outcome")
	case ctx.Err() != nil:
		f.err = errs.Wrap(err, errs.KindCanceled, "caller went away", "nothing to do")
	default:
		f.err = errs.Wrap(err, errs.KindBroken, "connection broke", "ask for the outcome before repeating a non-idempotent request")
	}
	return f
}

// guardError is the guard's own reason for forbidding a write.
func guardError(err error) *errs.Error {
	var typed *errs.Error
	if errors.As(err, &typed) {
		return typed
	}
	return errs.Wrap(err, errs.KindStaleHost, "the last check before the request was sent forbade it", "repeat the request; another host or this one will take it")
}

// emptyBody is a body that is neither nil nor http.NoBody, because the
// Transport would replay a request with those.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// Body returns the body to send: the given one, or one that is empty but keeps
// the Transport from replaying the request.
func Body(body io.ReadCloser) io.ReadCloser {
	if body == nil || body == http.NoBody {
		return emptyBody{}
	}
	return body
}

// Interrupted is the failure of a request whose work broke off inside this host: a server may
// have run it.
func Interrupted() *Failure {
	return &Failure{Written: true, Dialled: true, err: errs.New(errs.KindInternal, "this host failed while it sent the request", "ask for the outcome before repeating a non-idempotent request; see the host's log")}
}

// NotSent is the failure of a request that was never handed to a connection.
func NotSent(err *errs.Error) *Failure {
	return &Failure{Dialled: true, err: err}
}
