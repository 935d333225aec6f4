package dispatch

import (
	"io"
	"sync"

	"github.com/pearshelf/pearshelf/internal/memory"
)

// recording keeps the part of a streamed request body that has been read, so that another attempt can
// send the body from its beginning. Without it a large upload is refused as soon as its first server
// sheds it or its connection turns out to be closed.
//
// The transport may still read the body for an attempt that has ended. All readers therefore share the
// recording, and a byte is read from the caller once, by whichever reader needs it first.
type recording struct {
	source io.Reader
	limit  int
	budget *memory.Budget

	mu   sync.Mutex
	data []byte
	// read is the number of bytes read from source, end the error that ended it.
	read int
	end  error
	// discarded is set once the body cannot be sent again: it exceeds the limit, there is no memory
	// for it, or the request has ended.
	discarded bool
}

func newRecording(source io.Reader, limit int64, budget *memory.Budget) *recording {
	return &recording{source: source, limit: int(limit), budget: budget}
}

// open returns the body from its beginning, or false if that is no longer possible.
func (r *recording) open() (io.ReadCloser, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.discarded && r.read > 0 {
		return nil, false
	}
	return io.NopCloser(&recordingReader{recording: r}), true
}

// close releases the memory of the recording. Attempts that have not ended continue to stream.
func (r *recording) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.discard()
}

func (r *recording) discard() {
	r.budget.Release(int64(len(r.data)))
	r.data, r.discarded = nil, true
}

// record appends bytes that were read from source.
func (r *recording) record(p []byte) {
	r.read += len(p)
	if r.discarded {
		return
	}
	if r.read > r.limit || !r.budget.TryAcquireOptional(int64(len(p))) {
		r.discard()
		return
	}
	r.data = append(r.data, p...)
}

// recordingReader reads the body for one attempt.
type recordingReader struct {
	recording *recording
	position  int
}

// Read implements io.Reader.
func (b *recordingReader) Read(p []byte) (int, error) {
	r := b.recording
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case b.position < len(r.data):
		n := copy(p, r.data[b.position:])
		b.position += n
		return n, nil
	case b.position < r.read: // read by another attempt and no longer kept
		return 0, io.ErrUnexpectedEOF
	case r.end != nil:
		return 0, r.end
	}
	n, err := r.source.Read(p)
	r.record(p[:n])
	b.position += n
	r.end = err
	return n, err
}
