package daemon

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/upstream"
	"github.com/pearshelf/pearshelf/internal/world"
)

// startEndlessServer starts a server that responds to each connection's first request with a beginning
// and then repeats a piece until the client closes the connection.
func startEndlessServer(t *testing.T, begin, repeat string, pause time.Duration) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err := fmt.Fprint(conn, begin)
				for err == nil {
					time.Sleep(pause)
					_, err = fmt.Fprint(conn, repeat)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// countingConn counts the bytes read.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

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
	var received atomic.Int64
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, read: &received}, nil
	}
	f := &effects{d: &Daemon{ctx: t.Context(), probes: newProbeClient(dial)}}
	err = f.probe(world.Probe{Address: startEndlessServer(t, response[0], response[1], pause), Path: "/", Timeout: timeout})
	return received.Load(), err
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
