package policy

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/world"
)

// A service must not narrow itself to a few servers, because what was learnt of
// the others grows old: if the few then fail, nothing is known of the rest.
const (
	// recentFailure is how long after a failure a server need not be used.
	recentFailure = 2 * time.Second
	// unusedFor is how long a server counts as used after a request: no server is to be
	// out of use for 2 s.
	unusedFor = 1800 * time.Millisecond
	// inSpell is the belief above which a server counts as failing, and need not be used
	// in calm times. Higher finds servers that have recovered sooner, by requests that
	// fail where they have not. Lower loses fewer, and leaves fewer servers in use when
	// trouble comes.
	inSpell = 0.5
	// breadthShare is the part of the servers without a recent failure that
	// must be in use: more than the 0.7 that is asked for over all data centres.
	breadthShare = 0.8
	// idempotentShare is that part for idempotent requests, of all servers
	// without a recent failure, also those believed to fail: a request that fails
	// there is sent again, and what it finds guides the non-idempotent ones.
	idempotentShare = 0.95
	// allowanceForBreadth is the part of the retry allowance that may be spent
	// while idempotent requests try such servers.
	allowanceForBreadth = 0.5
	// troubleWindow is the time over which outcomes are counted, troubleShare the part
	// of unserved requests from which on all servers are tried, also such as are believed
	// to fail: then what is known of them helps little. It is half of a tenth over all
	// data centres, of which this one may have less. troubleChance more may fail by chance.
	troubleWindow = 2 * time.Second
	troubleShare  = 0.05
	troubleChance = 3
	// troubleLeast is how many outcomes must be known.
	troubleLeast = 20
	// troubleUse is the part of the servers that must be in use in such a time.
	troubleUse = 0.95
	// troubleFailure is recentFailure in such a time.
	troubleFailure = time.Second
	// limitedShare is the part of a service's requests that are refused beyond their
	// customers' limits from which on servers that are believed to fail are used too: such
	// requests count as unserved. Then no server may be out of use for long, whatever is
	// known of it: nothing is seen of a server that is not used.
	limitedShare = 0.06
	// unusedGain outweighs any belief in a spell, and no blocked path.
	unusedGain = 2.0
	// calmEffort is the most of a service's requests that may go to servers for the only
	// reason that they are out of use, in calm times. Each of them risks a spell; more than
	// that costs more than what is learnt of these servers is worth.
	calmEffort = 0.3
	// untriedShare of the requests that run once may go to servers that have just joined because
	// these had none yet; requests that may be repeated go there at once. Many servers may join at
	// a time, and some of them in a spell.
	untriedShare = 0.25
	// wholeEffort: where too many requests are unserved all of them may. Where even that would
	// not bring enough servers into use, breadth is of no help.
	wholeEffort = 1.0
)

// breadth is the need for more servers in use.
type breadth struct {
	narrow bool // too few of this data centre's servers are in use
	// anyBelief is set where servers that are believed to fail must be tried too.
	anyBelief bool
	// always is set where all must be used, whatever is known of them.
	always bool
	// after a failure for which time a server need not be used.
	after time.Duration
	// share of the servers must be in use, and at most effort of the requests may be spent on
	// it.
	share  float64
	effort float64
	// untried is set where a server that has joined may have this request as its first.
	untried bool
}

// breadth looks at this data centre's servers in the subset: each server is in the
// subsets of hosts that look after it. spent is the part of the retry
// allowance that is spent.
func (t *Table) breadth(now time.Time, view *world.ServiceView, req Request, spent float64) breadth {
	need := t.breadthRule(now, req, spent)
	need.untried = req.Idempotent && !req.Last || t.conf.Random.Float64() < untriedShare
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
		case s.mustBeUsed(now, svc, need):
			candidates++
			if now.Sub(s.lastSent) < unusedFor {
				used++
			}
		}
	}
	wanted := need.share * float64(candidates)
	need.narrow = float64(used) < wanted && svc.effortFor(now, wanted) <= need.effort
	return need
}

// breadthRule returns which servers must be in use, and what part of them.
func (t *Table) breadthRule(now time.Time, req Request, spent float64) breadth {
	switch {
	case t.has(MechanismTrouble) && t.service(req.Service).troubled(now):
		return breadth{anyBelief: true, after: troubleFailure, share: troubleUse, effort: wholeEffort}
	case t.has(MechanismTrouble) && t.service(req.Service).muchLimited(now):
		return breadth{always: !t.getsTrials(req) || spent >= allowanceForTrials, share: 1, effort: wholeEffort}
	case t.getsTrials(req):
		return breadth{after: recentFailure, share: idempotentShare, effort: calmEffort}
	case req.Idempotent && !req.Last && spent < allowanceForBreadth:
		return breadth{anyBelief: true, after: recentFailure, share: idempotentShare, effort: calmEffort}
	default:
		return breadth{after: recentFailure, share: breadthShare, effort: calmEffort}
	}
}

