package policy

import (
	"math"
	"slices"
	"time"
)

// A server in a spell may not fail requests but leave them unanswered. Then a
// failure shows only when a request's time is over, a second and more later, and
// all that are sent there meanwhile are lost with it. So a request that goes
// unanswered is evidence already while it waits, the more the fewer answers of its
// service take so long. Its answer takes that back: the evidence is computed from
// the requests that wait now, and nothing of it is kept.
//
// Hosts tell the age of their oldest request with what they tell anyway, and each
// computes the rest.
const (
	// maxUnansweredLogOdds bounds the log odds from requests that wait (55 to 1): they may wait
	// for one cause, such as one long request before them.
	maxUnansweredLogOdds = 4.0
	// unansweredShareWeight is the weight of one failure in the share of failures that are
	// silent, hangPrior that share before any.
	unansweredShareWeight = 0.1
	priorUnansweredShare  = 0.5
	// slowServiceLateShare is the share of late answers of a service at which requests that
	// wait say nothing any more: then it is the load that keeps them. Below it the
	// evidence counts in part.
	slowServiceLateShare = 0.15
	// overdueLogOdds is the evidence, in log odds, from which a server that has a request
	// waiting counts as failing now: 8 to 1.
	overdueLogOdds = 2.08
)

// pending is a request at a server that has no answer yet.
type pending struct {
	since    time.Time
	estimate         // when it was sent
	slowness float64 // of the server then
}

// unansweredProbability is the chance that a request at a server in a spell is left unanswered.
func (svc *service) unansweredProbability() float64 { return failingFailureRate * svc.unansweredShare }

// recordFailure notes whether a failure was silent.
func (svc *service) recordFailure(silent bool) {
	target := 0.0
	if silent {
		target = 1
	}
	svc.unansweredShare += unansweredShareWeight * (target - svc.unansweredShare)
}

// requestLogOdds is the evidence for a spell, in log odds, of a request that has gone
// unanswered for some time.
func (svc *service) requestLogOdds(age, expected time.Duration) float64 {
	sound := svc.latencies.probabilityAfter(age, expected)
	if age <= 0 || sound > 0.999 {
		return 0 // no time at all has passed, by what is usual
	}
	hang := svc.unansweredProbability()
	return math.Log((hang + (1-hang)*sound) / sound)
}

// unansweredLogOdds is the evidence of all requests that wait at a server.
func (s *server) unansweredLogOdds(now time.Time, svc *service) float64 {
	if !svc.beliefOptions.unanswered {
		return 0
	}
	if len(s.pending)+len(s.busyPeers) == 0 {
		return 0
	}
	total := int64(0) // in millionths: the sum must not depend on the order
	for _, p := range s.pending {
		total += int64(1e6 * svc.requestLogOdds(now.Sub(p.since), p.expected))
	}
	for _, peer := range s.busyPeers {
		if now.Sub(peer.at) < peerReportTTL {
			total += int64(1e6 * svc.requestLogOdds(now.Sub(peer.oldest), peer.expected))
		}
	}
	return min(float64(total)/1e6, maxUnansweredLogOdds) * svc.unansweredWeight(now)
}

// unansweredWeight is 1 where answers of a service come in time, and 0 where so many are late
// that waiting says nothing of one server.
func (svc *service) unansweredWeight(now time.Time) float64 {
	if !now.Equal(svc.unansweredWeightAt) { // each pick asks for each server
		svc.unansweredWeightAt = now
		svc.cachedUnansweredWeight = max(1-svc.lateShare(now)/slowServiceLateShare, 0)
	}
	return svc.cachedUnansweredWeight
}

// belief is the belief that a server is in a spell, with the evidence of the
// requests that wait there.
func (s *server) belief(now time.Time, svc *service) float64 {
	if !svc.beliefOptions.outcomes {
		return stationaryBelief
	}
	p := s.health.probabilityAt(now)
	odds := math.Exp(s.unansweredLogOdds(now, svc))
	return p * odds / (p*odds + 1 - p)
}

// failureProbability is the chance that the next request at a server fails.
func (s *server) failureProbability(now time.Time, svc *service) float64 {
	return healthyFailureRate + (failingFailureRate-healthyFailureRate)*s.belief(now, svc)
}

// removePending forgets a request that has ended.
func (s *server) removePending(p *pending) {
	if i := slices.Index(s.pending, p); i >= 0 {
		s.pending = slices.Delete(s.pending, i, i+1)
	}
}

// oldestAge is how long this host's oldest request waits at a server.
func (s *server) oldestAge(now time.Time) time.Duration {
	age := time.Duration(0)
	for _, p := range s.pending {
		age = max(age, now.Sub(p.since))
	}
	return age
}
