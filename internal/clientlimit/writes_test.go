package clientlimit

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// awaitStalled waits until n connections have had the same write in progress for a while.
func (s *server) awaitStalled(n int) {
	const while = 50 * time.Millisecond
	await(func() bool {
		time.Sleep(time.Millisecond)
		return len(s.stalledFor(while)) == n
	})
}

// stalledFor returns the connections whose clients have taken nothing for a while.
func (s *server) stalledFor(while time.Duration) []*conn {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	var stalled []*conn
	for c := range s.listener.conns {
		if since, ok := c.stalledSince(); ok && time.Since(since) >= while {
			stalled = append(stalled, c)
		}
	}
	return stalled
}

// ageWrites makes writes that stand still older than responseGrace.
func (s *server) ageWrites() {
	for _, c := range s.stalledFor(0) {
		for _, w := range []*writes{&c.written, &c.streamed} {
			w.mu.Lock()
			w.since = w.since.Add(-responseGrace)
			w.mu.Unlock()
		}
	}
}

// checkMakesRoom checks that the only connection, whose client does not read its response, gives way once it has not
// done so for long.
func (s *server) checkMakesRoom() {
	s.t.Helper()
	s.awaitStalled(1)
	early := s.dial()
	if got := early.rest(); got != "" {
		s.t.Errorf("beside a young response: %q", got)
	}
	s.ageWrites()
	c := s.dial()
	c.send(smallHead + "\r\n")
	if status := c.status(); status != http.StatusOK {
		s.t.Errorf("status %d", status)
	}
	if n := s.counts.of(Connections); n != 2 {
		s.t.Errorf("%d connections were counted as closed, want 2", n)
	}
}

func TestUnreadResponseMakesRoom(t *testing.T) {
	s := start(t, 1)
	s.dial().send("GET /endless HTTP/1.1\r\nHost: a\r\n\r\n")
	s.checkMakesRoom()
}

// The response waits for the stream's window, and the connection takes whatever else the server sends.
func TestUnreadStreamMakesRoom(t *testing.T) {
	s := start(t, 1)
	c := s.dial()
	c.send(http2.ClientPreface)
	framer := http2.NewFramer(c, c.reader)
	var head bytes.Buffer
	fields := hpack.NewEncoder(&head)
	for _, f := range []hpack.HeaderField{{Name: ":method", Value: "GET"}, {Name: ":scheme", Value: "http"}, {Name: ":authority", Value: "a"}, {Name: ":path", Value: "/endless"}} {
		if err := fields.WriteField(f); err != nil {
			t.Fatal(err)
		}
	}
	if err := framer.WriteSettings(); err != nil {
		t.Fatal(err)
	}
	if err := framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: head.Bytes(), EndStream: true, EndHeaders: true}); err != nil {
		t.Fatal(err)
	}
	go func() {
		for { // pings of the client are answered, which is no progress of the response
			if framer.WritePing(false, [8]byte{}) != nil {
				return
			}
			if _, err := framer.ReadFrame(); err != nil {
				return
			}
		}
	}()
	s.checkMakesRoom()
}

// The response that has stood still for longest ends first, and one that makes progress does not end.
func TestOldestUnreadResponseIsClosed(t *testing.T) {
	s := start(t, 3)
	var clients []*client
	for n := range 2 {
		c := s.dial()
		c.send("GET /endless HTTP/1.1\r\nHost: a\r\n\r\n")
		s.awaitStalled(n + 1)
		clients = append(clients, c)
	}
	s.ageWrites()
	reader := s.dial()
	reader.send("GET /endless HTTP/1.1\r\nHost: a\r\n\r\n")
	if _, err := reader.Read(make([]byte, 1<<10)); err != nil {
		t.Fatal(err)
	}
	progress := make(chan error, 1)
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			if _, err := reader.Read(buffer); err != nil {
				progress <- err
				return
			}
		}
	}()
	c := s.dial()
	c.send("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n")
	await(func() bool { return s.counts.of(Connections) == 1 })
	clients[0].rest() // ends
	if stalled := s.stalledFor(responseGrace); len(stalled) != 1 {
		t.Errorf("%d responses stand still, want the younger one", len(stalled))
	}
	select {
	case err := <-progress:
		t.Errorf("the client that reads: %v", err)
	default:
	}
	close(s.released)
	if status := c.status(); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}
