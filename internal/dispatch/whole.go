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

// readWhole reads an answer's body up to a limit, so that one that breaks off
// can still be asked for elsewhere, or be told as broken before the caller has
// seen a part of it. A longer body stays a stream, and so does one for which this
// host has no memory left.
func readWhole(answer *upstream.Answer, limit int64, budget *memory.Budget) error {
	if limit <= 0 || answer.ContentLength > limit || len(answer.Trailer) > 0 {
		return nil
	}
	held := &heldBody{budget: budget}
	ended, err := held.fill(answer, limit)
	if err != nil {
		held.release()
		return errs.Wrap(err, errs.KindBroken, "the answer was cut short", "ask for the outcome before repeating a non-idempotent request")
	}
	if !ended {
		held.rest = answer.Body
		answer.Body = held
		return nil
	}
	if err := answer.Body.Close(); err != nil {
		held.release()
		return errs.Wrap(err, errs.KindBroken, "the answer did not end cleanly", "ask for the outcome before repeating a non-idempotent request")
	}
	answer.Body = held
	answer.ContentLength = int64(held.head.Len())
	if bodyAllowed(answer.StatusCode) && answer.Request.Method != http.MethodHead {
		answer.Header.Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	return nil
}

// heldBody is the part of an answer's body that this host holds, and the rest if it goes on as
// a stream.
type heldBody struct {
	head   bytes.Buffer
	rest   io.ReadCloser // nil if the body was read to its end
	budget *memory.Budget
	taken  int64
}

// fill reads up to a limit and a little more, as far as there is memory, and reports whether the
// body has ended.
func (h *heldBody) fill(answer *upstream.Answer, limit int64) (ended bool, err error) {
	if length := answer.ContentLength; length > 0 {
		if !h.take(length) {
			return false, nil
		}
		h.head.Grow(int(length))
	}
	chunk := buffers.Get().(*[copyBufferBytes]byte)
	defer buffers.Put(chunk)
	for {
		n, err := answer.Body.Read(chunk[:])
		h.head.Write(chunk[:n])
		switch size := int64(h.head.Len()); {
		case err == io.EOF:
			return true, nil
		case err != nil:
			return false, err
		case size > limit || size > h.taken && !h.take(copyBufferBytes):
			return false, nil
		}
	}
}

func (h *heldBody) take(n int64) bool {
	if !h.budget.TakeOptional(n) {
		return false
	}
	h.taken += n
	return true
}

// release gives the memory back.
func (h *heldBody) release() {
	h.budget.Return(h.taken)
	h.taken = 0
}

// Read implements io.Reader.
func (h *heldBody) Read(p []byte) (int, error) {
	if h.head.Len() > 0 {
		return h.head.Read(p)
	}
	if h.rest == nil {
		return 0, io.EOF
	}
	return h.rest.Read(p)
}

// Close implements io.Closer.
func (h *heldBody) Close() error {
	h.release()
	if h.rest == nil {
		return nil
	}
	return h.rest.Close()
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
