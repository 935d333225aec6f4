package upstream

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

const (
	// MaxHeadBytes limits the head of a response, together with the interim responses before it. It is as
	// much as a host accepts from a caller by default. A parsed head takes several times its size in
	// memory, and any number of servers may send one without end at a time.
	MaxHeadBytes = 64 << 10
	// MaxHostHeadBytes is the limit for responses of other hosts, which pass on a backend server's head
	// with fields of their own.
	MaxHostHeadBytes = MaxHeadBytes + 4<<10

	// minStatus and maxStatus are the status codes that RFC 9110, section 15, defines.
	minStatus = 100
	maxStatus = 599
)

// HeadError reports a response whose head is not valid HTTP. Nothing in it counts: a line that is not a field may
// have been meant as the one that tells how long the body is.
type HeadError struct{ reason string }

// Error implements error.
func (e *HeadError) Error() string { return "invalid head of a response: " + e.reason }

// CheckHead returns a *HeadError if the head of a response is not valid. net/http accepts any number as a status code,
// and field names with blanks (RFC 9112, section 5.1, forbids them).
func CheckHead(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return &HeadError{fmt.Sprintf("status code %03d is not between %d and %d", response.StatusCode, minStatus, maxStatus)}
	}
	return checkFields(response.Header)
}

// checkFields returns a *HeadError if a field of a head or trailer is not valid.
func checkFields(h http.Header) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return &HeadError{fmt.Sprintf("field name %.40q is not a token", name)}
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return &HeadError{fmt.Sprintf("the value of field %.40q has a control character", name)}
			}
		}
	}
	return nil
}

// HTTPTransport is an http.Transport that returns no response with an invalid head.
type HTTPTransport struct{ *http.Transport }

// NewHTTPTransport returns a transport that limits the head of a response to maxHeadBytes. A longer
// one is an error, and its connection is closed. The limit of a plain http.Transport is 10 MB.
func NewHTTPTransport(dial DialFunc, maxHeadBytes int64) *HTTPTransport {
	return &HTTPTransport{&http.Transport{DialContext: dial, MaxResponseHeaderBytes: maxHeadBytes}}
}

// RoundTrip implements http.RoundTripper. The error for an invalid head is a *HeadError.
func (t *HTTPTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		response.Body.Close()
		return nil, err
	}
	return response, nil
}

// Interface guard.
var _ http.RoundTripper = (*HTTPTransport)(nil)
