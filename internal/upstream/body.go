package upstream

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// writeEndTimeout bounds how long the end of a response waits for the write of its request. A server that has received
// the whole request lets it end at once.
const writeEndTimeout = 250 * time.Millisecond

var errRequestUnwritten = errors.New("the connection ended while the request was being written")

// requestWrite tells when a request has been written, and how that ended.
type requestWrite struct {
	once sync.Once
	done chan struct{}
	err  error // valid once done is closed
}

func newRequestWrite() *requestWrite { return &requestWrite{done: make(chan struct{})} }

func (w *requestWrite) end(err error) {
	w.once.Do(func() {
		w.err = err
		close(w.done)
	})
}

// check waits for a short time until the request has been written, and returns an error if it has not been.
func (w *requestWrite) check(limit time.Duration) error {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-w.done:
		return w.err
	case <-timer.C:
		return errRequestUnwritten
	}
}

// responseBody is a response body that ends with io.EOF only if it is complete.
type responseBody struct {
	io.ReadCloser
	response *http.Response
	conn     *trackedConn
	write    *requestWrite
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if broken := b.checkEnd(); broken != nil {
			return n, errors.Join(io.ErrUnexpectedEOF, broken)
		}
	}
	return n, err
}

func (b *responseBody) checkEnd() error {
	if err := checkFields(b.response.Trailer); err != nil {
		return err
	}
	if !endsWithConnection(b.response) {
		return nil
	}
	// The kernel reports a reset once: a write of the request that meets it leaves a plain end of the connection
	// to the next read.
	if err := b.write.check(writeEndTimeout); err != nil {
		return err
	}
	return b.conn.writeError(writeEndTimeout)
}

// endsWithConnection reports whether only the end of the connection tells where the body ends (RFC 9112, section 6.3).
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}
