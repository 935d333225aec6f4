package replay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/policy"
	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/internal/world"
)

// tellAfter is how long a host gathers what it tells others, as the daemon does.
const tellAfter = 2 * time.Millisecond

// host runs the policy as the daemon does, in simulated time.
type host struct {
	name       string
	dataCentre int
	fleet      *fleet
	table      *policy.Table
	telling    bool
	cuttable   bool // one of those that a cut takes
}

func newHost(f *fleet, number int, conf policy.Config) *host {
	h := &host{name: fmt.Sprint("h", number), dataCentre: number % f.pattern.DataCentres, fleet: f}
	h.cuttable = f.random.Float64() < f.pattern.Network.Cut.Share
	conf.Random = rand.New(rand.NewPCG(f.seed, uint64(number)+1000))
	h.table = policy.NewTable(epoch.Add(-hostAge), conf)
	return h
}

// hostAge is how old hosts are when traffic starts, beyond any window of theirs.
const hostAge = time.Minute

// tell tells other hosts what changed, a little later.
func (h *host) tell() {
	if h.telling {
		return
	}
	h.telling = true
	h.fleet.clock.after(tellAfter, func() {
		h.telling = false
		near, failing := h.table.Changes(h.fleet.clock.time())
		for _, other := range h.fleet.hosts {
			loads, isNear := failing, false
			if other.dataCentre == h.dataCentre {
				loads, isNear = near, true
			}
			if other == h || len(loads) == 0 || h.isCut() || other.isCut() || h.fleet.random.Float64() < h.fleet.pattern.Network.Loss {
				continue
			}
			h.fleet.clock.after(h.fleet.delay(h.dataCentre, other.dataCentre), func() {
				other.table.Report(h.fleet.clock.time(), h.name, 1, loads, isNear)
			})
		}
	})
}

// isCut reports whether the host hears of no other now.
func (h *host) isCut() bool {
	cut := h.fleet.pattern.Network.Cut
	now := h.fleet.clock.now
	return h.cuttable && now >= time.Duration(cut.From) && now < time.Duration(cut.From+cut.For)
}

func (h *host) refresh() {
	if h.table.Refresh(h.fleet.clock.time()) {
		h.tell()
	}
	h.fleet.clock.after(policy.RefreshEvery, h.refresh)
}

// request is a caller's request on its way, as dispatch keeps it.
type request struct {
	host    *host
	route   *Route
	asked   time.Duration
	tried   []string
	ran     int
	arrived int
	flights []*flight
	expiry  *timer
	over    bool
	copies  int
	returns int // how often the caller has come back
}

// flight is one send of a request.
type flight struct {
	request   *request
	placement *policy.Placement
	server    *server
	job       *job
	sent      time.Duration
}

// serve takes a request from a caller.
func (h *host) serve(route *Route) {
	r := &request{host: h, route: route, asked: h.fleet.clock.now}
	r.expiry = h.fleet.clock.after(time.Duration(route.Timeout), r.expire)
	r.place()
}

func (r *request) deadline() time.Duration { return r.asked + time.Duration(r.route.Timeout) }

func (r *request) policyRequest() policy.Request {
	f := r.host.fleet
	waiting := len(r.flights)
	return policy.Request{
		Service:    r.route.Service,
		Idempotent: r.route.Idempotent,
		DataCentre: dataCentreName(r.host.dataCentre),
		Objective:  time.Duration(r.route.Objective),
		Group:      r.route.Name,
		First:      r.arrived == 0 && waiting == 0,
		Repeat:     r.arrived > 0 || waiting > 0,
		Last:       r.ran+waiting+1 >= r.attempts(),
		Fleet:      policy.Fleet{Near: f.pattern.Hosts / f.pattern.DataCentres, All: f.pattern.Hosts},
		Exclude:    r.tried,
		Priority:   r.route.Priority,
		Asked:      epoch.Add(r.asked),
		Deadline:   epoch.Add(r.deadline()),
	}
}

func (r *request) attempts() int { return max(r.route.Attempts, 1) }

// place sends the request to the server that the policy picks.
func (r *request) place() {
	f := r.host.fleet
	placement, err := r.host.table.Pick(f.clock.time(), f.views[r.route.Service], r.policyRequest())
	if err != nil {
		if len(r.flights) == 0 {
			r.refuse(errs.KindOf(err))
		}
		return
	}
	r.send(placement)
	if len(r.flights) == 1 {
		r.review(r.flights[0])
	}
}

