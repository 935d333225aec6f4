package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/upstream"
)

// roughServer ends connections in all the ways that a server may, and records the IDs of the
// requests of which it has read any byte. A request's ID is the first element of its path.
type roughServer struct {
	listener net.Listener
	resume   chan struct{} // closed when paused connections are read
	conns    sync.WaitGroup

	mu   sync.Mutex
	read map[string]bool
}

// requestStart matches the first bytes of a request. startBytes is their number.
var requestStart = regexp.MustCompile(`POST /(\d{8})`)

const startBytes = len("POST /00000000")

func newRoughServer(t *testing.T) *roughServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &roughServer{listener: listener, resume: make(chan struct{}), read: make(map[string]bool)}
	s.conns.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Go(func() { s.serve(conn.(*net.TCPConn)) })
		}
	})
	return s
}

// startReader passes on what is read from a connection, and records the requests that start there.
type startReader struct {
	net.Conn
	server *roughServer
	tail   string
}

func (r *startReader) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	text := r.tail + string(p[:n])
	for _, found := range requestStart.FindAllStringSubmatch(text, -1) {
		r.server.mu.Lock()
		r.server.read[found[1]] = true
		r.server.mu.Unlock()
	}
	r.tail = text[max(len(text)-startBytes+1, 0):]
	return n, err
}

// serve reads to the end of the connection, unless it resets it.
func (s *roughServer) serve(conn *net.TCPConn) {
	defer conn.Close()
	in := &startReader{Conn: conn, server: s}
	reader := bufio.NewReader(in)
	defer func() { _, _ = io.Copy(io.Discard, reader) }()
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	switch rand.IntN(8) {
	case 0: // paused: what was sent waits in the socket's buffer
		<-s.resume
		return
	case 1:
		_ = conn.CloseWrite()
		return
	case 2:
		_ = conn.SetLinger(0)
		_, _ = http.ReadRequest(reader)
		conn.Close()
		return
	}
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		early := rand.IntN(4) == 0
		if early {
			_, _ = io.WriteString(conn, answer)
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !early {
			_, _ = io.WriteString(conn, answer)
		}
		switch rand.IntN(8) {
		case 0:
			_ = conn.CloseWrite()
			return
		case 1:
			_, _ = io.WriteString(conn, answer) // an extra response
		case 2:
			_ = conn.SetLinger(0)
			conn.Close()
			return
		}
	}
}

// wasRead reports whether the server has read any byte of a request.
func (s *roughServer) wasRead(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read[id]
}

// sendRough sends a request that may be cancelled or rejected by its guard at any moment.
func sendRough(transport *upstream.Transport, address, id string) *upstream.Failure {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if rand.IntN(2) == 0 {
		timer := time.AfterFunc(time.Duration(rand.IntN(1500))*time.Microsecond, cancel)
		defer timer.Stop()
	}
	// The largest body fills the socket's buffers, so that writes block.
	size := []int{0, 0, 6 << 10, 2 << 20}[rand.IntN(4)]
	body := upstream.Body(nil)
	if size > 0 {
		body = io.NopCloser(strings.NewReader(strings.Repeat("x", size)))
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+id, body)
	if err != nil {
		panic(err)
	}
	request.ContentLength = int64(size)
	guard := func() error {
		if rand.IntN(8) == 0 {
			return errors.New("rejected by the guard")
		}
		return nil
	}
	watchdog := time.AfterFunc(20*time.Millisecond, cancel) // paused servers do not respond
	defer watchdog.Stop()
	answer, failure := transport.Do(ctx, request, upstream.Conditions{Guard: guard})
	if failure != nil {
		return failure
	}
	answer.DrainAndClose()
	return nil
}

// Guards against a request that counts as not written, and is sent again or refused as not run,
// although a server has read it or can still read it: on connections that are cancelled during a
// write, reset, half-closed, closed while idle, or not read for a while.
func TestUnwrittenRequestIsNeverRead(t *testing.T) {
	const (
		senders, requests, maxRounds = 32, 40, 30
		// enough is how many failures of each kind make the test conclusive.
		enough = 100
	)
	unwritten, written, next := 0, 0, 0
	for round := 0; round < maxRounds && min(unwritten, written) < enough && !t.Failed(); round++ {
		server := newRoughServer(t)
		transport := upstream.NewTransport(upstream.Config{DialTimeout: upstream.DefaultDialTimeout})
		failures := make([]*upstream.Failure, senders*requests)
		var pending sync.WaitGroup
		first := next
		next += len(failures)
		for sender := range senders {
			pending.Go(func() {
				for i := sender * requests; i < (sender+1)*requests; i++ {
					failures[i] = sendRough(transport, server.listener.Addr().String(), fmt.Sprintf("%08d", first+i))
				}
			})
		}
		pending.Wait()
		close(server.resume)
		transport.Close()
		server.listener.Close()
		server.conns.Wait() // all connections have been read to their ends
		for i, failure := range failures {
			switch {
			case failure == nil:
			case failure.Written:
				written++
			default:
				unwritten++
				if id := fmt.Sprintf("%08d", first+i); server.wasRead(id) {
					t.Errorf("request %s counts as not written and was read by the server: %v", id, failure)
				}
			}
		}
	}
	if min(unwritten, written) < enough && !t.Failed() {
		t.Errorf("%d failures before the write and %d after it, want %d of each", unwritten, written, enough)
	}
	t.Logf("%d requests failed before the write, %d after it", unwritten, written)
}
