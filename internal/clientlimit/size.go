package clientlimit

import (
	"net/http"

	"github.com/pearshelf/pearshelf/internal/memory"
)

const (
	// ordinaryRequestBytes is the memory of a request that counts as ordinary: a head of 1 KiB while it is read,
	// or one of some 8 KiB with a few dozen fields once it is parsed.
	ordinaryRequestBytes = headFactor << 10

	// headFactor is the memory of a parsed head as a multiple of its bytes. Lines of five bytes, each of which
	// becomes an entry of a map, take the most.
	headFactor = 32
	// servedFactor is the memory of a request as a multiple of its head's bytes while it is served, for a head of
	// lines of five bytes.
	servedFactor = 72
	// fieldBytes and valueBytes are the memory of a field's entry in a parsed head and of each of its values,
	// beside their text.
	fieldBytes = 96
	valueBytes = 16
	// headCopies is how many copies of a head a request takes while it is served: the one that arrived, and one for
	// each of the two servers that it may be sent to at a time.
	headCopies = 3

	// readBufferBytes is the size of net/http's buffer, which may hold the beginning of the next request.
	readBufferBytes = 4 << 10
	// lineOverhead is how many bytes of a request may be taken for a part of the next one: line ends and spaces
	// that the parsed head does not show.
	lineOverhead = 512

	// http2ConnBytes is the memory of an HTTP/2 connection beside its streams: its receive window, and a head that
	// is being decoded.
	http2ConnBytes = HTTP2WindowBytes + 64<<10
	// HTTP2WindowBytes is the receive window of an HTTP/2 connection, and of each of its streams.
	HTTP2WindowBytes = 64 << 10
	// HTTP2Streams is how many streams an HTTP/2 connection may have open.
	HTTP2Streams = 100

	// callFactor is the memory of a call's body as a multiple of its bytes: it is read into a buffer that grows by
	// doubling, and then decoded.
	callFactor = 4
	// maxCallBytes is the size of the largest body of a call.
	maxCallBytes = 8 << 20
)

// MinHostBytes returns the memory of a host that serves requests with heads of up to the given size in calm.
func MinHostBytes(maxHeadBytes int) int64 {
	return memory.HostBytesFor(servedFactor * int64(maxHeadBytes))
}

// headSize returns the memory of a parsed head or trailer, and the fewest bytes that its lines take on the wire.
func headSize(h http.Header) (held int64, wire int) {
	for name, values := range h {
		held += fieldBytes + int64(len(name))
		for _, value := range values {
			held += valueBytes + int64(len(value))
			wire += len(name) + len(value) + len(":\n")
		}
	}
	return held, wire
}

// requestSize returns the memory that a request takes until it is answered, beside its body, and the fewest bytes
// that its head takes on the wire.
func requestSize(r *http.Request) (held int64, wire int) {
	held, wire = headSize(r.Header)
	held = headCopies * (held + int64(len(r.RequestURI)))
	return held, wire + len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host)
}
