package clientlimit

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"github.com/pearshelf/pearshelf/internal/dispatch"
	"github.com/pearshelf/pearshelf/internal/memory"
)

const (
	// hostBytes is the memory of a host whose budget is 1 MiB, half of it for large requests.
	hostBytes  = 4 << 20
	budget     = hostBytes / 4
	manyConns  = 100
	rawRefusal = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\nRetry-After: 1\r\nPearshelf-Outcome: not-run\r\n\r\n"
)

// counts is an Observer.
type counts struct {
	mu             sync.Mutex
	refused        map[Resource]int
	reached, ended []Resource
}

func (c *counts) ClientRefused(_ string, resource Resource) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[resource]++
}

func (c *counts) LimitReached(resource Resource) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reached = append(c.reached, resource)
}

func (c *counts) LimitEnded(resource Resource, _ int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = append(c.ended, resource)
}

func (c *counts) of(resource Resource) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused[resource]
}

// server is an http.Server within limits. Requests for /hold are answered once released is closed, the response for
// /endless ends with its connection, that for /abort is aborted.
type server struct {
	t        *testing.T
	limiter  *Limiter
	listener *Listener
	memory   *memory.Budget
	counts   *counts
	address  string
	served   chan string
	released chan struct{}
}

func start(t *testing.T, maxConns int) *server {
	t.Helper()
	s := &server{
		t:        t,
		memory:   memory.NewBudget(hostBytes),
		counts:   &counts{refused: make(map[Resource]int)},
		served:   make(chan string, manyConns),
		released: make(chan struct{}),
	}
	s.limiter = New(Config{Memory: s.memory, IsStreamed: dispatch.IsStreamed, Refusal: []byte(rawRefusal), Observer: s.counts})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refuse := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:     s.limiter.Requests(http.HandlerFunc(s.serve), refuse),
		Protocols:   protocols,
		ConnState:   s.limiter.ConnState,
		ConnContext: s.limiter.ConnContext,
	}
	s.address = inner.Addr().String()
	s.listener = s.limiter.Listen(inner, "test", maxConns)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(s.listener) // until Close
	}()
	t.Cleanup(func() {
		server.Close()
		<-done
	})
	return s
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		if errors.Is(err, memory.ErrNoRoom) {
			w.WriteHeader(http.StatusInsufficientStorage)
		}
		return
	}
	s.served <- r.URL.Path
	if r.URL.Path == "/hold" {
		<-s.released
	}
	if r.URL.Path == "/abort" {
		_, _ = w.Write(make([]byte, 32<<10)) // the client fails the test
		panic(http.ErrAbortHandler)
	}
	for r.URL.Path == "/endless" {
		if _, err := w.Write(make([]byte, 32<<10)); err != nil {
			return
		}
	}
}

// client is a connection to the server.
type client struct {
	*server
	net.Conn
	reader *bufio.Reader
}

func (s *server) dial() *client {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	return &client{server: s, Conn: conn, reader: bufio.NewReader(conn)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// status reads a response.
func (c *client) status() int {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		c.t.Fatal(err)
	}
	return resp.StatusCode
}

// rest reads until the server closes the connection.
func (c *client) rest() string {
	raw, _ := io.ReadAll(c.reader) // a reset ends it as well
	return string(raw)
}

// await waits for a condition, whose time proves nothing.
func await(condition func() bool) {
	for !condition() {
		runtime.Gosched()
	}
}

// awaitCharged waits until at least n bytes are charged.
func (s *server) awaitCharged(n int64) {
	await(func() bool { return s.memory.InUse() >= n })
}

func (s *server) awaitFree() { await(func() bool { return s.memory.InUse() == 0 }) }

const smallHead = "GET / HTTP/1.1\r\nHost: a\r\n"

// lines returns n bytes of fields.
func lines(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "x%d:\r\n", i)
	}
	return b.String()
}

func TestHeadIsChargedUntilAnswered(t *testing.T) {
	s := start(t, manyConns)
	c := s.dial()
	c.send(smallHead + lines(3000))
	s.awaitCharged(3000 * headFactor)
	c.send("\r\n")
	if status := c.status(); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	s.awaitFree()
}

func TestRequestIsChargedWhileItIsServed(t *testing.T) {
	const bytes = 3000
	for name, request := range map[string]string{
		"head":    "GET /hold HTTP/1.1\r\nHost: a\r\n" + lines(bytes) + "\r\n",
		"trailer": "POST /hold HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + lines(bytes) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := start(t, manyConns)
			c := s.dial()
			c.send(request)
			<-s.served
			if charged := s.memory.InUse(); charged < headCopies*bytes {
				t.Errorf("%d bytes are charged for %d", charged, bytes)
			}
			close(s.released)
			c.status()
			s.awaitFree()
		})
	}
}

