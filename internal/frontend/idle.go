package frontend

import (
	"io"
	"net/http"
	"time"
)

// idleReader ends a request body that stands still.
type idleReader struct {
	io.ReadCloser
	control *http.ResponseController
	idle    time.Duration
}

// Read sets a deadline for each read and lifts it at the end: a deadline that
// passed later would look as if the caller had gone.
func (r *idleReader) Read(p []byte) (int, error) {
	_ = r.control.SetReadDeadline(time.Now().Add(r.idle)) // not all writers have one
	n, err := r.ReadCloser.Read(p)
	if err != nil {
		_ = r.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// idleWriter ends an answer that the caller does not take.
type idleWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	idle    time.Duration
}

// Write sets a deadline for each write.
func (w *idleWriter) Write(p []byte) (int, error) {
	_ = w.control.SetWriteDeadline(time.Now().Add(w.idle)) // not all writers have one
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the server's writer.
func (w *idleWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Interface guards.
var (
	_ io.ReadCloser       = (*idleReader)(nil)
	_ http.ResponseWriter = (*idleWriter)(nil)
)

// discard reads the body to its end, and reports whether that came within wait.
func (r *idleReader) discard(wait time.Duration) bool {
	if r.control.SetReadDeadline(time.Now().Add(wait)) != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, r.ReadCloser); err != nil {
		return false
	}
	return r.control.SetReadDeadline(time.Time{}) == nil
}
