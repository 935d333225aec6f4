package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// answer is what a server sends for a request.
type answer struct {
	status  int
	headers string // lines that end with CR LF
	body    []byte
}

// serverConfig describes a backend server.
type serverConfig struct {
	id, service, zone string
	slots, queue      int
	// work is how long a request takes.
	work time.Duration
	// duplicates says whether an answer is sent a second time, at the point where the next one is expected.
	duplicates func() bool
}

// server is a stand-in for a backend server. It reads requests from the bytes of its connections, so that it
// can send what a sound HTTP library would not.
type server struct {
	serverConfig
	listener net.Listener
	journal  *journal
	free     chan struct{} // one token for each free slot

	mu               sync.Mutex
	running, waiting int
}

func startServer(conf serverConfig, j *journal) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{serverConfig: conf, listener: listener, journal: j, free: make(chan struct{}, conf.slots)}
	for range conf.slots {
		s.free <- struct{}{}
	}
	go s.accept()
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

// register writes the server's entry to the store now and at each heartbeat.
func (s *server) register(st *store) {
	go func() {
		for seq := 1; ; seq++ {
			st.put("servers/"+s.id, map[string]any{
				"Service": s.service, "Addr": s.address(), "Zone": s.zone, "Version": "v1", "Slots": s.slots,
				"State": "ready", "WarmupLeftS": 0, "Seq": seq,
			})
			time.Sleep(1500 * time.Millisecond)
		}
	}()
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// serve answers the requests of a connection, one at a time. The request is dropped if its connection closes.
func (s *server) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	var extra []byte // an answer that is sent again before the next one
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("X-Request-Id")
		s.journal.add("server %s  request %s arrives", s.id, id)
		if extra != nil {
			s.journal.add("server %s  sends an extra answer where that to %s is expected: %.60q", s.id, id, extra)
			if _, err := c.Write(extra); err != nil {
				return
			}
			extra = nil
		}
		ctx, cancel := context.WithCancel(context.Background())
		closed := make(chan struct{})
		go func() { // ends when the next request or the end of the connection comes
			defer close(closed)
			if _, err := reader.Peek(1); err != nil {
				cancel()
			}
		}()
		a, ok := s.handle(ctx, r)
		if !ok {
			cancel()
			return
		}
		raw := s.encode(id, a)
		if _, err := c.Write(raw); err != nil {
			cancel()
			return
		}
		s.journal.add("server %s  answers %s with %d", s.id, id, a.status)
		if s.duplicates != nil && r.URL.Path != "/healthz" && s.duplicates() {
			extra = raw
		}
		<-closed
		cancel()
	}
}

// handle runs a request or rejects it. ok is false if its connection closed first.
func (s *server) handle(ctx context.Context, r *http.Request) (a answer, ok bool) {
	id := r.Header.Get("X-Request-Id")
	if r.URL.Path == "/healthz" {
		return answer{status: 200, headers: "X-Instance-Id: " + s.id + "\r\n"}, true
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.id {
		return answer{status: 421, headers: "X-Instance-Id: " + s.id + "\r\n"}, true
	}
	deadline := time.Now().Add(time.Hour)
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	if !s.enter() {
		s.journal.add("server %s  is full and does not run %s", s.id, id)
		return answer{status: 503, headers: "X-Not-Executed: 1\r\n"}, true
	}
	select {
	case <-s.free:
	case <-ctx.Done():
		s.add(0, -1)
		s.journal.add("server %s  drops %s, which waited: its connection has closed", s.id, id)
		return answer{}, false
	case <-time.After(time.Until(deadline)):
		s.add(0, -1)
		s.journal.add("server %s  does not run %s: its deadline passed in the queue", s.id, id)
		return answer{status: 503, headers: "X-Not-Executed: 1\r\n"}, true
	}
	s.add(1, -1)
	defer func() {
		s.add(-1, 0)
		s.free <- struct{}{}
	}()
	s.journal.run(id, s.id)
	select {
	case <-time.After(s.work):
	case <-ctx.Done():
		s.journal.add("server %s  drops %s at work: its connection has closed", s.id, id)
		return answer{}, false
	case <-time.After(time.Until(deadline)):
		return answer{status: 504}, true
	}
	return answer{status: 200, body: []byte("answer of " + s.id + " to " + id)}, true
}

func (s *server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running+s.waiting >= s.slots+s.queue {
		return false
	}
	s.waiting++
	return true
}

func (s *server) add(running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += running
	s.waiting += waiting
}

// encode returns the bytes of an answer.
func (s *server) encode(id string, a answer) []byte {
	s.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.slots)
	s.mu.Unlock()
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Server-Load: %s\r\n", a.status, http.StatusText(a.status), id, load)
	if a.status < 500 && a.status != 421 {
		head += "X-Upstream-Signature: signed-by-" + s.id + "\r\n"
	}
	head += a.headers + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(a.body))
	return append([]byte(head), a.body...)
}

// chance returns a function that is true for the given share of its calls while active is.
func chance(seed uint64, share float64, active func() bool) func() bool {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 1))
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		return active() && random.Float64() < share
	}
}
