// Package backend is a stand-in for a backend server with slots, whose gray
// failures can be planted and which counts what it really ran.
package backend

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pearshelf/pearshelf/internal/dispatch"
	"github.com/pearshelf/pearshelf/internal/protocol"
)

// Faults are planted failures; the zero value is a healthy server.
type Faults struct {
	// ErrorRate is the share of requests answered with 500.
	ErrorRate float64
	// ResetRate is the share whose connection breaks after the run.
	ResetRate float64
	// WrongIDRate is the share answered with another request's ID.
	WrongIDRate float64
	// CutRate is the share whose body ends early.
	CutRate float64
	// EndlessRate is the share whose answer does not end after the run, in its head or its body.
	EndlessRate float64
	// SlowFactor multiplies the service time, 0 for 1.
	SlowFactor float64
	// Hang keeps requests until they are cancelled.
	Hang bool
	// CloseAfterRun runs the request and closes the connection unanswered.
	CloseAfterRun bool
	// Draining says so on every answer.
	Draining bool
	// ShedRate is the share of requests refused as not run.
	ShedRate float64
	// LateRate is the share of answers that are sent again where the answer to the connection's
	// next request is expected.
	LateRate float64
	// Rest is what the server asks for with each refusal, 0 for nothing.
	Rest time.Duration
	// Unhealthy makes the health endpoint tell the truth.
	Unhealthy bool
}

// Config of a Server.
type Config struct {
	// ID is told in answers.
	ID string
	// Slots is how many requests run at a time; more are shed.
	Slots int
	// ServiceTime is the mean of an exponential distribution, 0 for none.
	ServiceTime time.Duration
	// Fixed makes every request take just ServiceTime.
	Fixed bool
	// Download is what GET /download serves.
	Download []byte
	// Seed of the random choices.
	Seed uint64
	// Ran, if set, is called as each request begins to run.
	Ran func(r *http.Request)
	// Arrived, if set, is called with each request and what its answer will say of the
	// server.
	Arrived func(r *http.Request, said protocol.ServerState)
	// EndsOn, if set, says which requests end the server while they run: its listener and
	// all its connections close at once.
	EndsOn func(r *http.Request) bool
}

// Server is a running stand-in.
type Server struct {
	conf     Config
	listener net.Listener
	server   *http.Server

	mu     sync.Mutex
	rng    *rand.Rand
	faults Faults
	limit  float64
	inUse  int
	served int
	shed   int
	runs   map[string]int // by idempotency key, or request ID without one
	ended  bool
}

// Start runs a stand-in on loopback.
func Start(conf Config) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return Serve(conf, listener), nil
}

// Serve runs a stand-in on a listener.
func Serve(conf Config, listener net.Listener) *Server {
	s := &Server{
		conf:     conf,
		listener: listener,
		rng:      rand.New(rand.NewPCG(conf.Seed, uint64(len(conf.ID)))),
		runs:     make(map[string]int),
	}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(lateListener{listener, s.repeatsLate}) }() // ends with Close
	return s
}

// Address is IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the stand-in at once.
func (s *Server) Close() { _ = s.server.Close() }

// end closes the stand-in as a crash of its process would.
func (s *Server) end() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.Close()
}

// Ended reports whether a request has ended the server.
func (s *Server) Ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// SetFaults plants failures.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetLimit makes the server name a rate limit in its answers, in requests a second; 0 for none.
func (s *Server) SetLimit(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = perSecond
}

// Served returns how many requests ran.
func (s *Server) Served() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served
}

// Shed returns how many requests were refused as not run.
func (s *Server) Shed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shed
}

// InUse returns how many requests run now.
func (s *Server) InUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inUse
}

// Runs returns how often a request ran, by idempotency key or request ID.
func (s *Server) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// AddRuns adds the number of runs of each key to a sum over servers.
func (s *Server) AddRuns(sum map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, n := range s.runs {
		sum[key] += n
	}
}

// plan is what happens to one request.
type plan struct {
	faults  Faults
	limit   float64
	service time.Duration
	err     bool
	reset   bool
	wrong   bool
	cut     bool
	shed    bool
	endless bool
}

func (s *Server) decide() plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := plan{faults: s.faults, limit: s.limit, service: s.conf.ServiceTime}
	if !s.conf.Fixed {
		p.service = time.Duration(s.rng.ExpFloat64() * float64(p.service))
	}
	if p.faults.SlowFactor > 0 {
		p.service = time.Duration(float64(p.service) * p.faults.SlowFactor)
	}
	p.err = s.rng.Float64() < p.faults.ErrorRate
	p.reset = s.rng.Float64() < p.faults.ResetRate || p.faults.CloseAfterRun
	p.wrong = s.rng.Float64() < p.faults.WrongIDRate
	p.cut = s.rng.Float64() < p.faults.CutRate
	p.shed = s.rng.Float64() < p.faults.ShedRate
	p.endless = p.faults.EndlessRate > 0 && s.rng.Float64() < p.faults.EndlessRate
	return p
}