// effortFor is the part of the service's requests that it takes to keep a number of servers in
// use, if each is sent one each unusedFor; over 1 if there are too few requests.
func (svc *service) effortFor(now time.Time, servers float64) float64 {
	sends := float64(svc.sends.sum(now, troubleWindow))
	return servers * float64(troubleWindow) / float64(unusedFor) / max(sends, 1)
}

// getsTrials reports whether doubted servers are tried by copies of such a request, so that
// its first send need not go there.
func (t *Table) getsTrials(req Request) bool {
	return req.Idempotent && !req.Last && t.has(MechanismTrials)
}

// troubled reports whether many requests of this data centre are unserved, over
// the whole window or, where there are many requests, already over a half.
func (svc *service) troubled(now time.Time) bool {
	return svc.manyUnserved(now, windowBuckets+1) || svc.manyUnserved(now, windowBuckets/2)
}

// manyUnserved looks at the newest buckets of the window.
func (svc *service) manyUnserved(now time.Time, buckets int) bool {
	served := svc.served.newest(now, troubleWindow, buckets)
	unserved := svc.unserved.newest(now, troubleWindow, buckets)
	total := served + unserved
	return total >= troubleLeast && float64(unserved) > troubleShare*float64(total)+troubleChance
}

// muchLimited reports whether many requests of this data centre are beyond their customers'
// limits.
func (svc *service) muchLimited(now time.Time) bool {
	limited := svc.limited.sum(now, troubleWindow)
	total := limited + svc.served.sum(now, troubleWindow) + svc.unserved.sum(now, troubleWindow)
	return total >= troubleLeast && float64(limited) > limitedShare*float64(total)
}

// NoteLimited counts a request of a service that this host refused beyond its customer's
// limit.
func (t *Table) NoteLimited(now time.Time, name string) {
	svc := t.service(name)
	svc.limited.add(now, troubleWindow, 1)
	svc.totals.limited++
	svc.dirty = true
}

// noteOutcome counts an outcome of this host's own.
func (svc *service) noteOutcome(now time.Time, done Done) {
	switch done.Outcome {
	case Good:
		svc.served.add(now, troubleWindow, 1)
		if done.late {
			svc.late.add(now, troubleWindow, 1)
		}
	case Failed, Shed, lateError, staleConnection:
		svc.unserved.add(now, troubleWindow, 1)
	}
}

// mustBeUsed reports whether nothing recent speaks against a server.
func (s *server) mustBeUsed(now time.Time, svc *service, need breadth) bool {
	if now.Before(s.pathUntil) {
		return false
	}
	if need.always {
		return true
	}
	if now.Sub(s.failedAt) <= need.after {
		return false
	}
	if need.anyBelief {
		return s.silence(now, svc) <= overdue
	}
	return s.belief(now, svc) < inSpell
}

// serverUse is a use of a server, and when it had been used before.
type serverUse struct{ at, before time.Time }

// noteSends counts requests at the servers of this host's subset, by it and by the hosts that tell
// it of theirs.
func (svc *service) noteSends(now time.Time, n uint64) {
	svc.sends.add(now, troubleWindow, int(n))
}

// isUntried reports whether a server has joined and had no request yet. Where there are fewer
// requests than servers it would wait for long: known servers cost less.
func (s *server) isUntried() bool { return s.joined && s.lastSent.IsZero() }

// noteUse counts a send to a server as a use of it.
func (s *server) noteUse(now time.Time) serverUse {
	u := serverUse{at: now, before: s.lastSent}
	s.lastSent = now
	return u
}

// takeBackUse undoes a use whose request did not reach the server, unless there was another since:
// else a server to which kept connections break, or that some hosts cannot reach, is out of use
// although it counts as used.
func (s *server) takeBackUse(u serverUse) {
	if s.lastSent.Equal(u.at) {
		s.lastSent = u.before
	}
}

// breadthGain is what a request gains by going to a server that has had none
// for long, where too few servers are in use.
func (s *server) breadthGain(now time.Time, svc *service, need breadth) float64 {
	if need.untried && s.isUntried() && !now.Before(s.pathUntil) {
		return unusedGain
	}
	if need.narrow && now.Sub(s.lastSent) > unusedFor && s.mustBeUsed(now, svc, need) {
		return unusedGain
	}
	return 0
}
