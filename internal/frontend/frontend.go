// Package frontend is the callers' side of a host, and the side on which other
// hosts hand over requests. It checks a request, finds its route and turns
// every refusal into a problem document (RFC 9457) with an outcome.
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

	// startPatience is how long a request that comes before the configuration
	// may wait for it: a host that has just started reads it in some 300 ms.
	startPatience = 500 * time.Millisecond
)

// Dispatcher serves requests.
type Dispatcher interface {
	Serve(w http.ResponseWriter, req *dispatch.Request) error
	// Refused notes a request that was refused before Serve.
	Refused(req *dispatch.Request, refusal *dispatch.Refusal)
}

// Limiter bounds what customers ask of all hosts together.
type Limiter interface {
	// Allow takes one request of a customer off its limit. If the limit is reached it
	// returns false and when the request may come back.
	Allow(ctx context.Context, name string, limit customer.Limit) (ok bool, retryAfter time.Duration)
}

// Config of a Frontend.
type Config struct {
	// Limiter bounds customers.
	Limiter Limiter
	// Protocol is what callers speak.
	Protocol *protocol.Protocol
	// WhenReady is closed once the first configuration is in force.
	WhenReady <-chan struct{}
	// ReadyApart is set where the balancer has a listener of its own.
	ReadyApart bool
	// BodyIdleTimeout ends a request whose body stands still, either way.
	BodyIdleTimeout time.Duration
}

// Frontend makes the handlers.
type Frontend struct {
	conf       Config
	snapshot   func() *world.Snapshot
	dispatcher Dispatcher
	metrics    *metrics.Metrics
}

// New returns a frontend.
func New(conf Config, snapshot func() *world.Snapshot, dispatcher Dispatcher, m *metrics.Metrics) *Frontend {
	return &Frontend{conf: conf, snapshot: snapshot, dispatcher: dispatcher, metrics: m}
}

// handler is an http.HandlerFunc that may return a refusal.
type handler func(w http.ResponseWriter, r *http.Request, id string) error

// CallerHandler serves callers.
func (f *Frontend) CallerHandler() http.Handler {
	router := chi.NewRouter()
	if !f.conf.ReadyApart {
		router.Get(f.conf.Protocol.ReadyPath, f.ready)
	}
	wrapped := f.wrap(f.serveCaller)
	serve := func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del(dispatch.HeaderForwardedBy) // a caller must not pass for a host
		wrapped(w, r)
	}
	router.NotFound(serve)
	router.MethodNotAllowed(serve)
	return router
}

// ReadyHandler answers the balancer on a listener of its own.
func (f *Frontend) ReadyHandler() http.Handler {
	router := chi.NewRouter()
	router.Get(f.conf.Protocol.ReadyPath, f.ready)
	return router
}

// ForwardHandler serves requests that other hosts hand over.
func (f *Frontend) ForwardHandler() http.Handler { return f.wrap(f.serveForwarded) }

// IsForwarded reports whether a request on the peer listener was handed over.
func IsForwarded(r *http.Request) bool { return r.Header.Get(dispatch.HeaderForwardedBy) != "" }

func (f *Frontend) ready(w http.ResponseWriter, _ *http.Request) {
	snap := f.snapshot()
	if !snap.Ready || snap.Leaving {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n") // the balancer asks again
}

func (f *Frontend) wrap(serve handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		if r.ProtoMajor == 1 && dispatch.IsStreamed(r) {
			// The server cannot use the connection again if the body was not read
			// to its end before the answer.
			_ = control.EnableFullDuplex() // without it, the body goes first
			w.Header().Set("Connection", "close")
		}
		guarded := &idleWriter{ResponseWriter: w, control: control, idle: f.conf.BodyIdleTimeout}
		r.Body = &idleReader{ReadCloser: r.Body, control: control, idle: f.conf.BodyIdleTimeout}
		if f.snapshot().Leaving && r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
		id := f.requestID(r)
		if err := serve(guarded, r, id); err != nil {
			f.writeRefusal(w, r, id, err)
		}
	}
}

// requestID keeps the ID that the entry host gave, and gives one on it.
func (f *Frontend) requestID(r *http.Request) string {
	if IsForwarded(r) {
		return r.Header.Get(protocol.HeaderRequestID)
	}
	if f.conf.Protocol.CallerNamesRequests {
		if id := r.Header.Get(f.conf.Protocol.RequestID); id != "" {
			return id
		}
	}
	return ulid.Make().String()
}

