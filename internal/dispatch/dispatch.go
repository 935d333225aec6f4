// Package dispatch is the request path. An entry host forwards a request to an
// owner host of its service; the owner limits, claims, queues, picks a backend
// server, sends, and judges the answer. Every request ends in its own whole
// answer or in a truthful Refusal.
package dispatch

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/availability"
	"github.com/pearshelf/pearshelf/internal/balance"
	"github.com/pearshelf/pearshelf/internal/claims"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/logging"
	"github.com/pearshelf/pearshelf/internal/memory"
	"github.com/pearshelf/pearshelf/internal/metrics"
	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/internal/quarantine"
	"github.com/pearshelf/pearshelf/internal/region"
	"github.com/pearshelf/pearshelf/internal/slots"
	"github.com/pearshelf/pearshelf/internal/upstream"
	"github.com/pearshelf/pearshelf/internal/world"
)

// Config of a Dispatcher.
type Config struct {
	// Forwarding sends requests to owner hosts. Off, every host picks alone.
	Forwarding bool
	// PeerScheme is http or https, for owner hosts.
	PeerScheme string
	// Protocol is what callers and backend servers speak.
	Protocol *protocol.Protocol
	// Regions gives the region of each data centre.
	Regions region.Map
	// BufferBytes is the longest answer that is read whole before its caller
	// gets any of it, 0 for none. Larger mends more answers that break off and
	// costs memory and time to the first byte.
	BufferBytes int64
	// BeforeWrite, if set, is called after the decision to send and before the
	// last check. Tests hold it to freeze a host.
	BeforeWrite func(*Request)
}

// Observer takes outcomes without blocking.
type Observer interface {
	Observe(o *peerpb.Observation)
}

// Quarantine knows which requests end servers, over all hosts.
type Quarantine interface {
	// Active reports whether any content is in quarantine or under suspicion here. As long
	// as none is, requests need not be checked.
	Active() bool
	// Check returns the quarantine for which a request is refused now, nil if it may be
	// sent. onTrial is set if it may be sent once, to one server.
	Check(subject quarantine.Subject) (refused *quarantine.Quarantine, onTrial bool)
	// Ended takes that a server ended while it had a request.
	Ended(subject quarantine.Subject, service, server string)
	// Served takes that a server has answered a request whole.
	Served(subject quarantine.Subject)
}

// Dispatcher serves requests. It is safe for concurrent use.
type Dispatcher struct {
	conf       Config
	snapshot   func() *world.Snapshot
	backends   *upstream.Transport
	fates      *upstream.Fates
	owners     *upstream.Transport
	claims     *claims.Coordinator
	observer   Observer
	events     event.Recorder
	metrics    *metrics.Metrics
	balance    *balance.Table
	quarantine Quarantine
	marks      *protocol.Protocol
	servers    *availability.Table
	rateLimits RateLimits
	memory     *memory.Budget

	homes      homeViews
	requestLog requestLog
	stateLines *logging.Limit

	mu       sync.Mutex
	services map[string]*serviceState
}

type serviceState struct {
	pool   *slots.Pool
	budget *budget
}

// Parts are what a Dispatcher works with.
type Parts struct {
	Snapshot func() *world.Snapshot
	Backends *upstream.Transport
	Owners   *upstream.Transport
	Claims   *claims.Coordinator
	Observer Observer
	Events   event.Recorder
	Metrics  *metrics.Metrics
	// Balance picks servers where hosts pick directly, nil with owner hosts.
	Balance *balance.Table
	// Quarantine refuses requests that end servers.
	Quarantine Quarantine
	// Availability is what servers say of themselves.
	Availability *availability.Table
	// RateLimits keeps to the limits that servers name.
	RateLimits RateLimits
	// Memory bounds the bodies that are held.
	Memory *memory.Budget
}

