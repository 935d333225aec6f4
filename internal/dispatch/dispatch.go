// Package dispatch implements the request path. An entry host forwards a request to an owner
// host of its service. The owner applies limits, claims the idempotency key, queues, picks a
// backend server, sends the request and validates the response. Every request ends either with
// its own complete response or with a Refusal that says whether it may have run.
package dispatch

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
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

// Config configures a Dispatcher.
type Config struct {
	// Forwarding sends requests to owner hosts. If false, every host picks backend servers
	// itself.
	Forwarding bool
	// PeerScheme is the URL scheme for owner hosts: http or https.
	PeerScheme string
	// Protocol defines the headers used with callers and backend servers.
	Protocol *protocol.Protocol
	// Regions maps each data centre to its region.
	Regions region.Map
	// BufferBytes is the largest response that is read completely before any of it is passed
	// to the caller, 0 for none. A larger value lets more truncated responses be retried, at
	// the cost of memory and time to first byte.
	BufferBytes int64
	// ReplayBytes is the size of the largest streamed request body that is kept while it is sent, so
	// that another attempt can send it again, 0 for none.
	ReplayBytes int64
	// BeforeWrite, if set, is called after the decision to send and before the check at the
	// first byte. Tests block in it to simulate a paused host.
	BeforeWrite func(*Request)
}

// Observer receives outcomes. Observe must not block.
type Observer interface {
	Observe(o *peerpb.Observation)
}

// Quarantine tracks, across all hosts, which requests crash the servers that run them.
type Quarantine interface {
	// Active reports whether any content is quarantined or suspected on this host. If not,
	// requests need not be checked.
	Active() bool
	// Check returns the quarantine for which a request must be refused now, or nil if it may
	// be sent. onTrial is set if it may be sent only once, to one server.
	Check(subject quarantine.Subject) (refused *quarantine.Quarantine, onTrial bool)
	// RecordCrash records that a server crashed while it was processing a request.
	RecordCrash(subject quarantine.Subject, service, server string)
	// RecordAnswer records that a server has answered a request completely.
	RecordAnswer(subject quarantine.Subject)
}

// Dispatcher serves requests. It is safe for concurrent use.
type Dispatcher struct {
	conf         Config
	snapshot     func() *world.Snapshot
	backends     *upstream.Transport
	liveness     *upstream.LivenessChecker
	owners       *upstream.Transport
	claims       *claims.Coordinator
	observer     Observer
	events       event.Recorder
	metrics      *metrics.Metrics
	balance      *balance.Table
	quarantine   Quarantine
	proto        *protocol.Protocol
	availability *availability.Table
	rateLimits   RateLimits
	memory       *memory.Budget
	crossZone    *upstream.Meter

	homes           homeViews
	relays          *relayTable
	requestLog      requestLog
	stateEventLimit *logging.LineLimiter

	mu       sync.Mutex
	services map[string]*serviceState
}

type serviceState struct {
	pool   *slots.Pool
	budget *retryBudget
}

// Dependencies are the dependencies of a Dispatcher.
type Dependencies struct {
	Snapshot func() *world.Snapshot
	Backends *upstream.Transport
	// Liveness checks servers whose connections have broken.
	Liveness *upstream.LivenessChecker
	Owners   *upstream.Transport
	Claims   *claims.Coordinator
	Observer Observer
	Events   event.Recorder
	Metrics  *metrics.Metrics
	// Balance picks servers if every host picks them itself; nil with owner hosts.
	Balance *balance.Table
	// Quarantine refuses requests that crash servers.
	Quarantine Quarantine
	// Availability holds the state that servers report in their responses.
	Availability *availability.Table
	// RateLimits enforces the rate limits that servers report.
	RateLimits RateLimits
	// Memory bounds the buffered request and response bodies.
	Memory *memory.Budget
	// CrossZone is told the bytes of connections to servers of other data centres; nil for none.
	CrossZone *upstream.Meter
}

// New returns a Dispatcher.
func New(conf Config, deps Dependencies) *Dispatcher {
	return &Dispatcher{
		conf:            conf,
		snapshot:        deps.Snapshot,
		backends:        deps.Backends,
		liveness:        deps.Liveness,
		owners:          deps.Owners,
		claims:          deps.Claims,
		observer:        deps.Observer,
		events:          deps.Events,
		metrics:         deps.Metrics,
		balance:         deps.Balance,
		quarantine:      deps.Quarantine,
		proto:           conf.Protocol,
		availability:    deps.Availability,
		rateLimits:      deps.RateLimits,
		memory:          deps.Memory,
		crossZone:       deps.CrossZone,
		stateEventLimit: logging.NewLineLimiter(stateEventsPerSecond),
		requestLog:      requestLog{limit: logging.NewLineLimiter(requestLinesPerSecond)},
		relays:          newRelayTable(),
		services:        make(map[string]*serviceState),
	}
}

