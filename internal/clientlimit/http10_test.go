package clientlimit

import (
	"crypto/tls"
	"io"
	"net/http"
	"strings"
	"testing"
)

// Guards against a part of a response that passes for the whole over HTTP/1.0: the handler aborts it, or its connection
// is closed for another one.
func TestCutOffResponseOverHTTP10IsReset(t *testing.T) {
	s := start(t, 1)
	c := s.dial()
	c.send("GET /abort HTTP/1.0\r\n\r\n")
	if got, err := io.ReadAll(c); err == nil {
		t.Errorf("aborted: %d bytes, and no error", len(got))
	}
	unread := s.dial()
	unread.send("GET /endless HTTP/1.0\r\n\r\n")
	s.awaitStalled(1)
	s.ageWrites()
	other := s.dial()
	other.send("GET / HTTP/1.0\r\n\r\n")
	if status := other.status(); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	if got, err := io.ReadAll(other); err != nil || len(got) > 0 {
		t.Errorf("a complete response ends with %v and %d bytes", err, len(got))
	}
	if got, err := io.ReadAll(unread); err == nil {
		t.Errorf("closed: %d bytes, and no error", len(got))
	}
}

// The message that ends a TLS connection would end the body of the response as well.
func TestCutOffResponseOverHTTP10AndTLSHasNoEnd(t *testing.T) {
	s := start(t, manyConns)
	server := s.startTLS(false)
	for path, complete := range map[string]bool{"/abort": false, "/": true} {
		c, err := tls.Dial("tcp", strings.TrimPrefix(server.URL, "https://"), server.Client().Transport.(*http.Transport).TLSClientConfig)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, "GET "+path+" HTTP/1.0\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(c); complete != (err == nil) {
			t.Errorf("%s: %d bytes end with %v", path, len(got), err)
		}
		c.Close()
	}
}
