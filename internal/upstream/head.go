package upstream

import "net/http"

const (
	// MaxHeadBytes limits the head of a response, together with the interim responses before it. It is as
	// much as a host accepts from a caller by default. A parsed head takes several times its size in
	// memory, and any number of servers may send one without end at a time.
	MaxHeadBytes = 64 << 10
	// MaxHostHeadBytes is the limit for responses of other hosts, which pass on a backend server's head
	// with fields of their own.
	MaxHostHeadBytes = MaxHeadBytes + 4<<10
)

// NewHTTPTransport returns an http.Transport that limits the head of a response to maxHeadBytes. A longer
// one is an error, and its connection is closed. The limit of a plain http.Transport is 10 MB.
func NewHTTPTransport(dial DialFunc, maxHeadBytes int64) *http.Transport {
	return &http.Transport{DialContext: dial, MaxResponseHeaderBytes: maxHeadBytes}
}
