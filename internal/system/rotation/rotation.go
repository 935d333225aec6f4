// Package rotation decides which backend servers a host uses. Verdicts, drains
// and path faults remove servers in a deterministic order, and only as far as
// the capacity floor of the service allows.
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
	// SlowStart is the time over which a returned or new server is ramped up to
	// its full weight.
	SlowStart = 10 * time.Second
	// The trial of a server ends after TrialRequests successful idempotent
	// requests or after TrialTime.
	TrialRequests = 5
	TrialTime     = 5 * time.Second

	trialWeight     = 0.1
	floorWeight     = 0.05 // server kept only to hold the floor
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

// System is the rotation step of a tick.
type System struct{}

// Run recomputes the rotation of services that have changed or have time-dependent state.
func (System) Run(w *world.World, now time.Time) {
	for _, svc := range w.Services {
		if svc.Dirty || svc.DetectionActive {
			rotate(w, now, svc)
		}
	}
}

// plan is the rotation of one service while it is computed.
type plan struct {
	w     *world.World
	now   time.Time
	svc   *world.Service
	floor int
	// planned holds the servers that are not in full rotation. Nearly all servers are, and
	// have no entry.
	planned    map[*world.BackendServer]world.Rotation
	inRotation int // servers in rotation
	open       int // servers in rotation that accept non-idempotent requests
}

func rotate(w *world.World, now time.Time, svc *world.Service) {
	p := &plan{
		w:       w,
		now:     now,
		svc:     svc,
		floor:   Floor(w, svc),
		planned: make(map[*world.BackendServer]world.Rotation),
	}
	tallies := verdict.Count(w, svc.Config.Name)
	for _, b := range svc.Backends {
		p.advance(b, tallies[b.Config.ID])
	}
	p.admit()
	p.removeDrained()
	p.removeEjected(tallies)
	p.removePathFaults()
	p.restrictUnproven()
	p.apply()
}

// Floor returns the effective floor: the published one, or an operator's
// override while the published value is still the one that it replaced.
func Floor(w *world.World, svc *world.Service) int {
	floor := svc.Config.Floor
	if set, ok := directive.Floor(w.Registers, svc.Config.Name, floor); ok {
		floor = set
	}
	return min(floor, len(svc.Backends))
}

// advance updates the state of a server from the votes and the elapsed time.
func (p *plan) advance(b *world.BackendServer, tally verdict.Tally) {
	ejected := tally.Votes >= verdict.Majority(p.svc) && tally.Votes > 0
	name := p.svc.Config.Name
	switch {
	case ejected && b.State != world.BackendEjected:
		p.setState(b, world.BackendEjected)
		b.Detection.Relapses = max(b.Detection.Relapses, tally.Relapses)
		p.w.Record(p.now, event.BackendEjected, name, b.Config.ID, fmt.Sprintf("%d votes", tally.Votes))
	case !ejected && b.State == world.BackendEjected:
		p.setState(b, world.BackendTrial)
		b.Detection.TrialSuccesses = 0
		b.Detection.ReturnedAt = p.now
		p.w.Record(p.now, event.BackendReturned, name, b.Config.ID, "trial, then slow start")
	case b.State == world.BackendTrial && p.now.Sub(b.Since) >= TrialTime+SlowStart:
		p.setState(b, world.BackendHealthy)
	}
}

func (p *plan) setState(b *world.BackendServer, state world.BackendState) {
	b.State = state
	b.Since = p.now
	p.svc.DetectionActive = true
}

// admit adds all servers except those that the platform marks as leaving or whose data centre
// is evacuated. These must get no requests at all, so the floor does not keep them either.
func (p *plan) admit() {
	for _, b := range p.svc.Backends {
		switch {
		case b.Config.Leaving:
			p.planned[b] = world.Rotation{Reason: reasonLeaving}
		case slices.Contains(p.w.Evacuated, b.Config.DataCentre):
			p.planned[b] = world.Rotation{Reason: reasonEvacuated}
		default:
			p.inRotation++
		}
	}
	p.open = p.inRotation
}

// rotationOf returns the planned rotation of a server.
func (p *plan) rotationOf(b *world.BackendServer) world.Rotation {
	if next, ok := p.planned[b]; ok {
		return next
	}
	return world.Rotation{In: true, Weight: fullWeight}
}

