package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/pearshelf/pearshelf/internal/customer"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/memory"
	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/internal/quarantine"
	"github.com/pearshelf/pearshelf/internal/region"
	"github.com/pearshelf/pearshelf/internal/route"
	"github.com/pearshelf/pearshelf/internal/upstream"
)

// Headers exchanged with callers.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderSession        = "Pearshelf-Session"
	HeaderTimeout        = protocol.HeaderTimeout
	HeaderOutcome        = "Pearshelf-Outcome"
)

// Headers between an entry host and an owner host.
const (
	HeaderForwardedBy = "Pearshelf-Forwarded-By"
	HeaderService     = "Pearshelf-Service"
	HeaderIdempotent  = "Pearshelf-Idempotent"
	HeaderKind        = "Pearshelf-Kind" // errs.Kind of a refusal
)

const (
	headerPrefix = "Pearshelf-"

	// replayLimitBytes is the size of the largest body that is buffered for retries.
	replayLimitBytes = 64 << 10
)

// hopByHop lists the headers that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// Request is a caller's request in progress.
type Request struct {
	// ID is unique for each call.
	ID string
	// Service is the service of the request's route.
	Service string
	// Idempotent is set if the route is declared idempotent, by Routes.
	Idempotent bool
	Routes     *route.Table
	// Key is the caller's idempotency key, may be empty.
	Key string
	// Session is the session ID for affinity, may be empty.
	Session string
	// Customer is the name of the customer whose key the caller presented, empty for none. It
	// is set once, when the request arrives, and is sent with every attempt.
	Customer string
	// HideKey keeps the caller's Authorization header from backend servers, because it
	// contains a customer's key.
	HideKey bool
	// Deadline applies to the response header, and to the whole response if the caller set it
	// (Explicit).
	Deadline time.Time
	Explicit bool
	// Attempts is how many backend servers may run the request, 0 for the default.
	Attempts int
	// Objective is the route's latency objective, 0 for none.
	Objective time.Duration
	// Priority is the rank under overload, 0 being the highest.
	Priority int
	// Group identifies requests with responses of similar size: their route.
	Group string
	// Homes restricts where the request may run, and which hosts may receive any of its data.
	Homes region.Homes
	// ForwardedBy is the entry host if this host got the request from it, as an owner or because
	// the entry host has lost its path to the servers.
	ForwardedBy string
	// Relayed is set if the entry host has lost its path to the servers. Owner hosts get requests
	// that are forwarded, but not relayed.
	Relayed bool
	// Claimed is set if the entry host holds the idempotency key. Arrived counts the servers that
	// the entry host has sent the request to.
	Claimed bool
	Arrived int
	// Counted is set if the entry host has counted the request for the retry allowance.
	Counted bool

	in   *http.Request
	body *replayBody

	subjectOnce   sync.Once
	cachedSubject quarantine.Subject
}

// Interrupter is a request body whose reads can be ended from another goroutine.
type Interrupter interface {
	io.ReadCloser
	Interrupt()
}

// interruptBody ends reads of the body: neither this host nor the transport waits for a caller that
// pauses in the middle of it.
func (r *Request) interruptBody() {
	if body, ok := r.in.Body.(Interrupter); ok {
		body.Interrupt()
	}
}

// maxAttempts returns how many backend servers may run the request.
func (r *Request) maxAttempts() int {
	if r.Attempts > 0 {
		return r.Attempts
	}
	return defaultMaxAttempts
}

// LimitDeadline replaces the deadline by a route's timeout, counted from the request's arrival, if that is
// sooner, so that the caller has its final response in time.
func (r *Request) LimitDeadline(arrived time.Time, timeout time.Duration) {
	if timeout <= 0 {
		return
	}
	if end := arrived.Add(timeout); end.Before(r.Deadline) {
		r.Deadline = end
		r.Explicit = true
	}
}

// NewRequest returns a Request for the incoming HTTP request in.
func NewRequest(in *http.Request) *Request {
	return &Request{in: in, body: &replayBody{source: in.Body, length: in.ContentLength, streamed: IsStreamed(in)}}
}

// replayBody provides a request's body to one or more attempts.
type replayBody struct {
	source   io.ReadCloser
	length   int64 // -1 if unknown
	streamed bool
	data     []byte
	buffered bool
	consumed bool
	// recording keeps what was read of a streamed body, nil if it is not kept.
	recording *recording
	// trailer is called at the end of the caller's stream.
	trailer func()
}

// buffer reads a small body into memory, so that it can be sent again.
func (b *replayBody) buffer() error {
	if b.streamed || b.buffered {
		return nil
	}
	data, err := io.ReadAll(b.source)
	if err != nil {
		return errs.Wrap(err, errs.KindBadRequest, "request body truncated", "send the whole body that Content-Length announces")
	}
	b.data = data
	b.buffered = true
	return nil
}

