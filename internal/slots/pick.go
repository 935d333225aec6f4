package slots

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pearshelf/pearshelf/internal/rendezvous"
	"github.com/pearshelf/pearshelf/internal/world"
)

type server struct {
	view     world.BackendView
	inFlight int
	// others is the load last reported for other hosts, usual its average.
	others   float64
	usual    float64
	othersAt time.Time
}

// load estimates how many requests the server serves now: a report loses its
// weight with age in favour of the usual load of the other hosts.
func (s *server) load(now time.Time) float64 {
	weight := math.Exp2(-float64(now.Sub(s.othersAt)) / float64(reportHalfLife))
	return float64(s.inFlight) + s.usual + (s.others-s.usual)*weight
}

// room says whether a server may take one more.
type room func(s *server, load float64) bool

// hasOwnSlot is exact: no other owner uses these slots unless it borrows.
func (s *server) hasOwnSlot(float64) bool { return s.inFlight < s.view.Share }

// hasRoom goes by the load that was reported.
func (s *server) hasRoom(load float64) bool {
	return s.inFlight < s.view.Slots && load <= float64(s.view.Slots)-borrowMargin
}

func (p *Pool) pick(now time.Time, req Request, has room) *server {
	if len(p.view.Backends) == 0 {
		return nil
	}
	if req.Session != "" && p.view.Config.SessionAffinity {
		return p.pickSession(now, req, has)
	}
	if best := p.pickLeast(now, req, has, true); best != nil {
		return best
	}
	return p.pickLeast(now, req, has, false)
}

// pickLeast returns the least loaded eligible server. If weighted, servers of
// less than full weight are passed over at random in proportion.
func (p *Pool) pickLeast(now time.Time, req Request, has room, weighted bool) *server {
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
		if !has(s, load) {
			continue
		}
		relative := load / float64(b.Slots)
		if best == nil || relative < bestLoad {
			best, bestLoad = s, relative
		}
	}
	return best
}

// pickSession returns the first server in the session's ranking with room.
func (p *Pool) pickSession(now time.Time, req Request, has room) *server {
	nodes := make([]rendezvous.Node, 0, len(p.view.Backends))
	for i := range p.view.Backends {
		if eligible(&p.view.Backends[i], req) {
			nodes = append(nodes, p.view.Backends[i].Node)
		}
	}
	for _, id := range rendezvous.Top(req.Session, nodes, len(nodes)) {
		s := p.servers[id]
		if has(s, s.load(now)) {
			return s
		}
	}
	return nil
}
