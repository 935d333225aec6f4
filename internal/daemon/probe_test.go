package daemon

import (
	"strings"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/upstream"
	"github.com/pearshelf/pearshelf/internal/world"
	"github.com/pearshelf/pearshelf/standin/endless"
)

// endlessResponses are responses without end: the beginning and what is repeated.
var endlessResponses = map[string][2]string{
	"head":              {"HTTP/1.1 200 OK\r\nX-Filler: ", strings.Repeat("a", 1000)},
	"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"long body":         {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", strings.Repeat("a", 1000)},
	"chunks":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "a\r\n0123456789\r\n"},
	"chunk extension":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("a", 1000)},
	"trailers":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: aaaa\r\n"},
	"body to the end":   {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("a", 1000)},
}

// probeEndless sends a health check to a server whose response has no end. It returns the check's error
// and the bytes read of the response.
func probeEndless(t *testing.T, response [2]string, pause, timeout time.Duration) (read int64, err error) {
	t.Helper()
	var dialer endless.Dialer
	server := endless.StartFor(t, endless.Response{Begin: response[0], Repeat: response[1], Pause: pause})
	f := &effects{d: &Daemon{ctx: t.Context(), probes: newProbeClient(dialer.Dial)}}
	err = f.probe(world.Probe{Address: server.Address(), Path: "/", Timeout: timeout})
	read, _ = dialer.Read()
	return read, err
}

// Guards against health checks whose responses without end use up the host's memory.
func TestEndlessHeadFailsHealthCheck(t *testing.T) {
	for _, name := range []string{"head", "interim responses"} {
		t.Run(name, func(t *testing.T) {
			read, err := probeEndless(t, endlessResponses[name], 0, time.Minute)
			if err == nil {
				t.Error("the health check succeeded")
			}
			if read > upstream.MaxHeadBytes {
				t.Errorf("%d bytes were read, more than MaxHeadBytes", read)
			}
		})
	}
}

// Guards against a good health check of a server whose response has no end: a long body counted as good
// once a megabyte of it had been read.
func TestEndlessResponseFailsHealthCheck(t *testing.T) {
	for name, response := range endlessResponses {
		t.Run(name+" fast", func(t *testing.T) {
			t.Parallel()
			if _, err := probeEndless(t, response, 0, time.Minute); err == nil {
				t.Error("the health check succeeded")
			}
		})
		t.Run(name+" slow", func(t *testing.T) {
			t.Parallel()
			if _, err := probeEndless(t, response, 20*time.Millisecond, 100*time.Millisecond); err == nil {
				t.Error("the health check succeeded")
			}
		})
	}
}
