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
	// heardFor is how long a host counts as heard of a service after a report. At two
	// requests a second one host in 400 has nothing to tell for so long.
	heardFor = 3 * time.Second
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
		svc.own.retries.add(now, length, 1)
	case req.First:
		s.counts.requests++
		svc.totals.requests++
		svc.own.requests.add(now, length, 1)
	}
}

// sent is what one host sent to a service's servers in the last window of RetryRule.
type sent struct{ requests, retries window }

// nearHost is what a host that shares the allowance of a service last told of it.
type nearHost struct {
	counts counts
	sent   sent
	heard  time.Time
}

// learnNear counts what a host that shares the service's allowance did since its last
// report. Each datagram brings the totals, so that the next one makes up for a lost one.
func (svc *service) learnNear(now time.Time, length time.Duration, host string, is counts) {
	h, known := svc.near[host]
	if !known {
		h = &nearHost{}
		svc.near[host] = h
	}
	was := h.counts
	if is.before(was) {
		return // an older datagram that came late
	}
	h.counts = is
	h.heard = now
	if !known && is.requests+is.retries > maxNews {
		return // what was before this host heard of it is long past
	}
	if is.staleConnections > was.staleConnections {
		svc.staleAt = now
	}
	h.sent.requests.add(now, length, int(is.requests-was.requests))
	h.sent.retries.add(now, length, int(is.retries-was.retries))
	svc.served.add(now, troubleWindow, int(is.good-was.good))
	svc.late.add(now, troubleWindow, int(is.late-was.late))
	svc.unserved.add(now, troubleWindow, int(is.unserved()-was.unserved()))
	svc.limited.add(now, troubleWindow, int(is.limited-was.limited))
}

// forgetNear drops hosts that have not been heard for long: they may be gone, or share
// with others now.
func (svc *service) forgetNear(now time.Time) {
	for host, h := range svc.near {
		if now.Sub(h.heard) > forgetAfter {
			delete(svc.near, host)
		}
	}
}

// AllowRetry reports whether a request of a service may be sent again.
func (t *Table) AllowRetry(now time.Time, name string, fleet Fleet) bool {
	return t.retriesUsed(now, name, fleet).allowsOne()
}

// spentAllowance is the part of the retry allowance that is spent, 0 to 1.
func (t *Table) spentAllowance(now time.Time, name string, fleet Fleet) float64 {
	return t.retriesUsed(now, name, fleet).spent()
}

// retriesUsed is how many requests were sent again in the last window, and how
// many may be.
type retriesUsed struct {
	retries   int
	allowance float64
}

// allowsOne reports whether one more may be sent; one in a window always is.
func (u retriesUsed) allowsOne() bool { return float64(u.retries+1) <= max(u.allowance, 1) }

// spent is the part of the allowance that is spent, 0 to 1.
func (u retriesUsed) spent() float64 { return min(float64(u.retries)/max(u.allowance, 1), 1) }

func (t *Table) retriesUsed(now time.Time, name string, fleet Fleet) retriesUsed {
	svc := t.service(name)
	rule := t.conf.Retry
	all := float64(max(fleet.All, fleet.Near, 1))
	age := now.Sub(t.started)
	if age < rule.Window && t.has(MechanismYoungHosts) {
		// A young host does not know what the others spent before its start, and
		// may have spent itself before it was killed: it keeps to its own part, and
		// its reserve grows with its age.
		reserve := rule.Reserve / all * age.Seconds() / rule.Window.Seconds()
		return retriesUsed{svc.own.retries.sum(now, rule.Window), rule.allowance(svc.own.requests.sum(now, rule.Window), reserve)}
	}
	requests, retries, hosts := svc.shared(now, rule.Window)
	reserve := rule.Reserve * float64(min(hosts, max(fleet.Near, 1))) / all
	return retriesUsed{retries, rule.allowance(requests, reserve)}
}

// shared sums what this host and those that it hears sent in the last window. What a
// host is due that is not heard is that host's own to spend: else a fleet that is cut
// apart spends its allowance more than once.
func (svc *service) shared(now time.Time, length time.Duration) (requests, retries, hosts int) {
	requests, retries, hosts = svc.own.requests.sum(now, length), svc.own.retries.sum(now, length), 1
	for _, h := range svc.near {
		if now.Sub(h.heard) < heardFor {
			requests += h.sent.requests.sum(now, length)
			retries += h.sent.retries.sum(now, length)
			hosts++
		}
	}
	return requests, retries, hosts
}

// allowance is the safe part of a share of the requests and a reserve.
func (r RetryRule) allowance(requests int, reserve float64) float64 {
	return retrySafety * (r.Share*float64(requests) + reserve)
}