func (d *Dispatcher) service(name string) *serviceState {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.services[name]
	if !ok {
		s = &serviceState{pool: slots.NewPool(), budget: newRetryBudget()}
		d.services[name] = s
	}
	return s
}

// Serve answers a request, or returns a *Refusal if nothing has been written to the caller. It
// panics with http.ErrAbortHandler to abort an incomplete response.
func (d *Dispatcher) Serve(w http.ResponseWriter, req *Request) error {
	snap := d.snapshot()
	view, ok := snap.Services[req.Service]
	if !ok {
		return serviceRemoved(req.Service)
	}
	x := &exchange{
		d:     d,
		w:     w,
		req:   req,
		snap:  snap,
		view:  d.viewFor(req, view),
		state: d.service(req.Service),
		start: time.Now(),

		routes: req.Routes,

		attemptsArrived: req.Arrived,
		written:         req.Arrived > 0,
		counted:         req.Counted,
	}
	ctx, stop := x.headerDeadline(req.in.Context())
	defer stop()
	returnMemory, refusal := d.bufferBody(req)
	defer returnMemory()
	if refusal != nil {
		return refusal
	}
	if refusal := x.refuseIfNoneInHome(view); refusal != nil {
		return refusal
	}
	if d.shouldForward(req, view, snap) {
		if done, err := x.forward(ctx); done {
			return err
		}
	}
	refusal = x.toRefusal(x.serveOwned(ctx))
	x.logRequest(refusal)
	if refusal == nil {
		return nil
	}
	return refusal
}

// bufferBody reads a small body into memory, prepares a larger one to be kept while it is sent, and
// returns a function that releases the memory of the latter. That of a small body is charged to the request by
// package clientlimit.
func (d *Dispatcher) bufferBody(req *Request) (returnMemory func(), refusal *Refusal) {
	returnMemory = req.body.record(d.conf.ReplayBytes, d.memory)
	err := req.body.buffer()
	switch {
	case err == nil:
		return returnMemory, nil
	case errors.Is(err, memory.ErrNoRoom):
		full := errs.Wrap(err, errs.KindHostMemory, "this host gave the request up for others before its body was complete", "repeat the request after the time in Retry-After, and send the body without pauses; add hosts")
		return returnMemory, refuseNotRun(full, DefaultRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded) && world.HasPassed(time.Now(), req.Deadline):
		late := errs.Wrap(err, errs.KindDeadline, "the request body was not complete before the deadline", "send the body without pauses, or allow more time")
		return returnMemory, &Refusal{Outcome: OutcomeNotRun, Status: http.StatusRequestTimeout, Err: late}
	default:
		return returnMemory, &Refusal{Outcome: OutcomeNotRun, Status: http.StatusBadRequest, Err: toTypedError(err)}
	}
}

// toRefusal converts an error to a refusal, nil for none. A request that may have run at an
// earlier owner host or backend server is never reported as not run.
func (x *exchange) toRefusal(err error) *Refusal {
	if err == nil {
		return nil
	}
	refusal, ok := err.(*Refusal)
	if !ok {
		return refuseUnknown(toTypedError(err))
	}
	if refusal.Outcome == OutcomeNotRun && x.written {
		return refuseUnknown(refusal.Err)
	}
	return refusal
}

// shouldForward reports whether to forward the request to an owner host. An owner that
// suspects its own network leaves the work to the other owners.
func (d *Dispatcher) shouldForward(req *Request, view *world.ServiceView, snap *world.Snapshot) bool {
	if !d.conf.Forwarding || req.ForwardedBy != "" || !req.Homes.Allows(d.conf.Regions, snap.Self.DataCentre) {
		return false // owner hosts are in this host's data centre
	}
	if view.SelfOwner {
		return snap.NetworkSuspect && len(view.Owners) > 0
	}
	return view.ActiveOwners > 0
}

func toTypedError(err error) *errs.Error {
	if typed, ok := err.(*errs.Error); ok {
		return typed
	}
	return errs.Wrap(err, errs.KindAnswerBroken, "request failed", "see the cause")
}

// shuffleOwners returns the owners with the active ones in random order, so that entry hosts
// spread their requests evenly. Standby owners come last.
func shuffleOwners(view *world.ServiceView) []world.OwnerView {
	order := slices.Clone(view.Owners)
	active := order[:view.ActiveOwners]
	rand.Shuffle(len(active), func(i, j int) { active[i], active[j] = active[j], active[i] })
	return order
}
