package policy

import "time"

// RetryRule bounds the requests that all hosts together send to a second
// server. The hosts of a data centre share what falls to them, because each
// knows what the others spent.
type RetryRule struct {
	// Share is the part of a service's requests that may be sent again in a
	// window, Reserve how many more.
	Share   float64
	Reserve float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// DefaultRetryRule is for a fleet without an allowance of its own.
func DefaultRetryRule() RetryRule {
	return RetryRule{Share: 0.1, Reserve: 10, Window: 10 * time.Second}
}

const (
	// retrySafety is the part of the allowance that is spent: reports may be
	// lost, and hosts may decide at the same moment.
	retrySafety = 0.75
)

// Fleet is how many hosts there are.
type Fleet struct {
	// Near are the live hosts of this data centre, this one included.
	Near int
	// All is the most hosts that were ever live at a time.
	All int
}

// noteSent counts a request that is sent to a server.
func (svc *service) noteSent(now time.Time, length time.Duration, s *server, req Request) {
	svc.dirty = true
	switch {
	case req.Repeat:
		s.counts.retries++
		svc.totals.retries++
		svc.retries.add(now, length, 1)
		svc.ownRetries.add(now, length, 1)
	case req.First:
		s.counts.requests++
		svc.totals.requests++
		svc.requests.add(now, length, 1)
		svc.ownRequests.add(now, length, 1)
	}
}

// learnNear counts what a host of this data centre did since its last report.
// Each datagram brings the totals, so that the next one makes up for a lost one.
func (svc *service) learnNear(now time.Time, length time.Duration, host string, is counts) {
	was, known := svc.near[host]
	if is.before(was) {
		return // an older datagram that came late
	}
	svc.near[host] = is
	if !known && is.requests+is.retries > maxNews {
		return // what was before this host heard of it is long past
	}
	if is.staleConnections > was.staleConnections {
		svc.staleAt = now
	}
	svc.requests.add(now, length, int(is.requests-was.requests))
	svc.retries.add(now, length, int(is.retries-was.retries))
	svc.served.add(now, troubleWindow, int(is.good-was.good))
	svc.late.add(now, troubleWindow, int(is.late-was.late))
	svc.unserved.add(now, troubleWindow, int(is.unserved()-was.unserved()))
}

// AllowRetry reports whether a request of a service may be sent again.
func (t *Table) AllowRetry(now time.Time, name string, fleet Fleet) bool {
	used := t.retriesUsed(now, name, fleet)
	return float64(used.retries+1) <= max(used.allowance, 1) // one in a window always is
}

// spentAllowance is the part of the retry allowance that is spent, 0 to 1.
func (t *Table) spentAllowance(now time.Time, name string, fleet Fleet) float64 {
	used := t.retriesUsed(now, name, fleet)
	return min(float64(used.retries)/max(used.allowance, 1), 1)
}

// retriesUsed is how many requests were sent again in the last window, and how
// many may be.
type retriesUsed struct {
	retries   int
	allowance float64
}

func (t *Table) retriesUsed(now time.Time, name string, fleet Fleet) retriesUsed {
	svc := t.service(name)
	rule := t.conf.Retry
	age := now.Sub(t.started)
	all := float64(max(fleet.All, fleet.Near, 1))
	if age < rule.Window && t.has(MechanismYoungHosts) {
		// A young host does not know what the others spent before its start, and
		// may have spent itself before it was killed: it keeps to its own part, and
		// its reserve grows with its age.
		reserve := rule.Reserve / all * age.Seconds() / rule.Window.Seconds()
		return retriesUsed{svc.ownRetries.sum(now, rule.Window), rule.allowance(svc.ownRequests.sum(now, rule.Window), reserve)}
	}
	reserve := rule.Reserve * float64(fleet.Near) / all
	return retriesUsed{svc.retries.sum(now, rule.Window), rule.allowance(svc.requests.sum(now, rule.Window), reserve)}
}

// allowance is the safe part of a share of the requests and a reserve.
func (r RetryRule) allowance(requests int, reserve float64) float64 {
	return retrySafety * (r.Share*float64(requests) + reserve)
}
