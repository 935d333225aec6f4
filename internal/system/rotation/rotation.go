// Package rotation decides which backend servers a host uses. Verdicts, drains
// and local avoidance take servers out in one deterministic order and only
// while the service's capacity stays at its floor.
package rotation

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/directive"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/register"
	"github.com/pearshelf/pearshelf/internal/verdict"
	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	// SlowStart is the time in which a returned or new server comes to its
	// full share.
	SlowStart = 10 * time.Second
	// TrialRequests good idempotent requests, or TrialTime, end the trial.
	TrialRequests = 5
	TrialTime     = 5 * time.Second

	trialWeight     = 0.1
	lastWeight      = 0.05 // kept only for the floor
	suspectWeight   = 0.3
	fullWeight      = 1.0
	reasonLeaving   = "leaving"
	reasonEvacuated = "evacuated"
	reasonDrained   = "drained"
	reasonEjected   = "ejected"
	reasonPath      = "path-fault"
	reasonFloor     = "kept-for-floor"
	reasonTrial     = "trial"
	reasonSlow      = "slow-start"
	reasonSuspect   = "suspect"
)

// System is the rotation step.
type System struct{}

// Run recomputes the services that changed or change with time.
func (System) Run(w *world.World, now time.Time) {
	for _, svc := range w.Services {
		if svc.Dirty || svc.Busy {
			rotate(w, now, svc)
		}
	}
}

// plan is one service's rotation in the making.
type plan struct {
	w     *world.World
	now   time.Time
	svc   *world.Service
	floor int
	// next are the rotations of servers other than full: nearly all are in full rotation.
	next  map[*world.BackendServer]world.Rotation
	in    int // servers in rotation
	whole int // of these, open to non-idempotent requests
}

func rotate(w *world.World, now time.Time, svc *world.Service) {
	p := &plan{
		w:     w,
		now:   now,
		svc:   svc,
		floor: Floor(w, svc),
		next:  make(map[*world.BackendServer]world.Rotation),
	}
	tallies := verdict.Count(w, svc.Config.Name)
	for _, b := range svc.Backends {
		p.advance(b, tallies[b.Config.ID])
	}
	p.admit()
	p.removeDrained()
	p.removeEjected(tallies)
	p.removePathFaults()
	p.restrict()
	p.apply()
}

// Floor returns the floor in force: the published one, or an operator's as
// long as the published value is the one it replaced.
func Floor(w *world.World, svc *world.Service) int {
	floor := svc.Config.Floor
	if set, ok := directive.Floor(w.Registers, svc.Config.Name, floor); ok {
		floor = set
	}
	return min(floor, len(svc.Backends))
}

// advance moves a server's state with the votes and the time.
func (p *plan) advance(b *world.BackendServer, tally verdict.Tally) {
	ejected := tally.Votes >= verdict.Majority(p.svc) && tally.Votes > 0
	name := p.svc.Config.Name
	switch {
	case ejected && b.State != world.BackendEjected:
		p.set(b, world.BackendEjected)
		b.Detection.Relapses = max(b.Detection.Relapses, tally.Relapses)
		p.w.Record(p.now, event.BackendEjected, name, b.Config.ID, fmt.Sprintf("%d votes", tally.Votes))
	case !ejected && b.State == world.BackendEjected:
		p.set(b, world.BackendTrial)
		b.Detection.TrialGood = 0
		b.Detection.ReturnedAt = p.now
		p.w.Record(p.now, event.BackendReturned, name, b.Config.ID, "trial, then slow start")
	case b.State == world.BackendTrial && p.now.Sub(b.Since) >= TrialTime+SlowStart:
		p.set(b, world.BackendHealthy)
	}
}

func (p *plan) set(b *world.BackendServer, state world.BackendState) {
	b.State = state
	b.Since = p.now
	p.svc.Busy = true
}

// admit takes in every server but those that the platform marks as leaving, or whose data
// centre it evacuates. They must get nothing, so they are no capacity that a floor could keep.
func (p *plan) admit() {
	for _, b := range p.svc.Backends {
		switch {
		case b.Config.Leaving:
			p.next[b] = world.Rotation{Reason: reasonLeaving}
		case slices.Contains(p.w.Evacuated, b.Config.DataCentre):
			p.next[b] = world.Rotation{Reason: reasonEvacuated}
		default:
			p.in++
		}
	}
	p.whole = p.in
}

