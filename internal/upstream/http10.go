package upstream

import (
	"bytes"
	"strings"
)

var http10 = []byte("HTTP/1.0 ")

// headRecorder keeps the head of a response of HTTP/1.0. A transfer coding makes its framing faulty (RFC 9112, section
// 6.1), but net/http removes the field and takes the framing of the chunks for the body.
type headRecorder struct {
	head []byte
	done bool
}

// record adds bytes as they arrive from the beginning of a response.
func (r *headRecorder) record(p []byte) {
	if r.done {
		return
	}
	if len(r.head) == 0 && !mayBeHTTP10(p) {
		r.done = true // without a copy
		return
	}
	r.head = append(r.head, p...)
	switch {
	case !mayBeHTTP10(r.head):
		r.head, r.done = nil, true
	case bytes.Contains(r.head, []byte("\n\r\n")), bytes.Contains(r.head, []byte("\n\n")):
		r.done = true
	}
}

// mayBeHTTP10 reports whether a response that begins with p may be one of HTTP/1.0.
func mayBeHTTP10(p []byte) bool {
	known := min(len(p), len(http10))
	return bytes.Equal(p[:known], http10[:known])
}

// hasTransferCoding reports whether the head is one of HTTP/1.0 with a transfer coding.
func (r *headRecorder) hasTransferCoding() bool {
	for line := range strings.Lines(string(r.head)) {
		name, _, found := strings.Cut(line, ":")
		if found && strings.EqualFold(name, "Transfer-Encoding") {
			return true
		}
		if strings.TrimRight(line, "\r\n") == "" {
			break // the body follows
		}
	}
	return false
}