// The head that has been incomplete for longest is refused, the newest one goes on.
func TestOldestHeadIsGivenUp(t *testing.T) {
	const bytes = 900 // of each head, an ordinary one
	s := start(t, manyConns)
	var clients []*client
	for s.counts.of(Memory) == 0 {
		c := s.dial()
		clients = append(clients, c)
		before := s.memory.InUse()
		c.send(smallHead + lines(bytes))
		await(func() bool { return s.memory.InUse() > before || s.counts.of(Memory) > 0 })
	}
	if got := clients[0].rest(); got != rawRefusal {
		t.Errorf("the oldest got %q", got)
	}
	newest := clients[len(clients)-1]
	newest.send("\r\n")
	if status := newest.status(); status != http.StatusOK {
		t.Errorf("newest: status %d", status)
	}
	if n := len(s.served); n != 1 {
		t.Errorf("%d requests were served", n)
	}
}

// Large requests use a part of the memory, however many there are. An ordinary one is served beside them.
func TestLargeRequestsLeaveRoom(t *testing.T) {
	s := start(t, manyConns)
	refused := 0
	for refused < 3 {
		c := s.dial()
		before := s.counts.of(Memory)
		c.send("GET /hold HTTP/1.1\r\nHost: a\r\n" + lines(4000) + "\r\n")
		await(func() bool { return s.counts.of(Memory) > before || len(s.served) > 0 })
		if s.counts.of(Memory) > before {
			refused++
			continue
		}
		<-s.served
	}
	if charged := s.memory.InUse(); charged > budget/2 {
		t.Errorf("large requests take %d bytes of %d", charged, budget)
	}
	c := s.dial()
	c.send(smallHead + "\r\n")
	if status := c.status(); status != http.StatusOK {
		t.Errorf("ordinary request: status %d", status)
	}
	close(s.released)
}

// The bytes of the next request, which net/http reads together with the body of the last one, are charged too.
func TestPipelinedHeadIsCharged(t *testing.T) {
	s := start(t, manyConns)
	c := s.dial()
	c.send(smallHead + "\r\n" + smallHead + lines(3000))
	if status := c.status(); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	s.awaitCharged((3000 - lineOverhead) * headFactor)
	c.send("\r\n")
	if status := c.status(); status != http.StatusOK {
		t.Errorf("next request: status %d", status)
	}
	s.awaitFree()
}

func TestKeptConnectionIsNotCharged(t *testing.T) {
	s := start(t, manyConns)
	c := s.dial()
	for range 3 {
		c.send("POST / HTTP/1.1\r\nHost: a\r\nUser-Agent: test\r\nAccept: */*\r\nContent-Length: 3\r\n\r\nabc")
		if status := c.status(); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
		s.awaitFree()
	}
}

func TestOldestConnectionMakesRoom(t *testing.T) {
	s := start(t, 2)
	silent, kept := s.dial(), s.dial()
	kept.send(smallHead + "\r\n")
	kept.status()
	for range 2 {
		c := s.dial()
		c.send(smallHead + "\r\n")
		if status := c.status(); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	}
	for name, c := range map[string]*client{"silent": silent, "kept": kept} {
		if got := c.rest(); got != "" {
			t.Errorf("%s connection got %q", name, got)
		}
	}
	if n := s.counts.of(Connections); n != 2 {
		t.Errorf("%d connections were closed for others, want 2", n)
	}
}

func TestConnectionWithRequestIsNotClosed(t *testing.T) {
	s := start(t, 1)
	busy := s.dial()
	busy.send("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n")
	<-s.served
	if got := s.dial().rest(); got != "" {
		t.Errorf("got %q", got)
	}
	close(s.released)
	if status := busy.status(); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}

// A connection on which a head is being read gives way too, with a refusal.
func TestUnfinishedHeadMakesRoom(t *testing.T) {
	s := start(t, 1)
	slow := s.dial()
	slow.send(smallHead)
	s.awaitCharged(1)
	c := s.dial()
	c.send(smallHead + "\r\n")
	if status := c.status(); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	if got := slow.rest(); got != rawRefusal {
		t.Errorf("got %q", got)
	}
}

