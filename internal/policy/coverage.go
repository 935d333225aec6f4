package policy

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/world"
)

// A service must not concentrate its requests on a few servers: observations of the others become
// outdated, and if the few fail, nothing is known about the rest.
const (
	// failureCooldown is how long after a failure a server need not be kept in use.
	failureCooldown = 2 * time.Second
	// inUsePeriod is how long a server counts as in use after a request. It is a little less than
	// the 2 s that a server may be out of use at most.
	inUsePeriod = 1800 * time.Millisecond
	// failingThreshold is the belief above which a server counts as failing and need not be kept
	// in use in normal operation. A higher value detects recovered servers sooner, at the cost of
	// requests that fail on those that have not recovered. A lower value loses fewer requests, but
	// leaves fewer servers in use when a service becomes degraded.
	failingThreshold = 0.5
	// coverageShare is the share of the servers without a recent failure that must be in use. It
	// exceeds the 0.7 that is required over all data centres.
	coverageShare = 0.8
	// idempotentCoverageShare is the same share for idempotent requests. It counts all servers
	// without a recent failure, including those believed to be failing: a request that fails there
	// is retried, and its outcome guides the non-idempotent requests.
	idempotentCoverageShare = 0.95
	// coverageAllowance is the share of the retry allowance up to which idempotent requests are
	// sent to such servers.
	coverageAllowance = 0.5
	// outcomeWindow is the period over which outcomes are counted. If more than degradedShare of
	// the requests are unserved the service counts as degraded, and servers believed to be failing
	// are tried too, since the belief is of little help then. The share is half of the tenth that
	// applies over all data centres, because this one may have less than the others.
	// degradedMargin is the number of further unserved requests that may occur by chance.
	outcomeWindow  = 2 * time.Second
	degradedShare  = 0.05
	degradedMargin = 3
	// degradedMinOutcomes is the number of outcomes required to tell.
	degradedMinOutcomes = 20
	// degradedCoverageShare is the share of the servers that must be in use while the service is
	// degraded.
	degradedCoverageShare = 0.95
	// degradedFailureCooldown replaces failureCooldown while the service is degraded.
	degradedFailureCooldown = time.Second
	// heavilyLimitedShare is the share of a service's requests refused beyond their customers'
	// limits above which servers believed to be failing are used too, because such requests count
	// as unserved. No server may then be out of use for long, whatever is known about it: nothing
	// can be observed about a server that is not used.
	heavilyLimitedShare = 0.06
	// unusedServerBonus outweighs any failure belief, but not blockedPathCost.
	unusedServerBonus = 2.0
	// normalRequestShare limits the share of a service's requests that are sent to servers only
	// because these are out of use, in normal operation. Each of them risks a failing server;
	// beyond this share the cost exceeds the value of what is learned about these servers.
	normalRequestShare = 0.3
	// untriedRequestShare is the share of non-repeatable requests that may be the first request of
	// a server that has just joined; repeatable requests are sent there at once. Many servers may
	// join at the same time, and some of them may be failing.
	untriedRequestShare = 0.25
	// degradedRequestShare replaces normalRequestShare while the service is degraded: all requests
	// may be spent. If even that is not enough to bring the required servers into use, coverage
	// cannot help.
	degradedRequestShare = 1.0
)

// coverage describes which servers must be kept in use, and whether too few are.
type coverage struct {
	insufficient bool // too few of this data centre's servers are in use
	// includeFailing is set if servers believed to be failing must be used too.
	includeFailing bool
	// includeAll is set if all servers must be used, whatever is known about them.
	includeAll bool
	// cooldown is how long after a failure a server need not be used.
	cooldown time.Duration
	// serverShare is the share of the servers that must be in use, and maxRequestShare the
	// largest share of the requests that may be spent to achieve that.
	serverShare     float64
	maxRequestShare float64
	// tryUntried is set if this request may be the first one of a server that has joined.
	tryUntried bool
	// duty is set if each server must be used, by the host whose turn it is, see duty.go.
	duty bool
}

// coverage counts the servers of this data centre in the subset that are in use. Every server is
// in the subsets of some hosts, which keep it in use. spent is the share of the retry allowance
// that is spent.
func (t *Table) coverage(now time.Time, view *world.ServiceView, req Request, spent float64) coverage {
	need := t.coverageRule(now, req, spent)
	need.tryUntried = req.Idempotent && !req.LastAttempt || t.conf.Random.Float64() < untriedRequestShare
	svc := t.service(req.Service)
	need.duty = !req.Parallel && t.hasDuty(now, svc, view, req.DataCentre)
	candidates, used := 0, 0
	servers := view.Candidates()
	for i := range servers {
		b := &servers[i]
		if b.DataCentre != req.DataCentre || !req.isAvailable(b) {
			continue
		}
		s, known := t.servers[key{req.Service, b.ID}]
		switch {
		case !known:
			candidates++
		case s.shouldBeUsed(now, svc, need):
			candidates++
			if now.Sub(s.lastSent) < inUsePeriod {
				used++
			}
		}
	}
	wanted := need.serverShare * float64(candidates)
	need.insufficient = float64(used) < wanted && svc.requestShareFor(now, wanted) <= need.maxRequestShare
	return need
}

