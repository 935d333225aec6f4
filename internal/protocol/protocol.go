// Package protocol defines the HTTP headers exchanged between callers, hosts and
// backend servers. The dispatcher takes them from a Protocol, so that it can serve
// Pearshelf's own interface as well as, through an adapter, that of a platform.
package protocol

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Headers of Pearshelf's own interface.
const (
	HeaderRequestID = "Pearshelf-Request-Id"
	HeaderTimeout   = "Pearshelf-Timeout-Ms"
	HeaderDeadline  = "Pearshelf-Deadline-Ms"
	HeaderNotRun    = "Pearshelf-Not-Run"
	HeaderLeaving   = "Pearshelf-Draining"
	HeaderLoad      = "Pearshelf-Load"
	HeaderCustomer  = "Pearshelf-Customer"
	HeaderLimit     = "Pearshelf-Limit"
)

// Load is the load that a backend server reports.
type Load struct {
	// Running is the number of requests that hold a slot.
	Running int
	// Waiting is the number of requests that wait for a slot.
	Waiting int
}

// Protocol is a set of header names with the functions that parse and format their
// values. An empty name means that the protocol has no such header.
type Protocol struct {
	// RequestID is the header that identifies a request to callers and backend servers.
	RequestID string
	// KeepCallerRequestID reports whether the caller's own request ID is kept. If not, the
	// entry host, which received the request from the caller, assigns one, because callers
	// may reuse theirs.
	KeepCallerRequestID bool
	// Sessions reports whether the entry host assigns a session to requests without one.
	Sessions bool
	// Timeout is the header for how long the caller waits, in milliseconds.
	Timeout string
	// Deadline is the header that tells a backend server how many milliseconds remain.
	Deadline string
	// NotRun is the header that marks a response of a backend server that did not run the
	// request.
	NotRun string
	// NotRunStatuses are the statuses that promise callers that their request has not run. If there
	// are none, the outcome header alone says so.
	NotRunStatuses []int
	// Target is the header that names the backend server a request is meant for. A
	// different server at the same address refuses the request.
	Target string
	// Customer is the header that names the customer to the backend server. A value sent
	// by the caller is never passed on.
	Customer string
	// IdentityEncodingOnly reports whether a response with a Content-Encoding cannot come from the
	// backend server itself, because no caller requests one.
	IdentityEncodingOnly bool
	// Signature is the header that every successful response of a backend server must carry.
	Signature string
	// Leaving is the header by which a backend server reports that it is leaving.
	Leaving string
	// IsLeaving parses the value of the Leaving header.
	IsLeaving func(value string) bool
	// Load is the header by which a backend server reports its load.
	Load string
	// ParseLoad parses the value of the Load header.
	ParseLoad func(value string) (Load, bool)
	// Limit is the header by which a backend server announces how many requests per second
	// it accepts from all hosts together, as a decimal number.
	Limit string
	// FormatRetryAfter formats the value of Retry-After.
	FormatRetryAfter func(d time.Duration) string
	// Instance is the header that identifies the server process in a health check response.
	Instance string
	// ReadyPath is the path that answers 200 while the load balancer should send callers to
	// this host.
	ReadyPath string
}

// Default returns the protocol of Pearshelf's own interface.
func Default() *Protocol {
	return &Protocol{
		RequestID:        HeaderRequestID,
		Sessions:         true,
		Timeout:          HeaderTimeout,
		Deadline:         HeaderDeadline,
		NotRun:           HeaderNotRun,
		Customer:         HeaderCustomer,
		Leaving:          HeaderLeaving,
		IsLeaving:        func(value string) bool { return value == "true" },
		Load:             HeaderLoad,
		ParseLoad:        parseLoad,
		Limit:            HeaderLimit,
		FormatRetryAfter: FormatSeconds,
		ReadyPath:        "/.well-known/pearshelf/ready",
	}
}

// parseLoad parses "<in use>/<slots>". The number of slots is ignored.
func parseLoad(value string) (Load, bool) {
	running, _, found := strings.Cut(value, "/")
	if !found {
		return Load{}, false
	}
	inUse, err := strconv.Atoi(running)
	return Load{Running: inUse}, err == nil && inUse >= 0
}

// FormatSeconds formats d in seconds, rounded up, because RFC 9110 allows only whole
// seconds in Retry-After.
func FormatSeconds(d time.Duration) string {
	return strconv.Itoa(int((d + time.Second - 1) / time.Second))
}

// IsNotRun reports whether a backend server's response states that the request was not
// run and may therefore be sent to another server.
func (p *Protocol) IsNotRun(h http.Header) bool {
	value := h.Get(p.NotRun)
	return value != "" && value != "false" && value != "0"
}

// StatusPromisesNotRun reports whether a status promises callers that their request has not run.
func (p *Protocol) StatusPromisesNotRun(status int) bool {
	return slices.Contains(p.NotRunStatuses, status)
}