// removeAbove removes a server if more than minimum servers are in rotation, and reports
// whether the server is out of rotation.
func (p *plan) removeAbove(b *world.BackendServer, reason string, minimum int) bool {
	if !p.rotationOf(b).In {
		return true
	}
	if p.inRotation <= minimum {
		return false
	}
	p.planned[b] = world.Rotation{Reason: reason}
	p.inRotation--
	p.open--
	return true
}

func (p *plan) removeDrained() {
	for _, drain := range directive.Drains(p.w.Registers, p.svc.Config.Name) {
		if b := p.svc.Backend(drain.Backend); b != nil {
			p.removeOrKeepForFloor(b, reasonDrained, p.floor)
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
			register.Compare(firstVote(tallies, a), firstVote(tallies, b)),
			cmp.Compare(a.Config.ID, b.Config.ID),
		)
	})
	for _, b := range ejected {
		p.removeOrKeepForFloor(b, reasonEjected, p.floor)
	}
}

func firstVote(tallies map[string]verdict.Tally, b *world.BackendServer) *peerpb.Stamp {
	return tallies[b.Config.ID].First
}

// removeOrKeepForFloor removes a server if more than minimum servers are in rotation, and
// otherwise keeps it with the lowest weight.
func (p *plan) removeOrKeepForFloor(b *world.BackendServer, reason string, minimum int) {
	if p.removeAbove(b, reason, minimum) {
		return
	}
	p.planned[b] = world.Rotation{In: true, Weight: floorWeight, Reason: reasonFloor}
}

// removePathFaults removes servers that fail only from this host, but keeps at least half of
// the servers. If nearly all servers fail from one host, the cause is a request that crashes
// one server after the other or the host's own network, and removing them all would make the
// host refuse every request.
func (p *plan) removePathFaults() {
	minimum := max(p.floor, (len(p.svc.Backends)+1)/2)
	for _, b := range p.svc.Backends {
		if b.Detection.PathFault {
			p.removeOrKeepForFloor(b, reasonPath, minimum)
		}
	}
}

// restrictUnproven limits suspect servers and servers on trial to idempotent
// requests, worst score first, while enough others are left to hold the floor.
func (p *plan) restrictUnproven() {
	var restricted []*world.BackendServer
	for _, b := range p.svc.Backends {
		if p.rotationOf(b).In && (b.State == world.BackendSuspect || b.State == world.BackendTrial) {
			restricted = append(restricted, b)
		}
	}
	slices.SortFunc(restricted, func(a, b *world.BackendServer) int {
		return cmp.Or(cmp.Compare(b.Detection.Relative, a.Detection.Relative), cmp.Compare(a.Config.ID, b.Config.ID))
	})
	for _, b := range restricted {
		p.restrictOne(b)
	}
}

func (p *plan) restrictOne(b *world.BackendServer) {
	r := p.rotationOf(b)
	if r.Reason == reasonFloor {
		return
	}
	idempotentOnly := false
	if b.State == world.BackendSuspect {
		r.Weight, r.Reason = suspectWeight, reasonSuspect
		idempotentOnly = true
	} else {
		r.Weight, r.Reason, idempotentOnly = p.trialRotation(b)
	}
	if idempotentOnly && p.open > max(p.floor, 1) {
		r.IdempotentOnly = true
		p.open--
	}
	p.planned[b] = r
}

func (p *plan) trialRotation(b *world.BackendServer) (weight float64, reason string, idempotentOnly bool) {
	age := p.now.Sub(b.Since)
	if b.Detection.TrialSuccesses < TrialRequests && age < TrialTime {
		return trialWeight, reasonTrial, true
	}
	ramp := float64(age) / float64(TrialTime+SlowStart)
	return min(max(ramp, trialWeight), fullWeight), reasonSlow, false
}

func (p *plan) apply() {
	for _, b := range p.svc.Backends {
		next := p.rotationOf(b)
		if next == b.Rotation {
			continue
		}
		if next.Reason == reasonFloor && b.Rotation.Reason != reasonFloor {
			p.w.Record(p.now, event.BackendKeptForFloor, p.svc.Config.Name, b.Config.ID, fmt.Sprintf("floor %d", p.floor))
		}
		b.Rotation = next
		p.svc.Dirty = true
	}
}

var _ world.System = System{}
