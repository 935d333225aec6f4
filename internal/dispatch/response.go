package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/upstream"
)

const (
	copyBufferBytes = 32 << 10
	// maxResumes bounds how often one download is resumed at another server or owner host.
	maxResumes = 3
)

var (
	copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

	errCallerGone = errors.New("caller disconnected")
	errTruncated  = errors.New("response truncated")
)

// streamResponse streams a backend server's response to the caller. If the response is
// truncated and cannot be resumed, it aborts the caller's connection.
func (x *exchange) streamResponse(ctx context.Context, lease *serverLease, response *upstream.Answer) {
	x.headerArrived()
	x.status = response.StatusCode
	x.d.metrics.AddedLatency(x.req.Service, time.Since(x.start)-response.FirstByte)
	source := lease
	copier := &responseCopier{
		w:        x.w,
		response: response,
		outcome:  OutcomeComplete,
		id:       x.req.ID,
		idHeader: x.d.proto.RequestID,
		session:  x.req.Session,
		onResume: x.recordResume,
	}
	copier.reopen = func(at rangeRequest) *upstream.Answer {
		x.observe(source, peerpb.Observation_KIND_FAILED, 0)
		next, reopened := x.reopenAtServer(ctx, at, source)
		if next != nil {
			source.Release()
			source = next
		}
		return reopened
	}
	copier.setResumable(x.req)
	err := copier.run()
	source.done.Bytes = copier.written
	x.recordResult(source, response, err)
	source.Release()
	if err != nil {
		lease.attempt.finish("aborted")
		x.logRequest(refuseUnknown(toTypedError(err)))
		panic(http.ErrAbortHandler)
	}
}

func (x *exchange) recordResult(lease *serverLease, response *upstream.Answer, err error) {
	if err == nil {
		lease.attempt.finish("answered/" + strconv.Itoa(response.StatusCode))
	}
	switch {
	case errors.Is(err, errCallerGone):
	case err != nil:
		x.observe(lease, peerpb.Observation_KIND_FAILED, 0)
	case response.StatusCode >= http.StatusInternalServerError:
		x.observe(lease, peerpb.Observation_KIND_FAILED, response.FirstByte)
	default:
		x.recordServed(response.StatusCode)
		x.observe(lease, peerpb.Observation_KIND_GOOD, response.FirstByte)
	}
}

// reopenAtServer resumes a download at another backend server. The resume counts as a retry.
func (x *exchange) reopenAtServer(ctx context.Context, at rangeRequest, from *serverLease) (*serverLease, *upstream.Answer) {
	x.tried = append(x.tried, from.Server.ID)
	if !x.allowRetry(ctx) {
		return nil, nil
	}
	next, err := x.acquire(ctx)
	if err != nil {
		return nil, nil
	}
	x.beginAttempt(next, purposeRetry)
	to := x.toServer(next)
	to.adjust = func(h http.Header) {
		x.targetHeader(next)(h)
		at.setHeaders(h)
	}
	response, _, failure := x.sendToServer(ctx, to)
	if failure != nil {
		x.handleFailure(ctx, next, failure)
		next.Release()
		return nil, nil
	}
	x.answeredOn = append(x.answeredOn, response.Connection())
	if !x.isValidResponse(response, to.view) {
		response.Discard()
		next.Release()
		return nil, nil
	}
	return next, response
}

func (x *exchange) recordResume(offset int64) {
	x.d.events.Record(event.DownloadResumed, x.req.Service, "", fmt.Sprintf("%s at byte %d", x.req.ID, offset))
}

// rangeRequest asks for the remaining bytes of a representation.
type rangeRequest struct {
	offset int64
	etag   string
}

func (r rangeRequest) setHeaders(h http.Header) {
	h.Set("Range", fmt.Sprintf("bytes=%d-", r.offset))
	h.Set("If-Range", r.etag)
}

// responseCopier streams one response to the caller. If it breaks off, the rest is fetched
// from another server or owner host where possible.
type responseCopier struct {
	w        http.ResponseWriter
	response *upstream.Answer
	outcome  Outcome
	id       string
	idHeader string // name of the header that carries id
	session  string
	reopen   func(rangeRequest) *upstream.Answer
	onResume func(offset int64)

	resumable bool
	resumes   int
	etag      string
	written   int64
	total     int64 // -1 if unknown
}

