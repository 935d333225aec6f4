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
	// maxResumes bounds how often one download goes on elsewhere.
	maxResumes = 3
)

var (
	buffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

	errCallerGone = errors.New("the caller's connection broke")
	errCutShort   = errors.New("the answer was cut short")
)

// pass streams a backend server's answer to the caller.
func (x *exchange) pass(ctx context.Context, lease *place, answer *upstream.Answer) {
	x.headerArrived()
	x.status = answer.StatusCode
	x.d.metrics.Added(x.req.Service, time.Since(x.start)-answer.FirstByte)
	source := lease
	copying := &copier{
		w:       x.w,
		answer:  answer,
		outcome: OutcomeComplete,
		id:      x.req.ID,
		idName:  x.d.marks.RequestID,
		session: x.req.Session,
		resumed: x.resumed,
	}
	copying.reopen = func(at rangeRequest) *upstream.Answer {
		x.observe(source, peerpb.Observation_KIND_FAILED, 0)
		next, reopened := x.reopenAtServer(ctx, at, source)
		if next != nil {
			source.Release()
			source = next
		}
		return reopened
	}
	copying.setResumable(x.req)
	err := copying.run()
	source.done.Bytes = copying.written
	x.noteEnd(source, answer, err)
	source.Release()
	if err != nil {
		lease.try.end("aborted")
		x.logRequest(unknown(asTyped(err)))
		panic(http.ErrAbortHandler)
	}
}

func (x *exchange) noteEnd(lease *place, answer *upstream.Answer, err error) {
	if err == nil {
		lease.try.end("answered/" + strconv.Itoa(answer.StatusCode))
	}
	switch {
	case errors.Is(err, errCallerGone):
	case err != nil:
		x.observe(lease, peerpb.Observation_KIND_FAILED, 0)
	case answer.StatusCode >= http.StatusInternalServerError:
		x.observe(lease, peerpb.Observation_KIND_FAILED, answer.FirstByte)
	default:
		x.noteServed(answer.StatusCode)
		x.observe(lease, peerpb.Observation_KIND_GOOD, answer.FirstByte)
	}
}

// reopenAtServer continues a download at another backend server.
func (x *exchange) reopenAtServer(ctx context.Context, at rangeRequest, from *place) (*place, *upstream.Answer) {
	x.tried = append(x.tried, from.Server.ID)
	if !x.allowRetry() {
		return nil, nil
	}
	next, err := x.acquire(ctx)
	if err != nil {
		return nil, nil
	}
	x.begin(next, purposeRetry)
	to := x.toServer(next)
	to.adjust = func(h http.Header) {
		x.target(next)(h)
		at.set(h)
	}
	answer, _, failure := x.sendToServer(ctx, to)
	if failure != nil {
		x.failed(ctx, next, failure)
		next.Release()
		return nil, nil
	}
	if !x.isOwn(answer) {
		answer.Discard()
		next.Release()
		return nil, nil
	}
	return next, answer
}

func (x *exchange) resumed(offset int64) {
	x.d.events.Record(event.DownloadResumed, x.req.Service, "", fmt.Sprintf("%s at byte %d", x.req.ID, offset))
}

// rangeRequest asks for the rest of a representation.
type rangeRequest struct {
	offset int64
	etag   string
}

func (r rangeRequest) set(h http.Header) {
	h.Set("Range", fmt.Sprintf("bytes=%d-", r.offset))
	h.Set("If-Range", r.etag)
}

// copier streams one answer to the caller and goes on elsewhere when it breaks.
type copier struct {
	w       http.ResponseWriter
	answer  *upstream.Answer
	outcome Outcome
	id      string
	idName  string // header of id
	session string
	reopen  func(rangeRequest) *upstream.Answer
	resumed func(offset int64)

	resumable bool
	resumes   int
	etag      string
	written   int64
	total     int64 // -1 if unknown
}

// setResumable allows continuing only for a whole GET with a strong validator.
func (c *copier) setResumable(req *Request) {
	c.etag = c.answer.Header.Get("ETag")
	c.total = c.answer.ContentLength
	c.resumable = req.Idempotent &&
		req.in.Method == http.MethodGet &&
		req.in.Header.Get("Range") == "" &&
		c.answer.StatusCode == http.StatusOK &&
		strings.HasPrefix(c.etag, `"`)
}

// run copies header, body and trailer. An error means that the answer is not
// whole: the caller's stream must then be aborted, never ended cleanly.
func (c *copier) run() error {
	c.header()
	c.w.WriteHeader(c.answer.StatusCode)
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

func (c *copier) header() {
	out := c.w.Header()
	stripHopByHop(c.answer.Header)
	stripOwn(c.answer.Header)
	for name, values := range c.answer.Header {
		out[name] = values
	}
	for name := range c.answer.Trailer {
		out.Add("Trailer", name)
	}
	out.Set(c.idName, c.id)
	out.Set(HeaderOutcome, string(c.outcome))
	if c.session != "" {
		out.Set(HeaderSession, c.session)
	}
}

func (c *copier) body() error {
	err := c.copyBody()
	if err != nil {
		c.answer.Discard()
	}
	return err
}

func (c *copier) copyBody() error {
	buffer := buffers.Get().(*[copyBufferBytes]byte)
	defer buffers.Put(buffer)
	control := http.NewResponseController(c.w)
	for {
		n, err := c.answer.Body.Read(buffer[:])
		if n > 0 {
			if _, werr := c.w.Write(buffer[:n]); werr != nil {
				return errCallerGone
			}
			c.written += int64(n)
			if c.total < 0 {
				_ = control.Flush() // a failed flush shows at the next write
			}
		}
		if errors.Is(err, io.EOF) {
			return c.answer.Body.Close()
		}
		if err != nil {
			return errors.Join(errCutShort, err)
		}
	}
}

func (c *copier) trailer() {
	for name, values := range c.answer.Trailer {
		c.w.Header()[name] = values
	}
}

// resume goes on with the rest from the first other place that has it.
func (c *copier) resume() bool {
	if !c.resumable {
		return false
	}
	for c.resumes < maxResumes {
		c.resumes++
		next := c.reopen(rangeRequest{offset: c.written, etag: c.etag})
		if next == nil {
			continue
		}
		if c.continues(next) {
			c.answer = next
			c.resumed(c.written)
			return true
		}
		next.Discard()
	}
	return false
}

// continues checks that an answer is the rest of the same representation.
func (c *copier) continues(next *upstream.Answer) bool {
	if next.StatusCode != http.StatusPartialContent || next.Header.Get("ETag") != c.etag {
		return false
	}
	first, total, ok := parseContentRange(next.Header.Get("Content-Range"))
	return ok && first == c.written && (c.total < 0 || total == c.total)
}

// parseContentRange reads "bytes first-last/total".
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