// open returns the body for an attempt, or false if it has already been consumed.
func (b *replayBody) open() (io.ReadCloser, bool) {
	switch {
	case b.buffered && len(b.data) == 0:
		return upstream.Body(nil), true
	case b.buffered:
		return io.NopCloser(bytes.NewReader(b.data)), true
	case b.recording != nil:
		return b.recording.open()
	case b.consumed:
		return nil, false
	default:
		return &consumingReader{body: b}, true
	}
}

// record keeps what will be read of a streamed body, up to limit bytes, for further attempts. The
// returned function releases the memory.
func (b *replayBody) record(limit int64, budget *memory.Budget) (release func()) {
	if !b.streamed || b.length > limit {
		return func() {}
	}
	b.recording = newRecording(&consumingReader{body: b}, limit, budget)
	return b.recording.close
}

// IsStreamed reports whether a request's body is streamed, because it is too long to buffer or
// of unknown length.
func IsStreamed(r *http.Request) bool {
	return r.ContentLength < 0 || r.ContentLength > replayLimitBytes
}

// consumingReader records that the caller's stream has been read from. It does not close the
// stream: that is up to the HTTP server.
type consumingReader struct{ body *replayBody }

func (r *consumingReader) Read(p []byte) (int, error) {
	r.body.consumed = true
	n, err := r.body.source.Read(p)
	if err == io.EOF && r.body.trailer != nil {
		r.body.trailer()
	}
	return n, err
}

func (r *consumingReader) Close() error { return nil }

// outgoing returns the HTTP request to send to a backend server or owner host.
func (r *Request) outgoing(ctx context.Context, scheme, address string, proto *protocol.Protocol) (*http.Request, error) {
	body, ok := r.body.open()
	if !ok {
		return nil, errs.New(errs.KindBodyConsumed, "the request body has already been consumed", "repeat the request")
	}
	url := *r.in.URL
	url.Scheme = scheme
	url.Host = address
	if path, _, _ := strings.Cut(r.in.RequestURI, "?"); strings.HasPrefix(path, "/") {
		url.Opaque = path // as sent: URL.EscapedPath escapes what RFC 3986 does not allow
	}
	out := &http.Request{
		Method:        r.in.Method,
		URL:           &url,
		Host:          r.in.Host,
		Header:        r.in.Header.Clone(),
		Body:          body,
		ContentLength: r.body.length,
		Trailer:       r.trailer(proto),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	stripHopByHop(out.Header)
	stripReserved(out.Header)
	r.hideCustomer(out.Header, proto)
	if r.Customer != "" {
		out.Header.Set(proto.Customer, r.Customer)
	}
	if r.Session != "" {
		out.Header.Set(HeaderSession, r.Session)
	}
	out.Header.Set(proto.RequestID, r.ID)
	out.Header.Set(proto.Deadline, deadlineMs(r.Deadline))
	if _, given := out.Header["User-Agent"]; !given {
		out.Header.Set("User-Agent", "") // keeps the transport from adding its own
	}
	return out.WithContext(ctx), nil
}

// hideCustomer removes the customer's key, and any header that the caller sent under the name
// of the one that names the customer.
func (r *Request) hideCustomer(h http.Header, proto *protocol.Protocol) {
	for name := range h {
		if sameHeader(name, proto.Customer) || r.HideKey && sameHeader(name, customer.HeaderAuthorization) {
			delete(h, name)
		}
	}
}

// sameHeader compares header names as the most lenient backend server may: ignoring case, and
// treating an underscore as a hyphen, as CGI gateways do (RFC 3875, section 4.1.18).
func sameHeader(a, b string) bool {
	return len(a) == len(b) && strings.EqualFold(strings.ReplaceAll(a, "_", "-"), strings.ReplaceAll(b, "_", "-"))
}

// trailer returns the trailer fields to forward. They have values once the body has been read
// to its end.
func (r *Request) trailer(proto *protocol.Protocol) http.Header {
	if len(r.in.Trailer) == 0 {
		return nil
	}
	forwarded := r.in.Trailer.Clone()
	stripReserved(forwarded)
	r.hideCustomer(forwarded, proto)
	r.body.trailer = func() {
		for name := range forwarded {
			forwarded[name] = r.in.Trailer[name]
		}
	}
	return forwarded
}

// deadlineMs is the time left, at least 1 ms.
func deadlineMs(deadline time.Time) string {
	return strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10)
}

func stripHopByHop(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			name = strings.TrimSpace(name)
			if httpguts.ValidHeaderFieldName(name) {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// stripReserved removes the fleet's own headers, which no other party may set.
func stripReserved(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}

// isCallerGone reports whether the caller itself cancelled the request.
func isCallerGone(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.Canceled)
}
