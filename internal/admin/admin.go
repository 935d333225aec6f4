// Package admin is the operators' side of a host: it answers queries from the
// tables, takes commands as directives, and asks the other hosts where an
// answer concerns the whole fleet.
package admin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/pearshelf/pearshelf/internal/api/adminpb"
	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/availability"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/hlc"
	"github.com/pearshelf/pearshelf/internal/quota"
	"github.com/pearshelf/pearshelf/internal/register"
	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	// askTimeout bounds one call to another host.
	askTimeout = 2 * time.Second
	// askAtOnce bounds the calls to other hosts at one time.
	askAtOnce = 32
)

// Engine is the control loop as the operators' side needs it.
type Engine interface {
	Do(ctx context.Context, read func(w *world.World, now time.Time)) error
	Write(now time.Time, r *peerpb.Register)
	// Announce writes and tells all hosts at once.
	Announce(now time.Time, r *peerpb.Register)
}

// Clients makes clients of other hosts.
type Clients interface {
	Admin(address string) adminpb.Admin
}

// Limits tells what this host knows of limits, of customers or of backend servers.
type Limits interface {
	Limits() []quota.CustomerStatus
}

// Parts are what a Server answers from.
type Parts struct {
	Self    string // name of this host
	Engine  Engine
	Events  *event.Log
	Clients Clients
	// Limits are customers', RateLimits those that backend servers name.
	Limits     Limits
	RateLimits Limits
	// Availability is what servers say of themselves.
	Availability *availability.Table
}

// Server implements adminpb.Admin.
type Server struct {
	self       string
	engine     Engine
	events     *event.Log
	clients    Clients
	limits     Limits
	rateLimits Limits
	servers    *availability.Table
}

// NewServer returns the operators' service of a host.
func NewServer(parts Parts) *Server {
	return &Server{
		self:       parts.Self,
		engine:     parts.Engine,
		events:     parts.Events,
		clients:    parts.Clients,
		limits:     parts.Limits,
		rateLimits: parts.RateLimits,
		servers:    parts.Availability,
	}
}

// twirpError keeps kind, message and remedy on the way to the tool.
func twirpError(err error) error {
	if err == nil {
		return nil
	}
	code := twirp.Internal
	switch errs.KindOf(err) {
	case errs.KindStatement:
		code = twirp.InvalidArgument
	case errs.KindNotFound:
		code = twirp.NotFound
	case errs.KindConflict:
		code = twirp.Aborted
	case errs.KindFloor:
		code = twirp.FailedPrecondition
	}
	return twirp.NewError(code, err.Error()).WithMeta("kind", string(errs.KindOf(err)))
}

// remote is another host to ask.
type remote struct {
	name    string
	address string
	live    bool
}

func (s *Server) remotes(ctx context.Context) ([]remote, error) {
	var found []remote
	err := s.engine.Do(ctx, func(w *world.World, _ time.Time) {
		for _, name := range w.HostNames() {
			h := w.Hosts[name]
			if name != s.self && h.Liveness != peerpb.Liveness_LIVENESS_LEFT {
				found = append(found, remote{name: name, address: h.Address, live: h.Live()})
			}
		}
	})
	return found, err
}

// askAll calls ask for every other host, a bounded number at a time.
func (s *Server) askAll(ctx context.Context, ask func(ctx context.Context, r remote)) error {
	remotes, err := s.remotes(ctx)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	tokens := make(chan struct{}, askAtOnce)
	for _, r := range remotes {
		tokens <- struct{}{}
		wg.Go(func() {
			defer func() { <-tokens }()
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			ask(ctx, r)
		})
	}
	wg.Wait()
	return nil
}

// Confirm asks every host whether it holds a write.
func (s *Server) Confirm(ctx context.Context, req *adminpb.ConfirmRequest) (*adminpb.ConfirmResponse, error) {
	own, err := s.Holds(ctx, &adminpb.HoldsRequest{Ticket: req.Ticket})
	if err != nil {
		return nil, err
	}
	resp := &adminpb.ConfirmResponse{Hosts: []*adminpb.HostConfirmation{own.Confirmation}}
	var mu sync.Mutex
	err = s.askAll(ctx, func(ctx context.Context, r remote) {
		confirmation := &adminpb.HostConfirmation{Host: r.name, State: adminpb.HostConfirmation_STATE_UNREACHABLE}
		held, err := s.clients.Admin(r.address).Holds(ctx, &adminpb.HoldsRequest{Ticket: req.Ticket})
		if err == nil {
			confirmation = held.Confirmation
		}
		mu.Lock()
		defer mu.Unlock()
		resp.Hosts = append(resp.Hosts, confirmation)
	})
	slices.SortFunc(resp.Hosts, func(a, b *adminpb.HostConfirmation) int { return compareNames(a.Host, b.Host) })
	return resp, twirpError(err)
}

