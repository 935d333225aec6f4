package policy

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/world"
)

// A service must not narrow itself to a few servers, because what was learnt of
// the others grows old: if the few then fail, nothing is known of the rest.
const (
	// failureCooldown is how long after a failure a server need not be used.
	failureCooldown = 2 * time.Second
	// inUsePeriod is how long a server counts as used after a request: no server is to be
	// out of use for 2 s.
	inUsePeriod = 1800 * time.Millisecond
	// failingThreshold is the belief above which a server counts as failing, and need not be used
	// in calm times. Higher finds servers that have recovered sooner, by requests that
	// fail where they have not. Lower loses fewer, and leaves fewer servers in use when
	// trouble comes.
	failingThreshold = 0.5
	// coverageShare is the part of the servers without a recent failure that
	// must be in use: more than the 0.7 that is asked for over all data centres.
	coverageShare = 0.8
	// idempotentCoverageShare is that part for idempotent requests, of all servers
	// without a recent failure, also those believed to fail: a request that fails
	// there is sent again, and what it finds guides the non-idempotent ones.
	idempotentCoverageShare = 0.95
	// coverageAllowance is the part of the retry allowance that may be spent
	// while idempotent requests try such servers.
	coverageAllowance = 0.5
	// outcomeWindow is the time over which outcomes are counted, troubleShare the part
	// of unserved requests from which on all servers are tried, also such as are believed
	// to fail: then what is known of them helps little. It is half of a tenth over all
	// data centres, of which this one may have less. troubleChance more may fail by chance.
	outcomeWindow  = 2 * time.Second
	degradedShare  = 0.05
	degradedMargin = 3
	// degradedMinOutcomes is how many outcomes must be known.
	degradedMinOutcomes = 20
	// degradedCoverageShare is the part of the servers that must be in use in such a time.
	degradedCoverageShare = 0.95
	// degradedFailureCooldown is recentFailure in such a time.
	degradedFailureCooldown = time.Second
	// heavilyLimitedShare is the part of a service's requests that are refused beyond their
	// customers' limits from which on servers that are believed to fail are used too: such
	// requests count as unserved. Then no server may be out of use for long, whatever is
	// known of it: nothing is seen of a server that is not used.
	heavilyLimitedShare = 0.06
	// unusedServerBonus outweighs any belief in a spell, and no blocked path.
	unusedServerBonus = 2.0
	// normalRequestShare is the most of a service's requests that may go to servers for the only
	// reason that they are out of use, in calm times. Each of them risks a spell; more than
	// that costs more than what is learnt of these servers is worth.
	normalRequestShare = 0.3
	// untriedRequestShare of the requests that run once may go to servers that have just joined because
	// these had none yet; requests that may be repeated go there at once. Many servers may join at
	// a time, and some of them in a spell.
	untriedRequestShare = 0.25
	// degradedRequestShare: where too many requests are unserved all of them may. Where even that would
	// not bring enough servers into use, breadth is of no help.
	degradedRequestShare = 1.0
)

// coverage is the need for more servers in use.
type coverage struct {
	insufficient bool // too few of this data centre's servers are in use
	// includeFailing is set where servers that are believed to fail must be tried too.
	includeFailing bool
	// includeAll is set where all must be used, whatever is known of them.
	includeAll bool
	// cooldown a failure for which time a server need not be used.
	cooldown time.Duration
	// serverShare of the servers must be in use, and at most effort of the requests may be spent on
	// it.
	serverShare     float64
	maxRequestShare float64
	// tryUntried is set where a server that has joined may have this request as its first.
	tryUntried bool
}

