package slots

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pearshelf/pearshelf/internal/rendezvous"
	"github.com/pearshelf/pearshelf/internal/world"
)

// server is the state of one backend server on this host.
type server struct {
	view     world.BackendView
	inFlight int
	// otherLoad is the load from other hosts as last reported, at reportedAt.
	// avgOtherLoad is its moving average.
	otherLoad    float64
	avgOtherLoad float64
	reportedAt   time.Time
}

// load estimates the number of requests that the server is processing. The weight of
// the last report decays with its age in favour of the average load from other hosts.
func (s *server) load(now time.Time) float64 {
	weight := math.Exp2(-float64(now.Sub(s.reportedAt)) / float64(reportHalfLife))
	return float64(s.inFlight) + s.avgOtherLoad + (s.otherLoad-s.avgOtherLoad)*weight
}

// capacityCheck reports whether a server, at its estimated load, can take another
// request.
type capacityCheck func(s *server, load float64) bool

// hasOwnedSlot reports whether one of this host's own slots is free. It needs no
// estimate, as other owners use these slots only by borrowing.
func (s *server) hasOwnedSlot(float64) bool { return s.inFlight < s.view.SlotShare }

// hasReportedCapacity reports whether a slot is free according to the load estimated
// from the server's reports.
func (s *server) hasReportedCapacity(load float64) bool {
	return s.inFlight < s.view.Slots && load <= float64(s.view.Slots)-borrowMargin
}

// pick returns an eligible server with capacity, or nil. It prefers the session's server
// if the service has session affinity, and else the least loaded one.
func (p *Pool) pick(now time.Time, req Request, hasCapacity capacityCheck) *server {
	if len(p.view.Backends) == 0 {
		return nil
	}
	if req.Session != "" && p.view.Config.SessionAffinity {
		return p.pickForSession(now, req, hasCapacity)
	}
	if best := p.pickLeastLoaded(now, req, hasCapacity, true); best != nil {
		return best
	}
	return p.pickLeastLoaded(now, req, hasCapacity, false)
}

// pickLeastLoaded returns the eligible server with capacity that has the lowest load
// per slot. If weighted, a server with a weight below 1 is considered only with that
// probability.
func (p *Pool) pickLeastLoaded(now time.Time, req Request, hasCapacity capacityCheck, weighted bool) *server {
	var best *server
	bestLoad := 0.0
	start := rand.IntN(len(p.view.Backends))
	for i := range p.view.Backends {
		b := &p.view.Backends[(start+i)%len(p.view.Backends)]
		if !eligible(b, req) || weighted && b.Weight < 1 && rand.Float64() >= b.Weight {
			continue
		}
		s := p.servers[b.ID]
		load := s.load(now)
		if !hasCapacity(s, load) {
			continue
		}
		relative := load / float64(b.Slots)
		if best == nil || relative < bestLoad {
			best, bestLoad = s, relative
		}
	}
	return best
}

// pickForSession returns the first server with capacity in the session's rendezvous
// ranking.
func (p *Pool) pickForSession(now time.Time, req Request, hasCapacity capacityCheck) *server {
	nodes := make([]rendezvous.Node, 0, len(p.view.Backends))
	for i := range p.view.Backends {
		if eligible(&p.view.Backends[i], req) {
			nodes = append(nodes, p.view.Backends[i].Node)
		}
	}
	for _, id := range rendezvous.Top(req.Session, nodes, len(nodes)) {
		s := p.servers[id]
		if hasCapacity(s, s.load(now)) {
			return s
		}
	}
	return nil
}