// An HTTP/2 connection without a request gives way without a response of HTTP/1.1, also after its preface.
func TestHTTP2ConnectionGetsNoPlainRefusal(t *testing.T) {
	s := start(t, 1)
	idle := s.dial()
	idle.send(http2.ClientPreface)
	framer := http2.NewFramer(idle, idle.reader)
	if err := framer.WriteSettings(); err != nil {
		t.Fatal(err)
	}
	ping := func() {
		if err := framer.WritePing(false, [8]byte{}); err != nil {
			t.Fatal(err)
		}
		for {
			frame, err := framer.ReadFrame()
			if err != nil {
				t.Fatal(err)
			}
			if answer, ok := frame.(*http2.PingFrame); ok && answer.IsAck() {
				return
			}
		}
	}
	ping() // the preface is dealt with
	ping()
	s.awaitCharged(1)
	c := s.dial()
	c.send(smallHead + "\r\n")
	if status := c.status(); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	if got := idle.rest(); strings.Contains(got, "HTTP/1.1") {
		t.Errorf("got %q", got)
	}
}

// ageBodies makes the bodies that are being read older than bodyGrace.
func (s *server) ageBodies() {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	for e := s.limiter.bodies.Front(); e != nil; e = e.Next() {
		e.Value.(*incoming).since = time.Now().Add(-bodyGrace)
	}
}

func (s *server) awaitBodies(n int) {
	await(func() bool {
		s.limiter.mu.Lock()
		defer s.limiter.mu.Unlock()
		return s.limiter.bodies.Len() == n
	})
}

// A body that has stood still for long gives way to another request, and a young one does not.
func TestOldestBodyIsGivenUp(t *testing.T) {
	const length = 60 << 10
	s := start(t, manyConns)
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\nx", length)
	var clients []*client
	for n := 1; s.memory.InUse()+length < budget; n++ {
		c := s.dial()
		c.send(head)
		s.awaitBodies(n)
		clients = append(clients, c)
	}
	young := s.dial()
	young.send(head)
	if status := young.status(); status != http.StatusServiceUnavailable {
		t.Errorf("beside young bodies: status %d", status)
	}
	s.ageBodies()
	c := s.dial()
	c.send(head + strings.Repeat("x", length-1))
	if status := c.status(); status != http.StatusOK {
		t.Errorf("beside old bodies: status %d", status)
	}
	if status := clients[0].status(); status != http.StatusInsufficientStorage {
		t.Errorf("the oldest body: status %d", status)
	}
	last := clients[len(clients)-1]
	last.send(strings.Repeat("x", length-1))
	if status := last.status(); status != http.StatusOK {
		t.Errorf("the youngest body: status %d", status)
	}
}

// Guards against a request that is sent to a server although its client has been told that it has not run.
func TestGivenUpRequestIsNotServed(t *testing.T) {
	s := start(t, manyConns)
	c := &conn{limiter: s.limiter, listener: s.limiter.Listen(nil, "test", 1), abandoned: true}
	defer func() {
		if cause := recover(); cause != http.ErrAbortHandler {
			t.Errorf("recovered %v", cause)
		}
	}()
	r, err := http.NewRequestWithContext(context.WithValue(t.Context(), connKey{}, c), http.MethodGet, "/", nil)
	if err != nil {
		t.Fatal(err)
	}
	s.limiter.Requests(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("the request was served") }), nil).ServeHTTP(nil, r)
}

func TestHTTP2ConnectionIsCharged(t *testing.T) {
	s := start(t, manyConns)
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	resp, err := (&http.Client{Transport: transport}).Get("http://" + s.address + "/")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	await(func() bool { return s.memory.InUse() == http2ConnBytes })
	transport.CloseIdleConnections()
	s.awaitFree()
}

// startTLS starts another server with the same limits and TLS.
func (s *server) startTLS(second bool) *httptest.Server {
	s.t.Helper()
	server := httptest.NewUnstartedServer(s.limiter.Requests(http.HandlerFunc(s.serve), nil))
	server.Listener = s.limiter.Listen(server.Listener, "tls", manyConns)
	server.Config.ConnState, server.Config.ConnContext = s.limiter.ConnState, s.limiter.ConnContext
	server.EnableHTTP2 = second
	server.StartTLS()
	s.t.Cleanup(server.Close)
	return server
}

// Connections with TLS are recognised below it, for both versions of HTTP.
func TestRequestsWithTLSAreCharged(t *testing.T) {
	for _, second := range []bool{false, true} {
		s := start(t, manyConns)
		server := s.startTLS(second)
		done := make(chan error)
		go func() {
			resp, err := server.Client().Get(server.URL + "/hold")
			if err == nil {
				resp.Body.Close()
			}
			done <- err
		}()
		<-s.served
		if charged := s.memory.InUse(); charged == 0 || second != (charged > http2ConnBytes) {
			t.Errorf("HTTP/2 %t: %d bytes are charged", second, charged)
		}
		close(s.released)
		if err := <-done; err != nil {
			t.Error(err)
		}
		server.Client().CloseIdleConnections()
		s.awaitFree()
	}
}

