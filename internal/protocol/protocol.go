// Package protocol names the headers that callers, hosts and backend servers
// use, so that one dispatcher serves the product's own interface and, through
// an adapter, that of a platform.
package protocol

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers of the product's own interface.
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

// Load is what a backend server says of its own load.
type Load struct {
	// Running requests hold a slot, Waiting ones do not yet.
	Running int
	Waiting int
}

// Protocol is a set of header names and the readings of their values. An empty
// name means that the protocol has no such header.
type Protocol struct {
	// RequestID names one request to callers and backend servers.
	RequestID string
	// CallerNamesRequests is whether the caller's own request ID is kept. If
	// not, the entry host gives one, because callers may repeat theirs.
	CallerNamesRequests bool
	// Sessions is whether the entry host gives each caller a session.
	Sessions bool
	// Timeout is how long a caller waits, in milliseconds.
	Timeout string
	// Deadline tells a backend server how many milliseconds are left.
	Deadline string
	// NotRun marks an answer of a backend server that did not run the request.
	NotRun string
	// Target names the backend server that a request is meant for; another one
	// at the same address refuses it.
	Target string
	// Customer names the customer to the backend server. What a caller sends under
	// that name never arrives there.
	Customer string
	// PlainBodies is whether an answer with a Content-Encoding cannot be the
	// backend server's own, because no caller asks for one.
	PlainBodies bool
	// Signature must be on every success of a backend server.
	Signature string
	// Leaving is the header by which a backend server says that it is leaving, IsLeaving
	// the reading of its value.
	Leaving   string
	IsLeaving func(value string) bool
	// Load is the header of a backend server's load, ParseLoad its reading.
	Load      string
	ParseLoad func(value string) (Load, bool)
	// Limit is the header by which a backend server names the requests a second that it
	// takes from all hosts together, a decimal number.
	Limit string
	// FormatRetryAfter writes the value of Retry-After.
	FormatRetryAfter func(d time.Duration) string
	// Instance is the header by which an answer to a health check names the server's process,
	// empty if it does not.
	Instance string
	// ReadyPath answers 200 while the balancer should send callers here.
	ReadyPath string
}

// Own is the product's own interface.
func Own() *Protocol {
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
		ParseLoad:        parseOwnLoad,
		Limit:            HeaderLimit,
		FormatRetryAfter: WholeSeconds,
		ReadyPath:        "/.well-known/pearshelf/ready",
	}
}

// parseOwnLoad reads "<in use>/<slots>".
func parseOwnLoad(value string) (Load, bool) {
	first, _, found := strings.Cut(value, "/")
	if !found {
		return Load{}, false
	}
	inUse, err := strconv.Atoi(first)
	return Load{Running: inUse}, err == nil && inUse >= 0
}

// WholeSeconds rounds up, as RFC 9110 knows whole seconds only.
func WholeSeconds(d time.Duration) string {
	return strconv.Itoa(int((d + time.Second - 1) / time.Second))
}

// NotRunBy reports whether a backend server's answer says that the request was
// not run, so that it may go elsewhere.
func (p *Protocol) NotRunBy(h http.Header) bool {
	value := h.Get(p.NotRun)
	return value != "" && value != "false" && value != "0"
}