func (f *Frontend) serveCaller(w http.ResponseWriter, r *http.Request, id string) error {
	snap := f.awaitReady(r.Context())
	if !snap.Ready {
		return refuse(http.StatusServiceUnavailable, errs.KindNotConfigured, "this host has no configuration yet", "repeat the request; the balancer should ask "+f.conf.Protocol.ReadyPath)
	}
	if err := checkPath(r); err != nil {
		return err
	}
	match, ok := snap.Routes.Lookup(hostName(r), r.Method, r.URL.Path)
	if !ok {
		return refuse(http.StatusNotFound, errs.KindNoRoute, "no route for "+r.Method+" "+r.URL.Path, "check the path; show routes lists what is served")
	}
	req := dispatch.NewRequest(r)
	req.ID = id
	req.Service = match.Service
	req.Idempotent = match.Idempotent
	req.Attempts = match.Attempts
	req.Group = match.Group
	req.Objective = match.Objective
	req.Priority = match.Priority
	req.Homes = match.Homes
	req.Key = r.Header.Get(dispatch.HeaderIdempotencyKey)
	req.Session = r.Header.Get(dispatch.HeaderSession)
	holder, err := f.identify(req, r, snap, match)
	if err != nil {
		return err
	}
	if req.Session == "" && f.conf.Protocol.Sessions {
		req.Session = ulid.Make().String()
	}
	if len(req.Key) > maxIdempotencyKey || len(req.Session) > maxSession {
		return refuse(http.StatusBadRequest, errs.KindBadRequest, "Idempotency-Key or Pearshelf-Session is longer than 256 bytes", "send a shorter value")
	}
	if err := f.setDeadline(req, r, snap); err != nil {
		return err
	}
	req.Bound(match.Timeout)
	if err := f.limit(r.Context(), req, holder); err != nil {
		return err
	}
	return f.dispatch(w, req)
}

// awaitReady returns the newest view, after a short wait if there is no
// configuration yet.
func (f *Frontend) awaitReady(ctx context.Context) *world.Snapshot {
	snap := f.snapshot()
	if snap.Ready {
		return snap
	}
	timer := time.NewTimer(startPatience)
	defer timer.Stop()
	select {
	case <-f.conf.WhenReady:
	case <-timer.C:
	case <-ctx.Done():
	}
	return f.snapshot()
}

func (f *Frontend) serveForwarded(w http.ResponseWriter, r *http.Request, id string) error {
	snap := f.snapshot()
	req := dispatch.NewRequest(r)
	req.ID = id
	req.Service = r.Header.Get(dispatch.HeaderService)
	req.Idempotent = r.Header.Get(dispatch.HeaderIdempotent) == "true" && f.idempotentHere(snap, r, req.Service)
	req.Key = r.Header.Get(dispatch.HeaderIdempotencyKey)
	req.Session = r.Header.Get(dispatch.HeaderSession)
	req.Customer = r.Header.Get(protocol.HeaderCustomer)
	req.ForwardedBy = r.Header.Get(dispatch.HeaderForwardedBy)
	req.Homes = homesHere(snap, r, req)
	left, err := strconv.ParseInt(r.Header.Get(protocol.HeaderDeadline), 10, 64)
	if err != nil || req.Service == "" || id == "" {
		return refuse(http.StatusBadRequest, errs.KindBadRequest, "forwarded request lacks a header", "run one version of the daemon on all hosts")
	}
	req.Deadline = time.Now().Add(time.Duration(left) * time.Millisecond)
	req.Explicit = r.Header.Get(dispatch.HeaderTimeout) != ""
	return f.dispatch(w, req)
}

// idempotentHere holds a request for non-idempotent if this host's own
// configuration says so: of two opinions the careful one counts.
func (f *Frontend) idempotentHere(snap *world.Snapshot, r *http.Request, service string) bool {
	match, ok := snap.Routes.Lookup(hostName(r), r.Method, r.URL.Path)
	return !ok || match.Service != service || match.Idempotent
}

// homesHere returns the homes of a forwarded request by this host's own configuration.
func homesHere(snap *world.Snapshot, r *http.Request, req *dispatch.Request) region.Homes {
	match, _ := snap.Routes.Lookup(hostName(r), r.Method, r.URL.Path)
	homes := match.Homes
	if holder := snap.Customers.Named(req.Customer); holder != nil {
		homes = homes.And(holder.Homes)
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

// checkPath refuses paths that a backend server could read differently from
// the route table.
func checkPath(r *http.Request) error {
	p := r.URL.Path
	clean := path.Clean(p)
	if strings.HasSuffix(p, "/") && clean != "/" {
		clean += "/"
	}
	escaped := strings.ToLower(r.URL.RawPath)
	if p != clean || strings.Contains(escaped, "%2f") || strings.Contains(escaped, "%5c") {
		return refuse(http.StatusBadRequest, errs.KindBadRequest, "the path is ambiguous", "send it without empty, dot or escaped-slash segments")
	}
	return nil
}

func (f *Frontend) setDeadline(req *dispatch.Request, r *http.Request, snap *world.Snapshot) error {
	value := r.Header.Get(f.conf.Protocol.Timeout)
	if value == "" {
		timeout := maxTimeout
		if view, ok := snap.Services[req.Service]; ok {
			timeout = time.Duration(view.Config.Timeout)
		}
		req.Deadline = time.Now().Add(timeout)
		return nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
		return refuse(http.StatusBadRequest, errs.KindBadRequest, f.conf.Protocol.Timeout+" is not a number from 1 to 7200000", "send milliseconds in that range")
	}
	req.Deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	req.Explicit = true
	return nil
}

func hostName(r *http.Request) string {
	host, _, found := strings.Cut(r.Host, ":")
	if found && strings.HasPrefix(r.Host, "[") {
		return r.Host
	}
	return host
}

func refuse(status int, kind errs.Kind, message, remedy string) error {
	return &dispatch.Refusal{Outcome: dispatch.OutcomeNotRun, Status: status, Err: errs.New(kind, message, remedy)}
}