// coverageRule returns which servers must be in use, and what share of them.
func (t *Table) coverageRule(now time.Time, req Request, spent float64) coverage {
	switch {
	case t.has(MechanismDegraded) && t.service(req.Service).isDegraded(now):
		return coverage{includeFailing: true, cooldown: degradedFailureCooldown, serverShare: degradedCoverageShare, maxRequestShare: degradedRequestShare}
	case t.has(MechanismDegraded) && t.service(req.Service).isHeavilyLimited(now):
		return coverage{includeAll: !t.mayHaveTrials(req) || spent >= trialAllowance, serverShare: 1, maxRequestShare: degradedRequestShare}
	case t.mayHaveTrials(req):
		return coverage{cooldown: failureCooldown, serverShare: idempotentCoverageShare, maxRequestShare: normalRequestShare}
	case req.Idempotent && !req.LastAttempt && spent < coverageAllowance:
		return coverage{includeFailing: true, cooldown: failureCooldown, serverShare: idempotentCoverageShare, maxRequestShare: normalRequestShare}
	default:
		return coverage{cooldown: failureCooldown, serverShare: coverageShare, maxRequestShare: normalRequestShare}
	}
}

// requestShareFor is the share of the service's requests needed to keep a number of servers in use,
// at one request each per inUsePeriod. It exceeds 1 if there are too few requests.
func (svc *service) requestShareFor(now time.Time, servers float64) float64 {
	sends := float64(svc.sends.sum(now, outcomeWindow))
	return servers * float64(outcomeWindow) / float64(inUsePeriod) / max(sends, 1)
}

// mayHaveTrials reports whether copies of the request are used to try servers believed to be
// failing, so that its first send need not go there.
func (t *Table) mayHaveTrials(req Request) bool {
	return req.Idempotent && !req.LastAttempt && t.has(MechanismTrials)
}

// isDegraded reports whether many requests of this data centre are unserved, over the whole window
// or, if there are many requests, already over half of it.
func (svc *service) isDegraded(now time.Time) bool {
	return svc.hasManyUnserved(now, windowBuckets+1) || svc.hasManyUnserved(now, windowBuckets/2)
}

// hasManyUnserved reports whether many requests were unserved in the newest buckets of the window.
func (svc *service) hasManyUnserved(now time.Time, buckets int) bool {
	served := svc.served.newest(now, outcomeWindow, buckets)
	unserved := svc.unserved.newest(now, outcomeWindow, buckets)
	total := served + unserved
	return total >= degradedMinOutcomes && float64(unserved) > degradedShare*float64(total)+degradedMargin
}

// isHeavilyLimited reports whether many requests of this data centre are refused beyond their
// customers' limits.
func (svc *service) isHeavilyLimited(now time.Time) bool {
	limited := svc.limited.sum(now, outcomeWindow)
	total := limited + svc.served.sum(now, outcomeWindow) + svc.unserved.sum(now, outcomeWindow)
	return total >= degradedMinOutcomes && float64(limited) > heavilyLimitedShare*float64(total)
}

// NoteLimited counts a request that this host refused because it exceeds its customer's limit.
func (t *Table) NoteLimited(now time.Time, name string) {
	svc := t.service(name)
	svc.limited.add(now, outcomeWindow, 1)
	svc.totals.limited++
	svc.dirty = true
}

// recordOutcome counts an outcome of a request of this host.
func (svc *service) recordOutcome(now time.Time, done Result) {
	switch done.Outcome {
	case Good:
		svc.served.add(now, outcomeWindow, 1)
		if done.late {
			svc.late.add(now, outcomeWindow, 1)
		}
	case Failed, Shed, lateError, staleConnection, unattributed:
		svc.unserved.add(now, outcomeWindow, 1)
	}
}

// shouldBeUsed reports whether no recent observation speaks against using a server.
func (s *server) shouldBeUsed(now time.Time, svc *service, need coverage) bool {
	if now.Before(s.pathUntil) {
		return false
	}
	if need.includeAll {
		return true
	}
	if now.Sub(s.failedAt) <= need.cooldown {
		return false
	}
	if need.includeFailing {
		return s.unansweredLogOdds(now, svc) <= overdueLogOdds
	}
	return s.belief(now, svc) < s.health.threshold()
}

// serverUse is the time of a send to a server and that of the previous one.
type serverUse struct{ at, before time.Time }

// recordSends counts requests to the servers of this host's subset, sent by this host or by the
// hosts that report to it.
func (svc *service) recordSends(now time.Time, n uint64) {
	svc.sends.add(now, outcomeWindow, int(n))
}

// isUntried reports whether a server has joined and not received a request yet. If there are fewer
// requests than servers it would wait for its first request for long, since known servers cost
// less.
func (s *server) isUntried() bool { return s.joined && s.lastSent.IsZero() }

// recordUse records that the server is sent a request.
func (s *server) recordUse(now time.Time) serverUse {
	u := serverUse{at: now, before: s.lastSent}
	s.lastSent = now
	return u
}

// undoUse reverts a use whose request did not reach the server, unless there was another one since.
// Otherwise a server whose kept connections break, or that some hosts cannot connect to, would
// count as in use although it receives no requests.
func (s *server) undoUse(u serverUse) {
	if s.lastSent.Equal(u.at) {
		s.lastSent = u.before
	}
}

// coverageBonus is the cost reduction for a server that has had no request for some time, if too
// few servers are in use. onDuty is set if it is this host's turn to use the server.
func (t *Table) coverageBonus(in comparison, k key, s *server) (bonus float64, onDuty bool) {
	now, svc, need := in.now, in.svc, in.need
	if need.tryUntried && s.isUntried() && !now.Before(s.pathUntil) {
		return unusedServerBonus, false
	}
	if need.insufficient && now.Sub(s.lastSent) > inUsePeriod && s.shouldBeUsed(now, svc, need) {
		return unusedServerBonus, false
	}
	if need.duty && t.isDutyDue(now, k, s, in.req, false) {
		return unusedServerBonus, true
	}
	return 0, false
}