// Holds says whether this host holds a write.
func (s *Server) Holds(ctx context.Context, req *adminpb.HoldsRequest) (*adminpb.HoldsResponse, error) {
	confirmation := &adminpb.HostConfirmation{Host: s.self}
	want := stampOf(req.Ticket)
	err := s.engine.Do(ctx, func(w *world.World, _ time.Time) {
		held := w.Registers.Stamp(req.Ticket.GetKey())
		switch order := register.Compare(held, want); {
		case held == nil || order < 0:
			confirmation.State = adminpb.HostConfirmation_STATE_MISSING
		case order > 0:
			confirmation.State = adminpb.HostConfirmation_STATE_SUPERSEDED
			confirmation.Detail = "a later write came from " + held.Host
		default:
			confirmation.State = adminpb.HostConfirmation_STATE_CONFIRMED
		}
	})
	return &adminpb.HoldsResponse{Confirmation: confirmation}, twirpError(err)
}

func stampOf(t *adminpb.Ticket) *peerpb.Stamp {
	return &peerpb.Stamp{Revision: t.GetRevision(), Clock: t.GetClock(), Host: t.GetHost()}
}

// Timeline returns events, of this host or merged over all.
func (s *Server) Timeline(ctx context.Context, req *adminpb.TimelineRequest) (*adminpb.TimelineResponse, error) {
	resp := &adminpb.TimelineResponse{}
	since := time.Now().Add(-time.Duration(req.SinceMs) * time.Millisecond)
	for _, e := range s.events.Since(since) {
		if req.Service == "" || e.Service == req.Service {
			resp.Events = append(resp.Events, eventMessage(e))
		}
	}
	if req.Local {
		return resp, nil
	}
	if err := s.mergeTimelines(ctx, req, resp); err != nil {
		return nil, twirpError(err)
	}
	return resp, nil
}

func (s *Server) mergeTimelines(ctx context.Context, req *adminpb.TimelineRequest, resp *adminpb.TimelineResponse) error {
	var mu sync.Mutex
	err := s.askAll(ctx, func(ctx context.Context, r remote) {
		part, err := s.clients.Admin(r.address).Timeline(ctx, &adminpb.TimelineRequest{
			SinceMs: req.SinceMs,
			Local:   true,
			Service: req.Service,
		})
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			resp.Unreachable = append(resp.Unreachable, r.name)
			return
		}
		resp.Events = append(resp.Events, part.Events...)
	})
	slices.SortStableFunc(resp.Events, compareEvents)
	slices.Sort(resp.Unreachable)
	return err
}

func compareEvents(a, b *adminpb.Event) int {
	return event.Compare(
		event.Event{Clock: hlc.Timestamp(a.Clock), Host: a.Host, Number: event.Number(a.Number)},
		event.Event{Clock: hlc.Timestamp(b.Clock), Host: b.Host, Number: event.Number(b.Number)},
	)
}

func eventMessage(e event.Event) *adminpb.Event {
	return &adminpb.Event{
		Number:  uint32(e.Number),
		Name:    e.Number.String(),
		Host:    e.Host,
		Clock:   uint64(e.Clock),
		Service: e.Service,
		Backend: e.Backend,
		Detail:  e.Detail,
	}
}

// ConfigStatus returns the revisions in force, of this host or of all.
func (s *Server) ConfigStatus(ctx context.Context, req *adminpb.ConfigStatusRequest) (*adminpb.ConfigStatusResponse, error) {
	own := &adminpb.HostConfig{Host: s.self, Reachable: true, Revisions: make(map[string]uint64)}
	err := s.engine.Do(ctx, func(w *world.World, _ time.Time) {
		for key, doc := range w.Documents {
			own.Revisions[key] = doc.Revision
			if doc.RefusedReason != "" {
				own.LastError = key + ": " + doc.RefusedReason
			}
		}
	})
	if err != nil {
		return nil, twirpError(err)
	}
	resp := &adminpb.ConfigStatusResponse{Hosts: []*adminpb.HostConfig{own}}
	if req.Local {
		return resp, nil
	}
	var mu sync.Mutex
	err = s.askAll(ctx, func(ctx context.Context, r remote) {
		row := &adminpb.HostConfig{Host: r.name}
		part, err := s.clients.Admin(r.address).ConfigStatus(ctx, &adminpb.ConfigStatusRequest{Local: true})
		if err == nil && len(part.Hosts) == 1 {
			row = part.Hosts[0]
		}
		mu.Lock()
		defer mu.Unlock()
		resp.Hosts = append(resp.Hosts, row)
	})
	slices.SortFunc(resp.Hosts, func(a, b *adminpb.HostConfig) int { return compareNames(a.Host, b.Host) })
	return resp, twirpError(err)
}

func compareNames(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// Interface guard.
var _ adminpb.Admin = (*Server)(nil)
