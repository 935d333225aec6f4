package detection

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/world"
)

// counts are numbers of outcomes that have not been added to the tests yet.
type counts struct{ Good, Failed, Slow, Unreachable uint32 }

func (c counts) bad() uint32 { return c.Failed + c.Unreachable }

func (c counts) plus(d counts) counts {
	return counts{
		Good:        c.Good + d.Good,
		Failed:      c.Failed + d.Failed,
		Slow:        c.Slow + d.Slow,
		Unreachable: c.Unreachable + d.Unreachable,
	}
}

func (c counts) message(backend string) *peerpb.BackendEvidence {
	return &peerpb.BackendEvidence{
		Backend:     backend,
		Good:        c.Good,
		Failed:      c.Failed,
		Slow:        c.Slow,
		Unreachable: c.Unreachable,
	}
}

// tests are the sequential tests of a server for failures and for slowness. They
// are separate because a failing server may be fast, and a slow one may never fail.
type tests struct {
	fail cusum
	slow cusum
	// lastFailure is set in tests that exclude a host: the time at which that host
	// last reported a bad answer.
	lastFailure time.Time
}

func (t *tests) add(baseline baselineRates, seen counts) {
	slow := min(seen.Slow, seen.Good)
	t.fail.add(failRatios(baseline.fail), seen.bad(), seen.Good)
	t.slow.add(slowRatios(baseline.slow), slow, seen.Good-slow)
}

func (t *tests) score() float64 { return max(float64(t.fail), float64(t.slow)) }

// ownHost is the key of this host's own observations.
const ownHost = ""

// evidence is this host's record of one backend server.
type evidence struct {
	// pooled are the tests over the observations of all hosts, ownTests over those
	// of this host only.
	pooled   tests
	ownTests tests
	// excluding holds, for each host that recently saw the server fail, the tests
	// over the observations of all other hosts. They distinguish a broken path from
	// a faulty server.
	excluding map[string]*tests
	// failRate and slowRate are the server's rates of failed and slow answers.
	failRate rate
	slowRate rate
	// ownPending counts outcomes on this host that have not been added to the tests
	// yet, unreported those that were added but not reported.
	ownPending counts
	unreported counts
	lastBad    time.Time
}

func newEvidence() *evidence {
	return &evidence{slowRate: initialSlowRate, excluding: make(map[string]*tests)}
}

func (e *evidence) score() float64 { return e.pooled.score() }

// ownFailScore returns the failure score over this host's observations only.
func (e *evidence) ownFailScore() float64 { return float64(e.ownTests.fail) }

// addCounts adds the outcomes seen by one host.
func (e *evidence) addCounts(now time.Time, host string, baseline baselineRates, seen counts) {
	if seen.bad()+seen.Slow > 0 {
		e.excludeHost(now, host)
	}
	for other, tests := range e.excluding {
		if other != host {
			tests.add(baseline, seen)
		}
	}
	if host == ownHost {
		e.ownTests.add(baseline, seen)
	}
	e.pooled.add(baseline, seen)
	e.failRate.add(seen.bad(), seen.bad()+seen.Good)
	e.slowRate.add(min(seen.Slow, seen.Good), seen.Good)
}

// takeReport adds counts to the unreported ones and returns these once a report
// is due. Counts from before the score was last zero no longer affect it and are
// dropped.
func (e *evidence) takeReport(own counts) (unreported counts, due bool) {
	e.unreported = e.unreported.plus(own)
	due = own.bad() > 0 || e.score() >= reportAllScore
	unreported = e.unreported
	if due || e.score() == 0 {
		e.unreported = counts{}
	}
	return unreported, due
}

// excludeHost maintains tests that exclude a host which saw the server fail. They
// start as a copy of the pooled tests, which contain no recent failure of that host.
func (e *evidence) excludeHost(now time.Time, host string) {
	t, ok := e.excluding[host]
	if !ok {
		start := e.pooled
		t = &start
		e.excluding[host] = t
	}
	t.lastFailure = now
}

// corroborated reports whether the server still appears faulty when any single
// host that saw it fail is excluded.
func (e *evidence) corroborated(now time.Time) bool {
	for host, t := range e.excluding {
		if now.Sub(t.lastFailure) > corroborationWindow {
			delete(e.excluding, host)
			continue
		}
		if t.score() < corroborationScore {
			return false
		}
	}
	return true
}

// countGood counts a successful answer and reports whether it was slow.
func (e *evidence) countGood(svc *world.Service, latency time.Duration) bool {
	e.ownPending.Good++
	slowAfter := svc.Latency.SlowAfter()
	isSlow := slowAfter > 0 && latency > slowAfter
	if isSlow {
		e.ownPending.Slow++
	}
	return isSlow
}
