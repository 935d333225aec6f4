package policy

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/world"
)

// A server that is believed to fail must be tried now and then: it may have recovered, and
// when all fails at once the others must not be the only ones in use. A request that tries
// it most likely fails there. So an idempotent request goes to a sound server, and a copy
// of it to the doubted one: whichever answers first answers the caller, and what became of
// the copy says whether the server has recovered.
const (
	// trialInterval is the time without a request after which a doubted server is tried: no
	// server is to be out of use for 2 s, and more trials are more copies.
	trialInterval = 1800 * time.Millisecond
	// trialQuantile of the answers of sound servers come within the time that a trial is
	// given; without one it counts as unanswered.
	trialQuantile = 0.98
	// minTrialTimeout is the least such time, for services that answer at once: a new
	// connection and a busy host take longer.
	minTrialTimeout = 100 * time.Millisecond
	// maxFirstBelief is the belief up to which the server that has the request is sound enough for a
	// trial beside it. A trial is one of the servers that the request may have: where the first
	// most likely fails, it is needed for one that does not.
	maxFirstBelief = 0.1
	// trialAllowance is the part of the retry allowance from which on no server is
	// tried. Copies of requests that hang may spend most of it.
	trialAllowance = 0.95
)

// Trial gives a copy of an idempotent request a place at a server that is believed to
// fail, if one is due and the retry allowance is mostly there. req.Exclude names the
// servers that the request has had.
func (t *Table) Trial(now time.Time, view *world.ServiceView, req Request) (*Placement, bool) {
	if !t.has(MechanismTrials) || !req.Idempotent || req.FirstBelief > maxFirstBelief {
		return nil, false
	}
	svc := t.service(req.Service)
	best := t.mostOverdueForTrial(now, svc, view, req)
	if best.server == nil {
		return nil, false
	}
	used := t.retriesUsed(now, req.Service, req.Fleet)
	if !used.allowsOne() || used.spent() > trialAllowance {
		return nil, false
	}
	req.Repeat, req.First = true, false
	placement := t.place(now, svc, best, req)
	expected := time.Duration(svc.latencies.quantile(trialQuantile) * float64(placement.pending.expected))
	placement.TrialFor = max(expected, minTrialTimeout)
	return placement, true
}

// mostOverdueForTrial returns the doubted server of this data centre that has had no request for
// longest.
func (t *Table) mostOverdueForTrial(now time.Time, svc *service, view *world.ServiceView, req Request) choice {
	var best choice
	servers := view.Candidates()
	for i := range servers {
		b := &servers[i]
		s, known := t.servers[key{req.Service, b.ID}]
		if !known || b.DataCentre != req.DataCentre || !req.allows(b) || !s.isDueForTrial(now, svc) {
			continue
		}
		if best.server == nil || s.lastSent.Before(best.state.lastSent) {
			best.server, best.state = b, s
		}
	}
	return best
}

func (s *server) isDueForTrial(now time.Time, svc *service) bool {
	return now.Sub(s.lastSent) > trialInterval && !now.Before(s.pathUntil) && s.belief(now, svc) >= failingThreshold
}
