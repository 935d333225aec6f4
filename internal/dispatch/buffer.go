package dispatch

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/memory"
	"github.com/pearshelf/pearshelf/internal/upstream"
)

// bufferResponse reads a response body of up to limit bytes into memory. A body that breaks
// off can then be retried, or reported as truncated, before the caller has seen any of it. A
// longer body remains a stream, as does one for which this host has no memory left.
func bufferResponse(response *upstream.Answer, limit int64, budget *memory.Budget) error {
	if limit <= 0 || response.ContentLength > limit || len(response.Trailer) > 0 {
		return nil
	}
	body := &bufferedBody{budget: budget}
	complete, err := body.fill(response, limit)
	if err != nil {
		body.release()
		return errs.Wrap(err, errs.KindAnswerBroken, "response truncated", "ask for the outcome before repeating a non-idempotent request")
	}
	if !complete {
		body.rest = response.Body
		response.Body = body
		return nil
	}
	if err := response.Body.Close(); err != nil {
		body.release()
		return errs.Wrap(err, errs.KindAnswerBroken, "the response did not end cleanly", "ask for the outcome before repeating a non-idempotent request")
	}
	response.Body = body
	response.ContentLength = int64(body.head.Len())
	if statusAllowsBody(response.StatusCode) && response.Request.Method != http.MethodHead {
		response.Header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	return nil
}

// bufferedBody is a response body of which the first part is in memory. The rest, if any, is a
// stream.
type bufferedBody struct {
	head     bytes.Buffer
	rest     io.ReadCloser // nil if the body was read to its end
	budget   *memory.Budget
	reserved int64
}

// fill reads until the limit is exceeded or memory runs out, and reports whether the body has
// ended.
func (h *bufferedBody) fill(response *upstream.Answer, limit int64) (ended bool, err error) {
	if length := response.ContentLength; length > 0 {
		if !h.reserve(length) {
			return false, nil
		}
		h.head.Grow(int(length))
	}
	chunk := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(chunk)
	for {
		n, err := response.Body.Read(chunk[:])
		h.head.Write(chunk[:n])
		switch size := int64(h.head.Len()); {
		case err == io.EOF:
			return true, nil
		case err != nil:
			return false, err
		case size > limit || size > h.reserved && !h.reserve(copyBufferBytes):
			return false, nil
		}
	}
}

func (h *bufferedBody) reserve(n int64) bool {
	if !h.budget.TryAcquireOptional(n) {
		return false
	}
	h.reserved += n
	return true
}

// release returns the reserved memory.
func (h *bufferedBody) release() {
	h.budget.Release(h.reserved)
	h.reserved = 0
}

// Read implements io.Reader.
func (h *bufferedBody) Read(p []byte) (int, error) {
	if h.head.Len() > 0 {
		return h.head.Read(p)
	}
	if h.rest == nil {
		return 0, io.EOF
	}
	return h.rest.Read(p)
}

// Close implements io.Closer.
func (h *bufferedBody) Close() error {
	h.release()
	if h.rest == nil {
		return nil
	}
	return h.rest.Close()
}

func statusAllowsBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
