// Package endless is a stand-in for a server whose responses do not end, with a dialer that counts
// what its clients read of them.
package endless

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// requestID is the header by which the server tells requests apart. A request without it has the ID "".
const requestID = "X-Request-Id"

// maxClosed is how many responses may be cut off before their end is received from Closed.
const maxClosed = 1000

// Response is a response without end.
type Response struct {
	// Begin is sent first. Each %s in it stands for the request's ID.
	Begin string
	// Repeat is sent again and again until the client closes the connection.
	Repeat string
	// Pause is the time before each repetition, 0 for none.
	Pause time.Duration
}

// Bodies are bodies that do not end, by name: the last header with the blank line, and the piece that is
// repeated.
var Bodies = map[string][2]string{
	"chunks":          {"Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
	"chunk extension": {"Transfer-Encoding: chunked\r\n\r\n1;", "a"},
	"trailers":        {"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: a\r\n"},
	"long body":       {"Content-Length: 1000000000000\r\n\r\n", "a"},
	"body to the end": {"\r\n", "a"},
}

// Server answers the first request of each connection with a response without end.
type Server struct {
	// Closed receives a value for each response that the client has cut off.
	Closed chan struct{}

	response Response
	listener net.Listener
	open     atomic.Int64

	mu   sync.Mutex
	runs map[string]int // by request ID
}

// Start starts a server on loopback.
func Start(response Response) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{response: response, listener: listener, Closed: make(chan struct{}, maxClosed), runs: make(map[string]int)}
	go s.accept()
	return s, nil
}

// Address is IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close accepts no more connections. Responses go on until their clients close them.
func (s *Server) Close() error { return s.listener.Close() }

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get(requestID)
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.open.Add(1)
	defer func() {
		s.open.Add(-1)
		s.Closed <- struct{}{}
	}()
	_, err = fmt.Fprint(conn, strings.ReplaceAll(s.response.Begin, "%s", id))
	for err == nil {
		time.Sleep(s.response.Pause)
		_, err = fmt.Fprint(conn, s.response.Repeat)
	}
}

// Runs returns how often the server got a request.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// Received returns how many requests the server got, by their IDs.
func (s *Server) Received() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}

// Open returns how many responses have not been cut off yet.
func (s *Server) Open() int64 { return s.open.Load() }

// Dialer opens connections and counts the bytes that are read from each.
type Dialer struct {
	mu    sync.Mutex
	conns []*countedConn
}

// Dial opens a connection, as net.Dialer.DialContext does.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	counted := &countedConn{Conn: conn}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns = append(d.conns, counted)
	return counted, nil
}

// Read returns the bytes that were read from all connections, and the most from one of them.
func (d *Dialer) Read() (total, most int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		n := c.read.Load()
		total, most = total+n, max(most, n)
	}
	return total, most
}

type countedConn struct {
	net.Conn
	read atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}
