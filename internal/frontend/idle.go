package frontend

import (
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pearshelf/pearshelf/internal/dispatch"
)

// idleReader fails reads of a request body that makes no progress within the timeout.
type idleReader struct {
	io.ReadCloser
	control *http.ResponseController
	timeout time.Duration

	mu sync.Mutex
	// reading is set during a read, interrupted once Interrupt has been called.
	reading, interrupted bool
}

// Read sets a deadline for each read and clears it at the end of the body, because a
// deadline that expires later would look like a disconnected caller.
func (r *idleReader) Read(p []byte) (int, error) {
	if !r.beginRead() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := r.ReadCloser.Read(p)
	r.endRead(err)
	return n, err
}

func (r *idleReader) beginRead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.interrupted {
		return false
	}
	r.reading = true
	_ = r.control.SetReadDeadline(time.Now().Add(r.timeout)) // not every writer supports deadlines
	return true
}

func (r *idleReader) endRead(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reading = false
	if err != nil || r.interrupted {
		_ = r.control.SetReadDeadline(time.Time{})
	}
}

// Interrupt ends a read that is in progress, and all later ones, with os.ErrDeadlineExceeded. Without a
// read it does not touch the connection, which may carry further requests.
func (r *idleReader) Interrupt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.interrupted = true
	if r.reading {
		_ = r.control.SetReadDeadline(time.Now())
	}
}

// idleWriter fails writes of a response that the caller does not read within the timeout.
type idleWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
}

// Write sets a deadline for each write.
func (w *idleWriter) Write(p []byte) (int, error) {
	_ = w.control.SetWriteDeadline(time.Now().Add(w.timeout)) // not every writer supports deadlines
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the server's writer.
func (w *idleWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Interface guards.
var (
	_ dispatch.Interrupter = (*idleReader)(nil)
	_ http.ResponseWriter  = (*idleWriter)(nil)
)

// discard reads the body to its end and reports whether it was reached within wait.
func (r *idleReader) discard(wait time.Duration) bool {
	if r.control.SetReadDeadline(time.Now().Add(wait)) != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, r.ReadCloser); err != nil {
		return false
	}
	return r.control.SetReadDeadline(time.Time{}) == nil
}