// coverage looks at this data centre's servers in the subset: each server is in the
// subsets of hosts that look after it. spent is the part of the retry
// allowance that is spent.
func (t *Table) coverage(now time.Time, view *world.ServiceView, req Request, spent float64) coverage {
	need := t.coverageRule(now, req, spent)
	need.tryUntried = req.Idempotent && !req.Last || t.conf.Random.Float64() < untriedRequestShare
	svc := t.service(req.Service)
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

// coverageRule returns which servers must be in use, and what part of them.
func (t *Table) coverageRule(now time.Time, req Request, spent float64) coverage {
	switch {
	case t.has(MechanismTrouble) && t.service(req.Service).isDegraded(now):
		return coverage{includeFailing: true, cooldown: degradedFailureCooldown, serverShare: degradedCoverageShare, maxRequestShare: degradedRequestShare}
	case t.has(MechanismTrouble) && t.service(req.Service).isHeavilyLimited(now):
		return coverage{includeAll: !t.mayHaveTrials(req) || spent >= trialAllowance, serverShare: 1, maxRequestShare: degradedRequestShare}
	case t.mayHaveTrials(req):
		return coverage{cooldown: failureCooldown, serverShare: idempotentCoverageShare, maxRequestShare: normalRequestShare}
	case req.Idempotent && !req.Last && spent < coverageAllowance:
		return coverage{includeFailing: true, cooldown: failureCooldown, serverShare: idempotentCoverageShare, maxRequestShare: normalRequestShare}
	default:
		return coverage{cooldown: failureCooldown, serverShare: coverageShare, maxRequestShare: normalRequestShare}
	}
}

// requestShareFor is the part of the service's requests that it takes to keep a number of servers in
// use, if each is sent one each unusedFor; over 1 if there are too few requests.
func (svc *service) requestShareFor(now time.Time, servers float64) float64 {
	sends := float64(svc.sends.sum(now, outcomeWindow))
	return servers * float64(outcomeWindow) / float64(inUsePeriod) / max(sends, 1)
}

// mayHaveTrials reports whether doubted servers are tried by copies of such a request, so that
// its first send need not go there.
func (t *Table) mayHaveTrials(req Request) bool {
	return req.Idempotent && !req.Last && t.has(MechanismTrials)
}

// isDegraded reports whether many requests of this data centre are unserved, over
// the whole window or, where there are many requests, already over a half.
func (svc *service) isDegraded(now time.Time) bool {
	return svc.hasManyUnserved(now, windowBuckets+1) || svc.hasManyUnserved(now, windowBuckets/2)
}

// hasManyUnserved looks at the newest buckets of the window.
func (svc *service) hasManyUnserved(now time.Time, buckets int) bool {
	served := svc.served.newest(now, outcomeWindow, buckets)
	unserved := svc.unserved.newest(now, outcomeWindow, buckets)
	total := served + unserved
	return total >= degradedMinOutcomes && float64(unserved) > degradedShare*float64(total)+degradedMargin
}

// isHeavilyLimited reports whether many requests of this data centre are beyond their customers'
// limits.
func (svc *service) isHeavilyLimited(now time.Time) bool {
	limited := svc.limited.sum(now, outcomeWindow)
	total := limited + svc.served.sum(now, outcomeWindow) + svc.unserved.sum(now, outcomeWindow)
	return total >= degradedMinOutcomes && float64(limited) > heavilyLimitedShare*float64(total)
}

// NoteLimited counts a request of a service that this host refused beyond its customer's
// limit.
func (t *Table) NoteLimited(now time.Time, name string) {
	svc := t.service(name)
	svc.limited.add(now, outcomeWindow, 1)
	svc.totals.limited++
	svc.dirty = true
}

// recordOutcome counts an outcome of this host's own.
func (svc *service) recordOutcome(now time.Time, done Done) {
	switch done.Outcome {
	case Good:
		svc.served.add(now, outcomeWindow, 1)
		if done.late {
			svc.late.add(now, outcomeWindow, 1)
		}
	case Failed, Shed, lateError, staleConnection:
		svc.unserved.add(now, outcomeWindow, 1)
	}
}

// shouldBeUsed reports whether nothing recent speaks against a server.
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
	return s.belief(now, svc) < failingThreshold
}

// serverUse is a use of a server, and when it had been used before.
type serverUse struct{ at, before time.Time }

// recordSends counts requests at the servers of this host's subset, by it and by the hosts that tell
// it of theirs.
func (svc *service) recordSends(now time.Time, n uint64) {
	svc.sends.add(now, outcomeWindow, int(n))
}

// isUntried reports whether a server has joined and had no request yet. Where there are fewer
// requests than servers it would wait for long: known servers cost less.
func (s *server) isUntried() bool { return s.joined && s.lastSent.IsZero() }

// recordUse counts a send to a server as a use of it.
func (s *server) recordUse(now time.Time) serverUse {
	u := serverUse{at: now, before: s.lastSent}
	s.lastSent = now
	return u
}

// undoUse undoes a use whose request did not reach the server, unless there was another since:
// else a server to which kept connections break, or that some hosts cannot reach, is out of use
// although it counts as used.
func (s *server) undoUse(u serverUse) {
	if s.lastSent.Equal(u.at) {
		s.lastSent = u.before
	}
}

// coverageBonus is what a request gains by going to a server that has had none
// for long, where too few servers are in use.
func (s *server) coverageBonus(now time.Time, svc *service, need coverage) float64 {
	if need.tryUntried && s.isUntried() && !now.Before(s.pathUntil) {
		return unusedServerBonus
	}
	if need.insufficient && now.Sub(s.lastSent) > inUsePeriod && s.shouldBeUsed(now, svc, need) {
		return unusedServerBonus
	}
	return 0
}