// of returns the rotation that a server is to have.
func (p *plan) of(b *world.BackendServer) world.Rotation {
	if next, ok := p.next[b]; ok {
		return next
	}
	return world.Rotation{In: true, Weight: fullWeight}
}

// remove takes a server out while more than least stay, and reports whether it is out.
func (p *plan) remove(b *world.BackendServer, reason string, least int) bool {
	if !p.of(b).In {
		return true
	}
	if p.in <= least {
		return false
	}
	p.next[b] = world.Rotation{Reason: reason}
	p.in--
	p.whole--
	return true
}

func (p *plan) removeDrained() {
	for _, drain := range directive.Drains(p.w.Registers, p.svc.Config.Name) {
		if b := p.svc.Backend(drain.Backend); b != nil {
			p.removeOrKeep(b, reasonDrained, p.floor)
		}
	}
}

func (p *plan) removeEjected(tallies map[string]verdict.Tally) {
	var ejected []*world.BackendServer
	for _, b := range p.svc.Backends {
		if b.State == world.BackendEjected {
			ejected = append(ejected, b)
		}
	}
	slices.SortFunc(ejected, func(a, b *world.BackendServer) int {
		return cmp.Or(
			register.Compare(first(tallies, a), first(tallies, b)),
			cmp.Compare(a.Config.ID, b.Config.ID),
		)
	})
	for _, b := range ejected {
		p.removeOrKeep(b, reasonEjected, p.floor)
	}
}

func first(tallies map[string]verdict.Tally, b *world.BackendServer) *peerpb.Stamp {
	return tallies[b.Config.ID].First
}

// removeOrKeep removes a server while more than least stay, or keeps it as a last choice.
func (p *plan) removeOrKeep(b *world.BackendServer, reason string, least int) {
	if p.remove(b, reason, least) {
		return
	}
	p.next[b] = world.Rotation{In: true, Weight: lastWeight, Reason: reasonFloor}
}

// removePathFaults takes out what fails from this host only, while half of the servers
// stay: a host that sees nearly all of them fail has seen a request that ends them, one after
// the other, or its own network, and would refuse all requests.
func (p *plan) removePathFaults() {
	stays := max(p.floor, (len(p.svc.Backends)+1)/2)
	for _, b := range p.svc.Backends {
		if b.Detection.PathFault {
			p.removeOrKeep(b, reasonPath, stays)
		}
	}
}

// restrict keeps non-idempotent requests away from suspects and servers on
// trial, worst first, while enough others are left to hold the floor.
func (p *plan) restrict() {
	var doubtful []*world.BackendServer
	for _, b := range p.svc.Backends {
		if p.of(b).In && (b.State == world.BackendSuspect || b.State == world.BackendTrial) {
			doubtful = append(doubtful, b)
		}
	}
	slices.SortFunc(doubtful, func(a, b *world.BackendServer) int {
		return cmp.Or(cmp.Compare(b.Detection.Relative, a.Detection.Relative), cmp.Compare(a.Config.ID, b.Config.ID))
	})
	for _, b := range doubtful {
		p.restrictOne(b)
	}
}

func (p *plan) restrictOne(b *world.BackendServer) {
	r := p.of(b)
	if r.Reason == reasonFloor {
		return
	}
	idempotentOnly := false
	if b.State == world.BackendSuspect {
		r.Weight, r.Reason = suspectWeight, reasonSuspect
		idempotentOnly = true
	} else {
		r.Weight, r.Reason, idempotentOnly = p.trial(b)
	}
	if idempotentOnly && p.whole > max(p.floor, 1) {
		r.IdempotentOnly = true
		p.whole--
	}
	p.next[b] = r
}

func (p *plan) trial(b *world.BackendServer) (weight float64, reason string, idempotentOnly bool) {
	age := p.now.Sub(b.Since)
	if b.Detection.TrialGood < TrialRequests && age < TrialTime {
		return trialWeight, reasonTrial, true
	}
	ramp := float64(age) / float64(TrialTime+SlowStart)
	return min(max(ramp, trialWeight), fullWeight), reasonSlow, false
}

func (p *plan) apply() {
	for _, b := range p.svc.Backends {
		next := p.of(b)
		if next == b.Rotation {
			continue
		}
		if next.Reason == reasonFloor && b.Rotation.Reason != reasonFloor {
			p.w.Record(p.now, event.BackendKeptFloor, p.svc.Config.Name, b.Config.ID, fmt.Sprintf("floor %d", p.floor))
		}
		b.Rotation = next
		p.svc.Dirty = true
	}
}

// Interface guard.
var _ world.System = System{}
