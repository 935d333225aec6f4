package policy

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/world"
)

// A server believed to be failing must be tried from time to time: it may have recovered, and if
// all servers fail at once the others must not be the only ones in use. A request sent there most
// likely fails. So an idempotent request is sent to a healthy server and a copy of it to the
// failing one. The first answer of the two is returned to the caller, and the outcome of the copy
// shows whether the server has recovered.
const (
	// trialInterval is the time without a request after which a failing server is tried. No server
	// may be out of use for 2 s, and a shorter interval sends more copies.
	trialInterval = 1800 * time.Millisecond
	// trialQuantile is the quantile of the latency distribution that sets the timeout of a trial;
	// a trial that exceeds it counts as unanswered.
	trialQuantile = 0.98
	// minTrialTimeout is the minimum timeout, for services that answer immediately: setting up a
	// connection and a busy host take longer.
	minTrialTimeout = 100 * time.Millisecond
	// maxFirstBelief is the belief up to which the server of the first send is healthy enough for a
	// trial in parallel. A trial uses up one of the request's attempts, which is needed for a
	// healthy server if the first send is likely to fail.
	maxFirstBelief = 0.1
	// trialAllowance is the spent share of the retry allowance above which no trials are made.
	// Copies of requests that hang may spend most of the allowance.
	trialAllowance = 0.95
)

// PlaceTrial places a copy of an idempotent request on a server believed to be failing, if a trial is
// due and enough of the retry allowance is left. req.Exclude lists the servers that have received
// the request.
func (t *Table) PlaceTrial(now time.Time, view *world.ServiceView, req Request) (*Placement, bool) {
	if !t.has(MechanismTrials) || !req.Idempotent || req.FirstServerBelief > maxFirstBelief {
		return nil, false
	}
	svc := t.service(req.Service)
	best := t.mostOverdueForTrial(now, svc, view, req)
	if best.server == nil {
		return nil, false
	}
	if !t.AllowRetry(now, req.Service, req.FleetSize).Allowed || t.spentAllowance(now, req.Service, req.FleetSize) > trialAllowance {
		return nil, false
	}
	req.Retry, req.FirstAttempt = true, false
	placement := t.place(now, svc, best, req)
	expected := time.Duration(svc.latencies.quantile(trialQuantile) * float64(placement.pending.expected))
	placement.TrialTimeout = max(expected, minTrialTimeout)
	return placement, true
}

// mostOverdueForTrial returns the failing server of this data centre that has been without a
// request for longest.
func (t *Table) mostOverdueForTrial(now time.Time, svc *service, view *world.ServiceView, req Request) choice {
	var best choice
	duty := t.hasDuty(now, svc, view, req.DataCentre)
	servers := view.Candidates()
	for i := range servers {
		b := &servers[i]
		k := key{req.Service, b.ID}
		s, known := t.servers[k]
		if !known || b.DataCentre != req.DataCentre || !req.allows(b) {
			continue
		}
		isOnDuty := duty && s.belief(now, svc) >= failingThreshold && t.isDutyDue(now, k, s, req, true)
		if !isOnDuty && !s.isDueForTrial(now, svc) {
			continue
		}
		if best.server == nil || s.lastSent.Before(best.state.lastSent) {
			best.server, best.state, best.duty = b, s, isOnDuty
		}
	}
	return best
}

func (s *server) isDueForTrial(now time.Time, svc *service) bool {
	return now.Sub(s.lastSent) > trialInterval && !now.Before(s.pathUntil) && s.belief(now, svc) >= failingThreshold
}
