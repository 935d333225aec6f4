package clientlimit

import (
	"net/http"
	"sync"
	"time"
)

// writes are the writes of responses to one connection that are in progress. It is safe for concurrent use.
type writes struct {
	mu   sync.Mutex
	open int
	// since is when the first of them began or the last one before them ended.
	since time.Time
}

func (w *writes) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.open == 0 {
		w.since = time.Now()
	}
	w.open++
}

func (w *writes) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open--
	w.since = time.Now()
}

// stalledSince returns since when no write has ended, ok is false if none is in progress.
func (w *writes) stalledSince() (since time.Time, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.since, w.open > 0
}

// streamWriter counts the writes of a response over HTTP/2, which wait for the windows of the stream and of the
// connection before they reach the connection.
type streamWriter struct {
	http.ResponseWriter
	writes *writes
}

// Write implements http.ResponseWriter.
func (w *streamWriter) Write(p []byte) (int, error) {
	w.writes.begin()
	defer w.writes.end()
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the server's writer.
func (w *streamWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