// repeatsLate decides whether an answer is sent again.
func (s *Server) repeatsLate() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < s.faults.LateRate
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	p := s.decide()
	id := r.Header.Get(protocol.HeaderRequestID)
	if p.wrong {
		id = "another-request"
	}
	w.Header().Set(protocol.HeaderRequestID, id)
	if r.URL.Path == "/healthz" {
		s.health(w, p)
		return
	}
	inUse, ok := s.enter(p)
	w.Header().Set(protocol.HeaderLoad, fmt.Sprintf("%d/%d", inUse, s.conf.Slots))
	said := protocol.ServerState{Leaving: p.faults.Draining}
	if said.Leaving {
		w.Header().Set(protocol.HeaderLeaving, "true")
	}
	if p.limit > 0 {
		said.Limit = protocol.RateLimit{Named: true, PerSecond: p.limit}
		w.Header().Set(protocol.HeaderLimit, strconv.FormatFloat(p.limit, 'f', -1, 64))
	}
	if !ok && p.faults.Rest > 0 {
		said.Rest = p.faults.Rest
		w.Header().Set("Retry-After", strconv.FormatFloat(said.Rest.Seconds(), 'f', -1, 64))
	}
	if s.conf.Arrived != nil {
		s.conf.Arrived(r, said)
	}
	if !ok {
		w.Header().Set(protocol.HeaderNotRun, "true")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	s.run(w, r, p)
}

func (s *Server) health(w http.ResponseWriter, p plan) {
	if p.faults.Unhealthy {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (s *Server) enter(p plan) (inUse int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.shed || s.conf.Slots > 0 && s.inUse >= s.conf.Slots {
		s.shed++
		return s.inUse, false
	}
	s.inUse++
	return s.inUse, true
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse--
}

func (s *Server) noteRun(r *http.Request) {
	key := r.Header.Get(dispatch.HeaderIdempotencyKey)
	if key == "" {
		key = r.Header.Get(protocol.HeaderRequestID)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served++
	s.runs[key]++
}

func (s *Server) run(w http.ResponseWriter, r *http.Request, p plan) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.noteRun(r)
	if s.conf.Ran != nil {
		s.conf.Ran(r)
	}
	if p.faults.Hang {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if p.service > 0 {
		time.Sleep(p.service)
	}
	switch {
	case s.conf.EndsOn != nil && s.conf.EndsOn(r):
		s.end()
		panic(http.ErrAbortHandler)
	case p.reset:
		panic(http.ErrAbortHandler)
	case p.endless:
		answerEndlessly(w, r)
	case p.err:
		http.Error(w, "internal error", http.StatusInternalServerError)
	case strings.HasPrefix(r.URL.Path, "/download"):
		s.download(w, r, p)
	case p.cut:
		_, _ = io.WriteString(w, "cut") // in chunks: only the missing end tells
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	default:
		answer(w, s.conf.ID, r, body)
	}
}

// maxEndlessBytes bounds an endless answer, in case the caller never closes the connection.
const maxEndlessBytes = 16 << 20

// answerEndlessly sends an answer whose head or body, by the ID of the request, does not end until the
// caller closes the connection.
func answerEndlessly(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	id := r.Header.Get(protocol.HeaderRequestID)
	begin := "HTTP/1.1 200 OK\r\n" + protocol.HeaderRequestID + ": " + id + "\r\n"
	piece := "X-Filler: " + strings.Repeat("a", 1000) + "\r\n"
	if len(id) > 0 && id[len(id)-1]%2 == 0 {
		begin += "Transfer-Encoding: chunked\r\n\r\n"
		piece = "400\r\n" + strings.Repeat("a", 1<<10) + "\r\n"
	}
	_, err = io.WriteString(conn, begin)
	for sent := 0; err == nil && sent < maxEndlessBytes; sent += len(piece) {
		_, err = io.WriteString(conn, piece)
	}
}

// answer names server, request and body, so that a test can tell whose it is.
func answer(w http.ResponseWriter, id string, r *http.Request, body []byte) {
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprintf(w, "server=%s request=%s path=%s body=%s", id, r.Header.Get(protocol.HeaderRequestID), r.URL.Path, body)
}

// download serves ranges with a strong validator; a cut one ends half-way.
func (s *Server) download(w http.ResponseWriter, r *http.Request, p plan) {
	w.Header().Set("ETag", `"v1-`+strconv.Itoa(len(s.conf.Download))+`"`)
	if !p.cut {
		http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(s.conf.Download))
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(s.conf.Download)))
	_, _ = w.Write(s.conf.Download[:len(s.conf.Download)/2])
	panic(http.ErrAbortHandler)
}