// New returns a dispatcher.
func New(conf Config, parts Parts) *Dispatcher {
	return &Dispatcher{
		conf:       conf,
		snapshot:   parts.Snapshot,
		backends:   parts.Backends,
		fates:      upstream.NewFates(),
		owners:     parts.Owners,
		claims:     parts.Claims,
		observer:   parts.Observer,
		events:     parts.Events,
		metrics:    parts.Metrics,
		balance:    parts.Balance,
		quarantine: parts.Quarantine,
		marks:      conf.Protocol,
		servers:    parts.Availability,
		rateLimits: parts.RateLimits,
		memory:     parts.Memory,
		stateLines: logging.NewLimit(stateLinesPerSecond),
		requestLog: requestLog{limit: logging.NewLimit(linesPerSecond)},
		services:   make(map[string]*serviceState),
	}
}

func (d *Dispatcher) service(name string) *serviceState {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.services[name]
	if !ok {
		s = &serviceState{pool: slots.NewPool(), budget: newBudget()}
		d.services[name] = s
	}
	return s
}

// Serve answers a request or returns a *Refusal before anything was written to
// the caller. It panics with http.ErrAbortHandler to cut an answer short.
func (d *Dispatcher) Serve(w http.ResponseWriter, req *Request) error {
	snap := d.snapshot()
	view, ok := snap.Services[req.Service]
	if !ok {
		return notRun(errs.New(errs.KindNoRoute, "service "+req.Service+" is not configured here", "repeat the request; see config diff if it persists"), 0)
	}
	returnMemory, refusal := d.keepBody(req)
	defer returnMemory()
	if refusal != nil {
		return refusal
	}
	x := &exchange{
		d:     d,
		w:     w,
		req:   req,
		snap:  snap,
		view:  d.viewFor(req, view),
		state: d.service(req.Service),
		start: time.Now(),
	}
	if refusal := x.noServerInHome(view); refusal != nil {
		return refusal
	}
	ctx, stop := x.headerDeadline(req.in.Context())
	defer stop()
	if d.forwards(req, view, snap) {
		if done, err := x.forward(ctx); done {
			return err
		}
	}
	refusal = x.truthful(x.serveOwned(ctx))
	x.logRequest(refusal)
	if refusal == nil {
		return nil
	}
	return refusal
}

// keepBody reads a small body into memory and returns what gives the memory back.
func (d *Dispatcher) keepBody(req *Request) (returnMemory func(), refusal *Refusal) {
	size := req.body.keepBytes()
	if !d.memory.Take(size) {
		return func() {}, notRun(errs.New(errs.KindMemory, "this host holds as many bodies as its memory allows", "repeat the request after the time in Retry-After; add hosts"), defaultRetryAfter)
	}
	returnMemory = func() { d.memory.Return(size) }
	if err := req.body.keep(); err != nil {
		return returnMemory, &Refusal{Outcome: OutcomeNotRun, Status: http.StatusBadRequest, Err: asTyped(err)}
	}
	return returnMemory, nil
}

// truthful returns the refusal that an error is, nil for none. What may have run
// at an earlier owner host or backend server is not told as not run.
func (x *exchange) truthful(err error) *Refusal {
	if err == nil {
		return nil
	}
	refusal, ok := err.(*Refusal)
	if !ok {
		return unknown(asTyped(err))
	}
	if refusal.Outcome == OutcomeNotRun && x.written {
		return unknown(refusal.Err)
	}
	return refusal
}

// forwards reports whether an owner host should take the request. An owner
// whose own network looks faulty lets the other owners work.
func (d *Dispatcher) forwards(req *Request, view *world.ServiceView, snap *world.Snapshot) bool {
	if !d.conf.Forwarding || req.ForwardedBy != "" || !req.Homes.Allow(d.conf.Regions, snap.Self.DataCentre) {
		return false // owners are in this host's data centre
	}
	if view.SelfOwner {
		return snap.Distrust && len(view.Owners) > 0
	}
	return view.ActiveOwners > 0
}

func asTyped(err error) *errs.Error {
	if typed, ok := err.(*errs.Error); ok {
		return typed
	}
	return errs.Wrap(err, errs.KindBroken, "request failed", "see the cause")
}

// ownersInOrder starts at a random active owner, so that entry hosts spread
// their requests evenly; owners that stand by come last.
func ownersInOrder(view *world.ServiceView) []world.OwnerView {
	order := slices.Clone(view.Owners)
	active := order[:view.ActiveOwners]
	rand.Shuffle(len(active), func(i, j int) { active[i], active[j] = active[j], active[i] })
	return order
}
