package dispatch

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/upstream"
)

// readWhole reads an answer's body up to a limit, so that one that breaks off
// can still be asked for elsewhere, or be told as broken before the caller has
// seen a part of it. A longer body stays a stream.
func readWhole(answer *upstream.Answer, limit int64) error {
	if limit <= 0 || answer.ContentLength > limit || len(answer.Trailer) > 0 {
		return nil
	}
	var head bytes.Buffer
	if answer.ContentLength > 0 {
		head.Grow(int(answer.ContentLength))
	}
	n, err := io.CopyN(&head, answer.Body, limit+1)
	if n > limit {
		answer.Body = stream{Reader: io.MultiReader(&head, answer.Body), Closer: answer.Body}
		return nil
	}
	if err != io.EOF {
		return errs.Wrap(err, errs.KindBroken, "the answer was cut short", "ask for the outcome before repeating a non-idempotent request")
	}
	if err := answer.Body.Close(); err != nil {
		return errs.Wrap(err, errs.KindBroken, "the answer did not end cleanly", "ask for the outcome before repeating a non-idempotent request")
	}
	answer.Body = io.NopCloser(&head)
	answer.ContentLength = n
	if bodyAllowed(answer.StatusCode) && answer.Request.Method != http.MethodHead {
		answer.Header.Set("Content-Length", strconv.FormatInt(n, 10))
	}
	return nil
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// stream joins the part of a body that was read with the rest.
type stream struct {
	io.Reader
	io.Closer
}
