// Package frontend implements the HTTP handlers for requests from callers and for
// requests forwarded by other hosts. It validates each request, looks up its route
// and reports every refusal as a problem document (RFC 9457) with an outcome.
package frontend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/oklog/ulid/v2"

	"github.com/pearshelf/pearshelf/internal/customer"
	"github.com/pearshelf/pearshelf/internal/dispatch"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/metrics"
	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/internal/region"
	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	maxIdempotencyKey = 256
	maxSession        = 256
	maxTimeout        = 2 * time.Hour
)

// Dispatcher handles requests that the frontend has accepted.
type Dispatcher interface {
	Serve(w http.ResponseWriter, req *dispatch.Request) error
	// RecordRefusal records a request that was refused before Serve.
	RecordRefusal(req *dispatch.Request, refusal *dispatch.Refusal)
}

// Limiter enforces customer limits across all hosts.
type Limiter interface {
	// Allow counts one request against a customer's limit. If the limit is reached, it
	// returns false and the time after which the request may be retried.
	Allow(ctx context.Context, name string, limit customer.Limit) (ok bool, retryAfter time.Duration)
}

// Config configures a Frontend.
type Config struct {
	// Limiter enforces customer limits.
	Limiter Limiter
	// Protocol defines the headers exchanged with callers.
	Protocol *protocol.Protocol
	// WhenReady is closed once the first configuration has been applied.
	WhenReady <-chan struct{}
	// MaxHeldBytes bounds the memory of requests that wait for the first configuration.
	MaxHeldBytes int64
	// WhenInformed is closed once other hosts have told what they know of servers, or a short time
	// after WhenReady; nil if there is nothing to wait for.
	WhenInformed <-chan struct{}
	// SeparateReadyListener is set if readiness checks are served on their own listener
	// instead of the caller listener.
	SeparateReadyListener bool
	// BodyIdleTimeout bounds each read of a request body and each write of a response
	// body.
	BodyIdleTimeout time.Duration
}

// Frontend provides the HTTP handlers of a host.
type Frontend struct {
	conf       Config
	snapshot   func() *world.Snapshot
	dispatcher Dispatcher
	metrics    *metrics.Metrics
	startup    *startupQueue
}

// New returns a frontend.
func New(conf Config, snapshot func() *world.Snapshot, dispatcher Dispatcher, m *metrics.Metrics) *Frontend {
	return &Frontend{conf: conf, snapshot: snapshot, dispatcher: dispatcher, metrics: m, startup: newStartupQueue(conf.MaxHeldBytes)}
}

// handler is an http.HandlerFunc that may return a refusal.
type handler func(w http.ResponseWriter, r *http.Request, id string) error

// CallerHandler returns the handler for requests from callers.
func (f *Frontend) CallerHandler() http.Handler {
	router := chi.NewRouter()
	if !f.conf.SeparateReadyListener {
		router.Get(f.conf.Protocol.ReadyPath, f.ready)
	}
	wrapped := f.wrap(f.serveCaller)
	serve := func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del(dispatch.HeaderForwardedBy) // callers must not impersonate a host
		wrapped(w, r)
	}
	router.NotFound(serve)
	router.MethodNotAllowed(serve)
	return router
}

// ReadyHandler returns the handler of the separate listener for readiness checks.
func (f *Frontend) ReadyHandler() http.Handler {
	router := chi.NewRouter()
	router.Get(f.conf.Protocol.ReadyPath, f.ready)
	return router
}

// ForwardHandler returns the handler for requests forwarded by other hosts.
func (f *Frontend) ForwardHandler() http.Handler { return f.wrap(f.serveForwarded) }

// NoMemoryHandler returns the handler that refuses requests for which the host has no memory left.
func (f *Frontend) NoMemoryHandler() http.Handler {
	return f.wrap(func(http.ResponseWriter, *http.Request, string) error { return errNoMemory })
}

// errNoMemory is the refusal of a request before anything was done for it.
var errNoMemory = dispatch.NewRefusalNotRun(errs.New(errs.KindHostMemory, "this host has no memory left for the request", "repeat the request after the time in Retry-After; add hosts"))

// IsForwarded reports whether a request on the peer listener was forwarded by another
// host.
func IsForwarded(r *http.Request) bool { return r.Header.Get(dispatch.HeaderForwardedBy) != "" }

