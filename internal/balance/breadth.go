package balance

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/world"
)

// A service must not narrow itself to a few servers, because what was learnt of
// the others grows old: if the few then fail, nothing is known of the rest.
const (
	// recentFailure is how long after a failure a server need not be used.
	recentFailure = 2 * time.Second
	// unusedFor is how long a server counts as used after a request. The users'
	// rule looks at spans of 2 s.
	unusedFor = 1800 * time.Millisecond
	// inSpell is the belief above which a server counts as failing.
	inSpell = 0.5
	// breadthShare is the part of the servers without a recent failure that
	// must be in use. The users' rule asks for 0.7 over all data centres.
	breadthShare = 0.75
	// breadthGain outweighs any belief in a spell, and no blocked path.
	breadthGain = 2.0
)

// narrow reports whether too few of this data centre's servers are in use.
func (t *Table) narrow(now time.Time, view *world.ServiceView, req Request) bool {
	candidates, used := 0, 0
	for i := range view.Backends {
		b := &view.Backends[i]
		if b.DataCentre != req.DataCentre {
			continue
		}
		s, known := t.servers[key{req.Service, b.ID}]
		switch {
		case !known:
			candidates++
		case s.mustBeUsed(now):
			candidates++
			if now.Sub(s.lastSent) < unusedFor {
				used++
			}
		}
	}
	return float64(used) < breadthShare*float64(candidates)
}

// mustBeUsed reports whether nothing recent speaks against a server.
func (s *server) mustBeUsed(now time.Time) bool {
	return now.Sub(s.failedAt) > recentFailure && now.After(s.pathUntil) && s.spell.now(now) < inSpell
}

// breadth is what a request gains by going to a server that has had none for
// long, where too few servers are in use.
func (s *server) breadth(now time.Time, narrow bool) float64 {
	if narrow && now.Sub(s.lastSent) > unusedFor && s.mustBeUsed(now) {
		return breadthGain
	}
	return 0
}