func TestCallBodiesAreLimited(t *testing.T) {
	s := start(t, manyConns)
	c := &conn{limiter: s.limiter, listener: s.limiter.Listen(nil, "test", 1)}
	in := &incoming{}
	b := &body{ReadCloser: io.NopCloser(strings.NewReader(strings.Repeat("x", budget))), limiter: s.limiter, in: in, factor: callFactor}
	if n, err := io.Copy(io.Discard, b); !errors.Is(err, memory.ErrNoRoom) || callFactor*n > budget/2 {
		t.Errorf("read %d bytes of a call, %v", n, err)
	}
	c.endRequest(in)
	s.awaitFree()
}

// Guards against memory that is never released: a connection is closed for another one between the arrival of bytes and
// their charge, or a body is read after its request has been answered.
func TestNothingIsChargedAfterTheEnd(t *testing.T) {
	s := start(t, manyConns)
	closed := &conn{Conn: &net.TCPConn{}, limiter: s.limiter, listener: s.limiter.Listen(nil, "test", 1)}
	s.limiter.mu.Lock()
	closed.beginHead()
	head := closed.head
	s.limiter.mu.Unlock()
	_ = closed.Close() // of a socket that was never open
	if closed.chargeHead(head, 100) {
		t.Error("the head of a closed connection is charged")
	}
	answered := &incoming{}
	closed.serving = 1
	closed.endRequest(answered)
	if s.limiter.charge(answered, 100) {
		t.Error("an answered request is charged")
	}
	if n := s.memory.InUse(); n != 0 {
		t.Errorf("%d bytes stay charged", n)
	}
}

// Guards against an HTTP/2 connection that is closed, with the request on it, because a handler has taken its first
// request between the arrival of bytes and their charge.
func TestBytesReadBesideAHandlerDoNotCloseTheConnection(t *testing.T) {
	s := start(t, manyConns)
	c := &conn{Conn: &net.TCPConn{}, limiter: s.limiter, listener: s.limiter.Listen(nil, "test", 1)}
	s.limiter.mu.Lock()
	c.beginHead()
	head := c.head
	s.limiter.mu.Unlock()
	in, ok := c.beginRequest(&http.Request{Method: http.MethodGet, Proto: "HTTP/2.0", ProtoMajor: 2, Body: http.NoBody})
	if !ok {
		t.Fatal("there is no room for the request")
	}
	if !c.chargeHead(head, 100) || c.abandoned {
		t.Error("the connection of a request that is being served is given up")
	}
	c.endRequest(in)
	_ = c.Close() // of a socket that was never open
	s.awaitFree()
}

// Guards against a refusal that is written into a response: net/http reads a connection until the response has been
// sent, and the next request may begin to arrive after the handler has returned.
func TestConnectionIsNotGivenUpBeforeItsResponseIsSent(t *testing.T) {
	s := start(t, manyConns)
	c := &conn{Conn: &net.TCPConn{}, limiter: s.limiter, listener: s.limiter.Listen(nil, "test", 1)}
	in, ok := c.beginRequest(&http.Request{Method: http.MethodGet, Proto: "HTTP/1.1", ProtoMajor: 1, Body: http.NoBody})
	if !ok {
		t.Fatal("there is no room for the request")
	}
	c.endRequest(in)
	if !c.receive([]byte("G")) || c.head != nil || c.place != nil {
		t.Error("the connection can be given up although its response is not sent")
	}
	s.limiter.ConnState(c, http.StateIdle)
	if c.place == nil {
		t.Error("the connection does not wait for a request after its response")
	}
	if !c.receive([]byte("E")) || c.head == nil {
		t.Error("the next request is not charged")
	}
	_ = c.Close() // of a socket that was never open
	s.awaitFree()
}

func TestBeginAndEndOfLimitAreReported(t *testing.T) {
	s := start(t, manyConns)
	s.limiter.refused("test", Memory)
	s.limiter.refused("test", Memory)
	s.limiter.reportEnds(time.Now())
	if len(s.counts.reached) != 1 || len(s.counts.ended) != 0 {
		t.Errorf("reached %v, ended %v", s.counts.reached, s.counts.ended)
	}
	s.limiter.reportEnds(time.Now().Add(calmPeriod))
	if len(s.counts.ended) != 1 || s.counts.of(Memory) != 2 {
		t.Errorf("ended %v, %d refused", s.counts.ended, s.counts.of(Memory))
	}
}