func (f *Frontend) ready(w http.ResponseWriter, _ *http.Request) {
	snap := f.snapshot()
	if !snap.Ready || snap.Leaving {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n") // the load balancer repeats the check
}

func (f *Frontend) wrap(serve handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		if r.ProtoMajor == 1 && dispatch.IsStreamed(r) {
			// The server cannot reuse the connection if the body has not been read to
			// its end before the response.
			_ = control.EnableFullDuplex() // otherwise the server reads the body before it responds
			w.Header().Set("Connection", "close")
		}
		writer := &idleWriter{ResponseWriter: w, control: control, timeout: f.conf.BodyIdleTimeout}
		r.Body = &idleReader{ReadCloser: r.Body, control: control, timeout: f.conf.BodyIdleTimeout}
		if f.snapshot().Leaving && r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
		id := f.requestID(r)
		if err := serve(writer, r, id); err != nil {
			f.writeRefusal(w, r, id, err)
		}
	}
}

// requestID returns the ID that the entry host assigned to a forwarded request. For any
// other request, this host is the entry host and keeps the caller's ID, if the protocol
// allows that, or assigns a new one.
func (f *Frontend) requestID(r *http.Request) string {
	if IsForwarded(r) {
		return r.Header.Get(protocol.HeaderRequestID)
	}
	if f.conf.Protocol.KeepCallerRequestID {
		if id := r.Header.Get(f.conf.Protocol.RequestID); id != "" {
			return id
		}
	}
	return ulid.Make().String()
}

func (f *Frontend) serveCaller(w http.ResponseWriter, r *http.Request, id string) error {
	arrived := time.Now()
	snap, waited, err := f.awaitReady(r, arrived)
	if err != nil {
		return err
	}
	if f.awaitInformed(r.Context()) {
		snap = f.snapshot()
	}
	if err := checkPath(r); err != nil {
		return err
	}
	match, ok := snap.Routes.Of(r)
	if !ok {
		return refuse(http.StatusNotFound, errs.KindNoRoute, "no route for "+r.Method+" "+r.URL.Path, "check the path; show routes lists what is served")
	}
	req := dispatch.NewRequest(r)
	req.ID = id
	req.Service = match.Service
	req.Idempotent = match.Idempotent
	req.Routes = snap.Routes
	req.Attempts = match.Attempts
	req.Group = match.Group
	req.Objective = match.Objective
	req.Priority = match.Priority
	req.Homes = match.Homes
	req.Key = r.Header.Get(dispatch.HeaderIdempotencyKey)
	req.Session = r.Header.Get(dispatch.HeaderSession)
	holder, err := f.identifyCustomer(req, r, snap, match)
	if err != nil {
		return err
	}
	if req.Session == "" && f.conf.Protocol.Sessions {
		req.Session = ulid.Make().String()
	}
	if len(req.Key) > maxIdempotencyKey || len(req.Session) > maxSession {
		return refuse(http.StatusBadRequest, errs.KindBadRequest, "Idempotency-Key or Pearshelf-Session is longer than 256 bytes", "send a shorter value")
	}
	if err := f.setDeadline(req, r, snap, arrived); err != nil {
		return err
	}
	req.LimitDeadline(arrived, match.Timeout)
	if waited && !time.Now().Before(req.Deadline) {
		return refuse(http.StatusServiceUnavailable, errs.KindNotConfigured, "the deadline passed while this host waited for its first configuration", "allow more time")
	}
	if err := f.enforceLimit(r.Context(), req, holder); err != nil {
		return err
	}
	return f.dispatch(w, req)
}

// awaitInformed waits for what other hosts know of servers, and reports whether it had to wait. The wait is
// short: see Config.WhenInformed.
func (f *Frontend) awaitInformed(ctx context.Context) (waited bool) {
	select {
	case <-f.conf.WhenInformed:
		return false
	default:
	}
	if f.conf.WhenInformed == nil {
		return false
	}
	select {
	case <-f.conf.WhenInformed:
	case <-ctx.Done():
	}
	return true
}

func (f *Frontend) serveForwarded(w http.ResponseWriter, r *http.Request, id string) error {
	snap := f.snapshot()
	req := dispatch.NewRequest(r)
	req.ID = id
	req.Service = r.Header.Get(dispatch.HeaderService)
	req.Idempotent = r.Header.Get(dispatch.HeaderIdempotent) == "true" && locallyIdempotent(snap, r)
	req.Routes = snap.Routes
	req.Key = r.Header.Get(dispatch.HeaderIdempotencyKey)
	req.Session = r.Header.Get(dispatch.HeaderSession)
	req.Customer = r.Header.Get(protocol.HeaderCustomer)
	req.ForwardedBy = r.Header.Get(dispatch.HeaderForwardedBy)
	req.Homes = localHomes(snap, r, req)
	remainingMs, err := strconv.ParseInt(r.Header.Get(protocol.HeaderDeadline), 10, 64)
	if err != nil || req.Service == "" || id == "" {
		return refuse(http.StatusBadRequest, errs.KindBadRequest, "forwarded request lacks a header", "run one version of the daemon on all hosts")
	}
	req.Deadline = time.Now().Add(time.Duration(remainingMs) * time.Millisecond)
	req.Explicit = r.Header.Get(dispatch.HeaderTimeout) != ""
	if err := readRelayHeaders(r.Header, req); err != nil {
		return err
	}
	return f.dispatch(w, req)
}

