package policy

import (
	"github.com/pearshelf/pearshelf/internal/api/peerpb"
)

// counts are cumulative; they only increase during one incarnation of a host.
type counts struct {
	good, failed, unreachable, shed uint64
	lateErrors, staleConnections    uint64
	requests, retries               uint64
	late                            uint64 // part of good, answered after the objective
	limited                         uint64 // refused by this host beyond their customers' limits
	goodSlowness                    uint64 // sum over good answers, in millionths
	silentMillinats                 uint64 // evidence of abandoned requests, in thousandths of log odds
	// confirmedUnreachable is the part of unreachable after which this host reached another server.
	confirmedUnreachable uint64
}

// add counts one outcome.
func (c *counts) add(done Result) {
	switch done.Outcome {
	case Good:
		c.good++
		c.goodSlowness += uint64(1e6 * done.slowness)
		if done.late {
			c.late++
		}
	case Failed:
		c.failed++
	case lateError:
		c.lateErrors++
	case staleConnection:
		c.staleConnections++
	case Shed:
		c.shed++
	case Unreachable:
		c.unreachable++
	}
}

func countsFrom(l *peerpb.BackendLoad) counts {
	return counts{
		good:             l.Good,
		failed:           l.Failed,
		unreachable:      l.Unreachable,
		shed:             l.Shed,
		lateErrors:       l.LateErrors,
		staleConnections: l.StaleConnections,
		requests:         l.Requests,
		retries:          l.Retries,
		late:             l.Late,
		goodSlowness:     l.GoodSlownessPpm,
		silentMillinats:  l.SilentMillinats,
		limited:          l.Limited,

		confirmedUnreachable: l.ConfirmedUnreachable,
	}
}

// isOlderThan reports whether any count is lower than in d, as in a report that arrived out of
// order.
func (c counts) isOlderThan(d counts) bool {
	return c.good < d.good || c.failed < d.failed || c.unreachable < d.unreachable ||
		c.shed < d.shed || c.lateErrors < d.lateErrors ||
		c.staleConnections < d.staleConnections || c.requests < d.requests || c.retries < d.retries
}

// unserved is the number of requests that did not yield a good answer.
func (c counts) unserved() uint64 { return c.failed + c.lateErrors + c.staleConnections + c.shed }

// withoutNewest returns the counts without the newest outcome. In the first report that a host
// sends about a server only that outcome is current. It is taken to be a failure if there was one,
// because failures are what is sent to all hosts.
func (c counts) withoutNewest() counts {
	switch {
	case c.failed > 0:
		c.failed--
	case c.good > 0:
		c.good--
	}
	return c
}

// message encodes the counts. A message without a server holds the totals of a service.
func (c counts) message(k key) *peerpb.BackendLoad {
	return &peerpb.BackendLoad{
		Service:          k.service,
		Backend:          k.backend,
		Good:             c.good,
		Failed:           c.failed,
		Unreachable:      c.unreachable,
		GoodSlownessPpm:  c.goodSlowness,
		Requests:         c.requests,
		Retries:          c.retries,
		Late:             c.late,
		Shed:             c.shed,
		LateErrors:       c.lateErrors,
		StaleConnections: c.staleConnections,
		SilentMillinats:  c.silentMillinats,
		Limited:          c.limited,

		ConfirmedUnreachable: c.confirmedUnreachable,
	}
}
