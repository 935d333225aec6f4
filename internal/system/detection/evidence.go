package detection

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/world"
)

// counts are outcomes that were not weighed yet.
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

// tests are the two sequential tests of a server: a server that fails often
// may be quick, and a slow one may never fail, so they stand apart.
type tests struct {
	fail cusum
	slow cusum
	// at is when a host was last seen failing, in tests that leave it out.
	at time.Time
}

func (t *tests) add(usual usualShares, seen counts) {
	slow := min(seen.Slow, seen.Good)
	t.fail.add(failRatios(usual.fail), seen.bad(), seen.Good)
	t.slow.add(slowRatios(usual.slow), slow, seen.Good-slow)
}

func (t *tests) score() float64 { return max(float64(t.fail), float64(t.slow)) }

// ownHost stands for this host among the hosts that saw a server.
const ownHost = ""

// evidence is this host's record of one backend server.
type evidence struct {
	// pooled are the tests over all hosts' observations, alone over this host's.
	pooled tests
	alone  tests
	// without are the tests over all but one host, for each host that lately saw
	// the server fail: they tell a broken path from a broken server.
	without map[string]*tests
	// failShare and slowShare are the server's shares of bad answers.
	failShare share
	slowShare share
	// own counts what this host saw and did not weigh yet, unreported what it
	// weighed and did not report yet.
	own        counts
	unreported counts
	lastBad    time.Time
	lastSeen   time.Time
}

func newEvidence() *evidence {
	return &evidence{slowShare: initialSlowRate, without: make(map[string]*tests)}
}

func (e *evidence) score() float64 { return e.pooled.score() }

// ownFail is the failure score of this host's observations alone.
func (e *evidence) ownFail() float64 { return float64(e.alone.fail) }

// weigh takes what one host saw.
func (e *evidence) weigh(now time.Time, host string, usual usualShares, seen counts) {
	if seen.bad()+seen.Slow > 0 {
		e.leaveOut(now, host)
	}
	for other, tests := range e.without {
		if other != host {
			tests.add(usual, seen)
		}
	}
	if host == ownHost {
		e.alone.add(usual, seen)
	}
	e.pooled.add(usual, seen)
	e.failShare.add(seen.bad(), seen.bad()+seen.Good)
	e.slowShare.add(min(seen.Slow, seen.Good), seen.Good)
}

// report adds to what is unreported and returns it once it is due. What came
// before the score was last zero has no weight any more and is dropped.
func (e *evidence) report(own counts) (unreported counts, due bool) {
	e.unreported = e.unreported.plus(own)
	due = own.bad() > 0 || e.score() >= reportScore
	unreported = e.unreported
	if due || e.score() == 0 {
		e.unreported = counts{}
	}
	return unreported, due
}

// leaveOut keeps tests without a host that saw the server fail. They start from
// the pooled ones: what came before was not that host's.
func (e *evidence) leaveOut(now time.Time, host string) {
	t, ok := e.without[host]
	if !ok {
		start := e.pooled
		t = &start
		e.without[host] = t
	}
	t.at = now
}

// witnessed reports whether the server would look faulty without any one of
// the hosts that saw it fail.
func (e *evidence) witnessed(now time.Time) bool {
	for host, t := range e.without {
		if now.Sub(t.at) > witnessWindow {
			delete(e.without, host)
			continue
		}
		if t.score() < witnessScore {
			return false
		}
	}
	return true
}

// countGood counts a good answer and reports whether it was slow.
func (e *evidence) countGood(svc *world.Service, latency time.Duration) bool {
	e.own.Good++
	slowAfter := svc.Latency.SlowAfter()
	isSlow := slowAfter > 0 && latency > slowAfter
	if isSlow {
		e.own.Slow++
	}
	return isSlow
}
