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
	conn.sealIfIdle(time.Hour)
	if conn.sealed {
		t.Fatal("sealed although the server announced nothing")
	}
	conn.announce(10 * time.Second)
	conn.sealIfIdle(7 * time.Second)
	if conn.sealed {
		t.Fatal("sealed after 7 of 10 s")
	}
	conn.sealIfIdle(9 * time.Second)
	mark := conn.arm(nil)
	if _, err := conn.Write([]byte("POST")); !errors.Is(err, errSealed) {
		t.Errorf("a write after 9 of 10 s gives %v", err)
	}
	if !conn.sealIfUnwritten(mark) {
		t.Error("the request counts as written")
	}
}