// Clients leave descriptors for the connections that the host opens itself.
func TestSharesLeaveDescriptors(t *testing.T) {
	for _, descriptors := range []int{64, 400, 4100, 1 << 20} {
		shares := SharesOf(descriptors, 0)
		accepted := shares.Callers + shares.Peers + shares.Readiness + shares.Operators
		if left := descriptors - accepted - shares.Idle; left < descriptors/8 {
			t.Errorf("of %d descriptors %d are left: %+v", descriptors, left, shares)
		}
	}
}

// Guards against connections that together hold more unread bytes than the host's memory allows.
func TestReceiveBuffersFitTheMemory(t *testing.T) {
	for _, descriptors := range []int{64, 400, 4100, 1 << 20} {
		for _, hostBytes := range []int64{64 << 20, 96 << 20, 284 << 20, 16 << 30} {
			s := SharesOf(descriptors, hostBytes)
			if held := int64(s.sockets()) * int64(s.ReceiveBuffer); held > hostBytes/4 || s.ReceiveBuffer < minReceiveBuffer {
				t.Errorf("%d descriptors, %d MB: %d connections of %d bytes hold %d", descriptors, hostBytes>>20, s.sockets(), s.ReceiveBuffer, held)
			}
			if all := SharesOf(descriptors, 0); s.Callers > all.Callers || s.Peers > all.Peers {
				t.Errorf("%d descriptors, %d MB: more connections than descriptors allow", descriptors, hostBytes>>20)
			}
		}
	}
}

// Guards against a host in use that accepts fewer connections than its descriptors allow.
func TestMemoryOfAMachineInUseSufficesForItsConnections(t *testing.T) {
	byMemory, all := SharesOf(4100, 284<<20), SharesOf(4100, 0)
	byMemory.ReceiveBuffer = 0
	if byMemory != all {
		t.Errorf("%+v, want %+v", byMemory, all)
	}
}

// Guards against a host that refuses all callers but one because its memory is set too low.
func TestLittleMemoryLeavesConnections(t *testing.T) {
	for _, descriptors := range []int{400, 4100, 1 << 20} {
		if s := SharesOf(descriptors, 1<<20); s.Callers < 60 || s.Peers < 60 {
			t.Errorf("%d descriptors, 1 MB: %+v", descriptors, s)
		}
	}
}

// The kernel doubles the buffer for its own overhead.
func TestAcceptedConnectionsHaveLimitedBuffers(t *testing.T) {
	shares := Shares{ReceiveBuffer: minReceiveBuffer}
	l, err := shares.ListenTCP("127.0.0.1:0", manyConns)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	checkBuffers(t, accepted, minReceiveBuffer)
}

// Guards against connections that wait to be accepted without a limit, each with a receive buffer. The kernel's own
// count is used: a client takes a connection for open whose last segment the full queue has dropped.
func TestBacklogIsLimited(t *testing.T) {
	shares := Shares{ReceiveBuffer: minReceiveBuffer}
	l, err := shares.ListenTCP("127.0.0.1:0", 1)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var dials sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	for range 2 * minBacklog {
		dials.Go(func() {
			if c, err := net.DialTimeout("tcp", l.Addr().String(), 500*time.Millisecond); err == nil {
				mu.Lock()
				defer mu.Unlock()
				conns = append(conns, c)
			}
		})
	}
	dials.Wait()
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	// Each processor may add a connection after it has seen room for one.
	if n, most := waiting(t, l.Addr().(*net.TCPAddr).Port), minBacklog+1+runtime.NumCPU(); n > most {
		t.Errorf("%d connections wait to be accepted, want %d at most", n, most)
	}
}

// waiting returns how many connections wait to be accepted on a port of 127.0.0.1.
func waiting(t *testing.T, port int) int {
	t.Helper()
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	const address, state, queues = 1, 3, 4 // fields
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) <= queues || fields[address] != fmt.Sprintf("0100007F:%04X", port) || fields[state] != "0A" {
			continue
		}
		_, queue, _ := strings.Cut(fields[queues], ":")
		n, err := strconv.ParseInt(queue, 16, 32)
		if err != nil {
			t.Fatal(err)
		}
		return int(n)
	}
	t.Fatalf("/proc/net/tcp has no listener on port %d", port)
	return 0
}