func (r *request) send(placement *policy.Placement) {
	f := r.host.fleet
	fl := &flight{request: r, placement: placement, server: f.servers[placement.Server.ID], sent: f.clock.now}
	fl.job = &job{route: r.route, deadline: r.deadline()}
	delay := f.delay(r.host.dataCentre, fl.server.dataCentre)
	fl.job.done = func(result reply) { f.clock.after(delay, func() { r.answered(fl, result) }) }
	r.flights = append(r.flights, fl)
	f.clock.after(delay, func() {
		if !fl.job.over {
			fl.server.take(fl.job)
		}
	})
	r.host.tell()
}

// review asks the policy whether the request should have a second copy.
func (r *request) review(first *flight) {
	f := r.host.fleet
	if !r.route.Idempotent || r.ran+2 > r.attempts() || r.over || len(r.flights) != 1 || r.flights[0] != first {
		return
	}
	view := f.views[r.route.Service]
	req := r.policyRequest()
	req.Exclude = append(slices.Clone(r.tried), first.placement.Server.ID)
	copyNow, after := r.host.table.Review(f.clock.time(), view, req, first.placement)
	switch {
	case copyNow:
		if placement, err := r.host.table.Pick(f.clock.time(), view, req); err == nil {
			r.copies++
			r.send(placement)
		}
	case after > 0:
		f.clock.after(after, func() { r.review(first) })
	}
}

// answered takes what a server made of the request.
func (r *request) answered(fl *flight, result reply) {
	i := slices.Index(r.flights, fl)
	if i < 0 {
		return // given up meanwhile
	}
	r.flights = slices.Delete(r.flights, i, i+1)
	r.arrived++
	took := r.host.fleet.clock.now - fl.sent
	load := &protocol.Load{Running: fl.server.running, Waiting: len(fl.server.queue)}
	switch result {
	case replyGood:
		r.ran++
		r.finish(fl, policy.Done{Outcome: policy.Good, FirstByte: took, Load: load})
		r.end(served)
	case replyError:
		r.ran++
		r.tried = append(r.tried, fl.server.id)
		r.finish(fl, policy.Done{Outcome: policy.Failed, FirstByte: took, Load: load})
		r.again(failed)
	case replyShed:
		r.tried = append(r.tried, fl.server.id)
		r.finish(fl, policy.Done{Outcome: policy.Shed, Load: load})
		r.again(refused)
	}
}

// again sends the request to another server if that is allowed.
func (r *request) again(otherwise outcome) {
	if len(r.flights) > 0 {
		return // its copy goes on
	}
	if r.ran > 0 {
		otherwise = failed
	}
	mayRun := r.route.Idempotent || r.ran == 0
	f := r.host.fleet
	if !mayRun || r.ran >= r.attempts() || !r.host.table.AllowRetry(f.clock.time(), r.route.Service, r.policyRequest().Fleet) {
		r.end(otherwise)
		return
	}
	r.place()
}

// expire ends the request when its time is over.
func (r *request) expire() {
	if r.over {
		return
	}
	for _, fl := range r.flights {
		fl.server.cancel(fl.job)
		r.finish(fl, policy.Done{Outcome: policy.Failed, TimedOut: true, Took: r.host.fleet.clock.now - fl.sent})
	}
	r.flights = nil
	r.end(failed)
}

func (r *request) refuse(kind errs.Kind) {
	if r.ran > 0 {
		r.end(failed)
		return
	}
	f := r.host.fleet
	f.result.reasons[string(kind)]++
	after := r.host.table.RetryAfter(r.route.Service)
	if r.returns < r.route.Returns && f.clock.now+after < r.deadline() {
		r.returns++
		f.clock.after(after, r.comeBack)
		return
	}
	r.end(refused)
}

// comeBack is the caller's next try, at another host.
func (r *request) comeBack() {
	if r.over {
		return
	}
	r.host = r.host.fleet.anyHost()
	r.place()
}

// end notes what the caller got, and gives up what is still under way.
func (r *request) end(o outcome) {
	r.over = true
	r.expiry.stopped = true
	for _, fl := range r.flights {
		fl.server.cancel(fl.job)
		r.finish(fl, policy.Done{Outcome: policy.Abandoned, Took: r.host.fleet.clock.now - fl.sent})
	}
	r.flights = nil
	r.host.fleet.result.note(r, o)
}

func (r *request) finish(fl *flight, done policy.Done) {
	r.host.table.Finish(r.host.fleet.clock.time(), fl.placement, done)
	r.host.tell()
}

func dataCentreName(n int) string { return fmt.Sprint("dc", n) }

func backendView(s *server) world.BackendView {
	return world.BackendView{ID: s.id, DataCentre: dataCentreName(s.dataCentre), Slots: s.service.Slots, Weight: 1}
}
