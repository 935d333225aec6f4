package upstream

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"
)

func TestAnnouncedIdleTimeout(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"timeout=10":         10 * time.Second,
		"timeout=5, max=100": 5 * time.Second,
		"max=100, timeout=2": 2 * time.Second,
		"":                   0,
		"timeout=":           0,
		"timeout=-1":         0,
		"timeout=soon":       0,
	} {
		if got := keepAliveTimeout(http.Header{"Keep-Alive": {value}}); got != want {
			t.Errorf("%q: %s, want %s", value, got, want)
		}
	}
}

// A connection that its server is about to close as idle is not reused.
func TestIdleConnectionIsNotReused(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	conn := &trackedConn{Conn: near}
	conn.sealIfIdle(time.Hour, 0)
	if conn.sealed {
		t.Fatal("sealed although the server announced no idle timeout")
	}
	conn.setServerIdleTimeout(10 * time.Second)
	conn.sealIfIdle(7*time.Second, 0)
	if conn.sealed {
		t.Fatal("sealed after 7 s idle of 10 s")
	}
	conn.sealIfIdle(9*time.Second, 0)
	writesBefore, _ := conn.beginRequest(nil)
	if _, err := conn.Write([]byte("POST")); !errors.Is(err, errSealed) {
		t.Errorf("write after 9 s idle of 10 s: got %v, want errSealed", err)
	}
	if !conn.sealIfUnwritten(writesBefore) {
		t.Error("request on a sealed connection counts as written")
	}
}

// The request's own idle limit applies in addition to the server's timeout.
func TestMaxIdleLimitsReuse(t *testing.T) {
	const maxIdle = 200 * time.Millisecond
	for _, idle := range []time.Duration{maxIdle / 2, 2 * maxIdle} {
		near, far := net.Pipe()
		conn := &trackedConn{Conn: near}
		conn.setServerIdleTimeout(10 * time.Second)
		conn.sealIfIdle(idle, maxIdle)
		if want := idle > maxIdle; conn.sealed != want {
			t.Errorf("got sealed %t after %s idle with maxIdle %s", conn.sealed, idle, maxIdle)
		}
		near.Close()
		far.Close()
	}
}

// failingConn is a connection whose writes fail after n bytes.
type failingConn struct {
	net.Conn
	n int
}

func (r failingConn) Write([]byte) (int, error) { return r.n, errors.New("broken pipe") }

// A write that fails before any byte is accepted leaves the request unwritten; one
// that fails after a byte does not.
func TestFailedWriteIsUnwritten(t *testing.T) {
	for n, want := range map[int]bool{0: true, 1: false} {
		conn := &trackedConn{Conn: failingConn{n: n}}
		writesBefore, _ := conn.beginRequest(nil)
		if _, err := conn.Write([]byte("POST")); err == nil {
			t.Fatal("write succeeded, want an error")
		}
		if got := conn.sealIfUnwritten(writesBefore); got != want {
			t.Errorf("got unwritten %t after %d bytes, want %t", got, n, want)
		}
	}
}
