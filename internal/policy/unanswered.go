package policy

import (
	"math"
	"slices"
	"time"
)

// A failing server may leave requests unanswered. The failure then shows only when the time of a
// request has run out, a second or more later, and all requests sent to the server meanwhile are
// lost as well. An unanswered request therefore counts as evidence while it is still waiting, and
// the more so the fewer answers of the service take that long. Its answer revokes the evidence,
// since this is computed from the requests that are currently waiting and not stored.
//
// Hosts include the age of their oldest request in their reports, and each host computes the
// evidence from that.
const (
	// maxUnansweredLogOdds limits the log odds from waiting requests (55 to 1): they may wait for
	// a common cause, such as one long request ahead of them.
	maxUnansweredLogOdds = 4.0
	// unansweredShareWeight is the weight of one failure in the moving average of the share of
	// failures that bring no answer; priorUnansweredShare is the initial value of that share.
	unansweredShareWeight = 0.1
	priorUnansweredShare  = 0.5
	// slowServiceLateShare is the share of late answers of a service from which on waiting
	// requests are no evidence at all, because the load then explains the wait. Below it the
	// evidence is reduced proportionally.
	slowServiceLateShare = 0.15
	// overdueLogOdds is the evidence, in log odds, above which a server with waiting requests
	// counts as failing: 8 to 1.
	overdueLogOdds = 2.08
)

// pending is a request on a server that has not been answered yet.
type pending struct {
	key      key
	since    time.Time
	estimate           // as of when it was sent
	slowness float64   // of the server at that time
	use      serverUse // recorded for this request
}

// unansweredProbability is the probability that a failing server leaves a request unanswered.
func (svc *service) unansweredProbability() float64 { return failingFailureRate * svc.unansweredShare }

// recordFailure updates the share of failures that bring no answer.
func (svc *service) recordFailure(unanswered bool) {
	target := 0.0
	if unanswered {
		target = 1
	}
	svc.unansweredShare += unansweredShareWeight * (target - svc.unansweredShare)
}

// requestLogOdds is the evidence, in log odds, that a server is failing which has left a request
// unanswered for some time.
func (svc *service) requestLogOdds(age, expected time.Duration) float64 {
	healthy := svc.latencies.probabilityAfter(age, expected)
	if age <= 0 || healthy > 0.999 {
		return 0 // too early for an answer
	}
	unanswered := svc.unansweredProbability()
	return math.Log((unanswered + (1-unanswered)*healthy) / healthy)
}

// unansweredLogOdds is the combined evidence of all requests waiting on a server.
func (s *server) unansweredLogOdds(now time.Time, svc *service) float64 {
	if !svc.beliefOptions.unanswered {
		return 0
	}
	if len(s.pending)+len(s.busyPeers) == 0 {
		return 0
	}
	total := int64(0) // fixed point, in millionths, so that the sum does not depend on the order
	if s.pathFailures == 0 {
		for _, p := range s.pending {
			total += int64(1e6 * svc.requestLogOdds(now.Sub(p.since), p.expected))
		}
	}
	for _, peer := range s.busyPeers {
		if now.Sub(peer.at) < peerReportTTL {
			total += int64(1e6 * svc.requestLogOdds(now.Sub(peer.oldest), peer.expected))
		}
	}
	return min(float64(total)/1e6, maxUnansweredLogOdds) * svc.unansweredWeight(now)
}

// unansweredWeight scales the evidence of waiting requests: 1 if the answers of the service are in
// time, 0 if so many are late that a long wait says nothing about a single server.
func (svc *service) unansweredWeight(now time.Time) float64 {
	if !now.Equal(svc.unansweredWeightAt) { // cached, since each pick reads it for each server
		svc.unansweredWeightAt = now
		svc.cachedUnansweredWeight = max(1-svc.lateShare(now)/slowServiceLateShare, 0)
	}
	return svc.cachedUnansweredWeight
}

// belief is the probability that a server is failing, including the evidence of waiting requests.
func (s *server) belief(now time.Time, svc *service) float64 {
	if !svc.beliefOptions.outcomes {
		return stationaryBelief
	}
	p := s.health.probabilityAt(now)
	odds := math.Exp(s.unansweredLogOdds(now, svc))
	return p * odds / (p*odds + 1 - p)
}

// failureProbability is the probability that the next request on a server fails.
func (s *server) failureProbability(now time.Time, svc *service) float64 {
	return healthyFailureRate + (failingFailureRate-healthyFailureRate)*s.belief(now, svc)
}

// removePending removes a request that has ended.
func (s *server) removePending(p *pending) {
	if i := slices.Index(s.pending, p); i >= 0 {
		s.pending = slices.Delete(s.pending, i, i+1)
	}
}

// removeWaiting removes a request that has ended.
func (t *Table) removeWaiting(p *pending) {
	if i := slices.Index(t.waiting, p); i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
	}
}

// oldestAge is how long the oldest request of this host has been waiting on a server.
func (s *server) oldestAge(now time.Time) time.Duration {
	age := time.Duration(0)
	for _, p := range s.pending {
		age = max(age, now.Sub(p.since))
	}
	return age
}