// readRelayHeaders reads what the entry host tells of a request that it relays because it has lost
// its path to the backend servers. Requests forwarded to owner hosts carry none of it.
func readRelayHeaders(h http.Header, req *dispatch.Request) error {
	objectiveMs := 0
	for header, value := range map[string]*int{
		dispatch.HeaderAttempts:  &req.Attempts,
		dispatch.HeaderArrived:   &req.Arrived,
		dispatch.HeaderPriority:  &req.Priority,
		dispatch.HeaderObjective: &objectiveMs,
	} {
		text := h.Get(header)
		if text == "" {
			continue
		}
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			return refuse(http.StatusBadRequest, errs.KindBadRequest, "header "+header+" of a relayed request is not a number", "run one version of the daemon on all hosts")
		}
		*value = n
	}
	req.Relayed = h.Get(dispatch.HeaderAttempts) != ""
	req.Objective = time.Duration(objectiveMs) * time.Millisecond
	req.Group = h.Get(dispatch.HeaderGroup)
	req.Claimed = h.Get(dispatch.HeaderClaimed) != ""
	req.Counted = h.Get(dispatch.HeaderCounted) != ""
	return nil
}

// locallyIdempotent reports whether this host's configuration allows a forwarded request to
// be treated as idempotent. If the configurations of the two hosts differ, the request
// counts as non-idempotent, which is the safe choice. The service is not compared: a split
// route leads to one of several, and a moved one to another.
func locallyIdempotent(snap *world.Snapshot, r *http.Request) bool {
	match, ok := snap.Routes.Of(r)
	return !ok || match.Idempotent
}

// localHomes returns the home regions of a forwarded request according to this host's
// configuration.
func localHomes(snap *world.Snapshot, r *http.Request, req *dispatch.Request) region.Homes {
	match, _ := snap.Routes.Of(r)
	homes := match.Homes
	if holder := snap.Customers.ByName(req.Customer); holder != nil {
		homes = homes.Intersect(holder.Homes)
	}
	return homes
}

func (f *Frontend) dispatch(w http.ResponseWriter, req *dispatch.Request) error {
	start := time.Now()
	err := f.dispatcher.Serve(w, req)
	outcome := dispatch.Outcome(w.Header().Get(dispatch.HeaderOutcome))
	var refusal *dispatch.Refusal
	if errors.As(err, &refusal) {
		outcome = refusal.Outcome
	}
	if req.ForwardedBy == "" {
		f.metrics.Request(req.Service, string(outcome), time.Since(start))
	}
	return err
}

// checkPath refuses paths that a backend server could interpret differently from the
// route table.
func checkPath(r *http.Request) error {
	p := r.URL.Path
	clean := path.Clean(p)
	if strings.HasSuffix(p, "/") && clean != "/" {
		clean += "/"
	}
	escaped := strings.ToLower(r.URL.RawPath)
	if p != clean || strings.Contains(escaped, "%2f") || strings.Contains(p, `\`) {
		return refuse(http.StatusBadRequest, errs.KindBadRequest, "the path is ambiguous", "send it without empty, dot or escaped-slash segments")
	}
	return nil
}

func (f *Frontend) setDeadline(req *dispatch.Request, r *http.Request, snap *world.Snapshot, arrived time.Time) error {
	value := r.Header.Get(f.conf.Protocol.Timeout)
	if value == "" {
		timeout := maxTimeout
		if view, ok := snap.Services[req.Service]; ok {
			timeout = time.Duration(view.Config.Timeout)
		}
		req.Deadline = arrived.Add(timeout)
		return nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
		return refuse(http.StatusBadRequest, errs.KindBadRequest, f.conf.Protocol.Timeout+" is not a number from 1 to 7200000", "send milliseconds in that range")
	}
	req.Deadline = arrived.Add(time.Duration(ms) * time.Millisecond)
	req.Explicit = true
	return nil
}

func refuse(status int, kind errs.Kind, message, remedy string) error {
	return &dispatch.Refusal{Outcome: dispatch.OutcomeNotRun, Status: status, Err: errs.New(kind, message, remedy)}
}
