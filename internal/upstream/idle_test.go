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
		if got := announcedIdle(http.Header{"Keep-Alive": {value}}); got != want {
			t.Errorf("%q: %s, want %s", value, got, want)
		}
	}
}

// A connection that its server is about to close for idleness takes no request.
func TestIdleConnectionIsNotUsedAgain(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	conn := &trackedConn{Conn: near}
	conn.sealIfIdle(time.Hour, 0)
	if conn.sealed {
		t.Fatal("sealed although the server announced nothing")
	}
	conn.announce(10 * time.Second)
	conn.sealIfIdle(7*time.Second, 0)
	if conn.sealed {
		t.Fatal("sealed after 7 of 10 s")
	}
	conn.sealIfIdle(9*time.Second, 0)
	mark := conn.arm(nil)
	if _, err := conn.Write([]byte("POST")); !errors.Is(err, errSealed) {
		t.Errorf("a write after 9 of 10 s gives %v", err)
	}
	if !conn.sealIfUnwritten(mark) {
		t.Error("the request counts as written")
	}
}

// A bound of the request's own holds whatever the server announced.
func TestIdleConnectionBeyondTheBound(t *testing.T) {
	const bound = 200 * time.Millisecond
	for _, idle := range []time.Duration{bound / 2, 2 * bound} {
		near, far := net.Pipe()
		conn := &trackedConn{Conn: near}
		conn.announce(10 * time.Second)
		conn.sealIfIdle(idle, bound)
		if want := idle > bound; conn.sealed != want {
			t.Errorf("sealed %t after %s with a bound of %s", conn.sealed, idle, bound)
		}
		near.Close()
		far.Close()
	}
}

// refusing is a connection whose writes the system refuses whole, or after n bytes.
type refusing struct {
	net.Conn
	n int
}

func (r refusing) Write([]byte) (int, error) { return r.n, errors.New("broken pipe") }

// A write of which the system took nothing leaves the request unwritten; one
// that broke off after a byte does not.
func TestRefusedWriteIsUnwritten(t *testing.T) {
	for n, want := range map[int]bool{0: true, 1: false} {
		conn := &trackedConn{Conn: refusing{n: n}}
		mark := conn.arm(nil)
		if _, err := conn.Write([]byte("POST")); err == nil {
			t.Fatal("the write must fail")
		}
		if got := conn.sealIfUnwritten(mark); got != want {
			t.Errorf("unwritten %t after %d bytes, want %t", got, n, want)
		}
	}
}
