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
	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/internal/quarantine"
	"github.com/pearshelf/pearshelf/internal/region"
	"github.com/pearshelf/pearshelf/internal/upstream"
)

// Headers of the contract with callers.
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

	// replayLimitBytes is the largest body kept for another try.
	replayLimitBytes = 64 << 10
)

// hopByHop are the headers that concern one connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// Request is one caller's request on its way.
type Request struct {
	// ID is unique for each call.
	ID string
	// Service is the route's.
	Service string
	// Idempotent is the route's declaration.
	Idempotent bool
	// Key is the caller's own identity of the request, may be empty.
	Key string
	// Session may be empty.
	Session string
	// Customer is the name of the one whose key the caller has, empty for none. It is
	// settled once, when the request arrives, and goes with each of its sends.
	Customer string
	// HideKey keeps the caller's Authorization header here: it is a customer's key.
	HideKey bool
	// Deadline is for the answer's header, and for the whole answer if the
	// caller set it (Explicit).
	Deadline time.Time
	Explicit bool
	// Attempts is how many backend servers may run the request, 0 for the default.
	Attempts int
	// Objective is the route's latency objective, 0 for none.
	Objective time.Duration
	// Priority is the rank in overload, 0 the highest.
	Priority int
	// Group names requests with answers of about one size: their route.
	Group string
	// Homes are where the request may be run, and to which hosts anything of it may go.
	Homes region.Homes
	// ForwardedBy is the entry host, on an owner.
	ForwardedBy string

	in   *http.Request
	body *replayBody

	subjectOnce sync.Once
	subjectKept quarantine.Subject
}

// attempts is how many backend servers may run the request.
func (r *Request) attempts() int {
	if r.Attempts > 0 {
		return r.Attempts
	}
	return maxTries
}

// Bound makes a route's timeout the caller's deadline if that is sooner: the
// caller then has its final answer in time.
func (r *Request) Bound(timeout time.Duration) {
	if timeout <= 0 {
		return
	}
	if end := time.Now().Add(timeout); end.Before(r.Deadline) {
		r.Deadline = end
		r.Explicit = true
	}
}

// NewRequest returns a request whose content comes from in.
func NewRequest(in *http.Request) *Request {
	return &Request{in: in, body: &replayBody{source: in.Body, length: in.ContentLength, streamed: IsStreamed(in)}}
}

// replayBody hands out a request's body for one or more tries.
type replayBody struct {
	source   io.ReadCloser
	length   int64 // -1 if unknown
	streamed bool
	kept     []byte
	isKept   bool
	consumed bool
	// trailer is called at the end of the caller's own stream.
	trailer func()
}

// keepBytes is how much memory keep needs.
func (b *replayBody) keepBytes() int64 {
	if b.streamed || b.isKept {
		return 0
	}
	return max(b.length, 0)
}

// keep reads a small body into memory, so that it can be sent again.
func (b *replayBody) keep() error {
	if b.streamed || b.isKept {
		return nil
	}
	kept, err := io.ReadAll(b.source)
	if err != nil {
		return errs.Wrap(err, errs.KindBadRequest, "request body broke off", "send the whole body that Content-Length announces")
	}
	b.kept = kept
	b.isKept = true
	return nil
}

// open returns the body for a try, or false if it cannot be had again.
func (b *replayBody) open() (io.ReadCloser, bool) {
	switch {
	case b.isKept && len(b.kept) == 0:
		return upstream.Body(nil), true
	case b.isKept:
		return io.NopCloser(bytes.NewReader(b.kept)), true
	case b.consumed:
		return nil, false
	default:
		return &consumingReader{body: b}, true
	}
}

// IsStreamed reports whether a request's body is passed on as it comes, because
// it is too long to keep or of unknown length.
func IsStreamed(r *http.Request) bool {
	return r.ContentLength < 0 || r.ContentLength > replayLimitBytes
}

// consumingReader notes that the caller's own stream has been read from. It
// does not close the stream, which is the server's to close.
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

// outgoing makes the request for a backend server or owner host.
func (r *Request) outgoing(ctx context.Context, scheme, address string, marks *protocol.Protocol) (*http.Request, error) {
	body, ok := r.body.open()
	if !ok {
		return nil, errs.New(errs.KindBodyConsumed, "the request body has been passed on already", "repeat the request")
	}
	url := *r.in.URL
	url.Scheme = scheme
	url.Host = address
	out := &http.Request{
		Method:        r.in.Method,
		URL:           &url,
		Host:          r.in.Host,
		Header:        r.in.Header.Clone(),
		Body:          body,
		ContentLength: r.body.length,
		Trailer:       r.trailer(marks),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	stripHopByHop(out.Header)
	stripOwn(out.Header)
	r.hideCustomer(out.Header, marks)
	if r.Customer != "" {
		out.Header.Set(marks.Customer, r.Customer)
	}
	if r.Session != "" {
		out.Header.Set(HeaderSession, r.Session)
	}
	out.Header.Set(marks.RequestID, r.ID)
	out.Header.Set(marks.Deadline, deadlineMs(r.Deadline))
	if _, given := out.Header["User-Agent"]; !given {
		out.Header.Set("User-Agent", "") // keeps the Transport from adding its own
	}
	return out.WithContext(ctx), nil
}

// hideCustomer removes the customer's key, and whatever the caller sent under the name
// of the header that names the customer.
func (r *Request) hideCustomer(h http.Header, marks *protocol.Protocol) {
	for name := range h {
		if sameHeader(name, marks.Customer) || r.HideKey && sameHeader(name, customer.HeaderAuthorization) {
			delete(h, name)
		}
	}
}

// sameHeader compares names as the most careless of backend servers may: in any case,
// and with an underscore for a hyphen, as gateway interfaces do (RFC 3875, 4.1.18).
func sameHeader(a, b string) bool {
	return len(a) == len(b) && strings.EqualFold(strings.ReplaceAll(a, "_", "-"), strings.ReplaceAll(b, "_", "-"))
}

// trailer returns the trailer fields that are passed on, which have values once the
// body was read to its end.
func (r *Request) trailer(marks *protocol.Protocol) http.Header {
	if len(r.in.Trailer) == 0 {
		return nil
	}
	passed := r.in.Trailer.Clone()
	stripOwn(passed)
	r.hideCustomer(passed, marks)
	r.body.trailer = func() {
		for name := range passed {
			passed[name] = r.in.Trailer[name]
		}
	}
	return passed
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

// stripOwn removes the fleet's headers, which no other party may set.
func stripOwn(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}

// isCallerGone reports whether the caller itself ended the request.
func isCallerGone(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.Canceled)
}