// setResumable allows resuming only for a complete (200) response to a GET with a strong
// validator.
func (c *responseCopier) setResumable(req *Request) {
	c.etag = c.response.Header.Get("ETag")
	c.total = c.response.ContentLength
	c.resumable = req.Idempotent &&
		req.in.Method == http.MethodGet &&
		req.in.Header.Get("Range") == "" &&
		c.response.StatusCode == http.StatusOK &&
		strings.HasPrefix(c.etag, `"`)
}

// run copies the header, body and trailer. An error means that the response is incomplete: the
// caller's stream must then be aborted, never ended cleanly.
func (c *responseCopier) run() error {
	c.header()
	c.w.WriteHeader(c.response.StatusCode)
	for {
		err := c.body()
		if err == nil {
			c.trailer()
			return nil
		}
		if errors.Is(err, errCallerGone) || !c.resume() {
			return err
		}
	}
}

func (c *responseCopier) header() {
	out := c.w.Header()
	stripHopByHop(c.response.Header)
	stripReserved(c.response.Header)
	for name, values := range c.response.Header {
		out[name] = values
	}
	for name := range c.response.Trailer {
		out.Add("Trailer", name)
	}
	out.Set(c.idHeader, c.id)
	out.Set(HeaderOutcome, string(c.outcome))
	if c.session != "" {
		out.Set(HeaderSession, c.session)
	}
}

func (c *responseCopier) body() error {
	err := c.copyBody()
	if err != nil {
		c.response.Discard()
	}
	return err
}

func (c *responseCopier) copyBody() error {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	control := http.NewResponseController(c.w)
	for {
		n, err := c.response.Body.Read(buffer[:])
		if n > 0 {
			if _, werr := c.w.Write(buffer[:n]); werr != nil {
				return errCallerGone
			}
			c.written += int64(n)
			if c.total < 0 {
				_ = control.Flush() // a failed flush surfaces at the next write
			}
		}
		if errors.Is(err, io.EOF) {
			return c.response.Body.Close()
		}
		if err != nil {
			return errors.Join(errTruncated, err)
		}
	}
}

func (c *responseCopier) trailer() {
	for name, values := range c.response.Trailer {
		c.w.Header()[name] = values
	}
}

// resume continues with the rest of the body from the first server or owner host that has it.
func (c *responseCopier) resume() bool {
	if !c.resumable {
		return false
	}
	for c.resumes < maxResumes {
		c.resumes++
		next := c.reopen(rangeRequest{offset: c.written, etag: c.etag})
		if next == nil {
			continue
		}
		if c.isContinuation(next) {
			c.response = next
			c.onResume(c.written)
			return true
		}
		next.Discard()
	}
	return false
}

// isContinuation reports whether a response is the rest of the same representation.
func (c *responseCopier) isContinuation(next *upstream.Answer) bool {
	if next.StatusCode != http.StatusPartialContent || next.Header.Get("ETag") != c.etag {
		return false
	}
	first, total, ok := parseContentRange(next.Header.Get("Content-Range"))
	return ok && first == c.written && (c.total < 0 || total == c.total)
}

// parseContentRange parses "bytes first-last/total". It accepts only ranges that extend to the
// end.
func parseContentRange(value string) (first, total int64, ok bool) {
	rest, found := strings.CutPrefix(value, "bytes ")
	if !found {
		return 0, 0, false
	}
	span, size, found := strings.Cut(rest, "/")
	if !found {
		return 0, 0, false
	}
	start, end, found := strings.Cut(span, "-")
	if !found {
		return 0, 0, false
	}
	first, err1 := strconv.ParseInt(start, 10, 64)
	last, err2 := strconv.ParseInt(end, 10, 64)
	total, err3 := strconv.ParseInt(size, 10, 64)
	ok = err1 == nil && err2 == nil && err3 == nil && first >= 0 && last == total-1
	return first, total, ok
}
