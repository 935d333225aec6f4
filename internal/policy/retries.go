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
	// peerTotalsTTL is how long a host counts as heard of a service after a report. At two
	// requests a second one host in 400 has nothing to tell for so long.
	peerTotalsTTL = 3 * time.Second
)

// Fleet is how many hosts there are.
type Fleet struct {
	// Near are the live hosts of this data centre, this one included.
	Near int
	// All is the most hosts that were ever live at a time.
	All int
}

// recordSend counts a request that is sent to a server.
func (svc *service) recordSend(now time.Time, length time.Duration, s *server, req Request) {
	svc.dirty = true
	switch {
	case req.Repeat:
		s.counts.retries++
		svc.totals.retries++
		svc.ownSends.retries.add(now, length, 1)
	case req.First:
		s.counts.requests++
		svc.totals.requests++
		svc.ownSends.requests.add(now, length, 1)
	}
}

// sendCounts is what one host sendCounts to a service's servers in the last window of RetryRule.
type sendCounts struct{ requests, retries window }

// peerTotals is what a host that shares the allowance of a service last told of it.
type peerTotals struct {
	counts     counts
	sends      sendCounts
	receivedAt time.Time
}

// recordPeerTotals counts what a host that shares the service's allowance did since its last
// report. Each datagram brings the totals, so that the next one makes up for a lost one.
func (svc *service) recordPeerTotals(now time.Time, length time.Duration, host string, current counts) {
	h, known := svc.sharingHosts[host]
	if !known {
		h = &peerTotals{}
		svc.sharingHosts[host] = h
	}
	previous := h.counts
	if current.isOlderThan(previous) {
		return // an older datagram that came late
	}
	h.counts = current
	h.receivedAt = now
	if !known && current.requests+current.retries > maxOutcomesPerReport {
		return // what was before this host heard of it is long past
	}
	if current.staleConnections > previous.staleConnections {
		svc.staleConnectionAt = now
	}
	h.sends.requests.add(now, length, int(current.requests-previous.requests))
	h.sends.retries.add(now, length, int(current.retries-previous.retries))
	svc.served.add(now, outcomeWindow, int(current.good-previous.good))
	svc.late.add(now, outcomeWindow, int(current.late-previous.late))
	svc.unserved.add(now, outcomeWindow, int(current.unserved()-previous.unserved()))
	svc.limited.add(now, outcomeWindow, int(current.limited-previous.limited))
}

// expirePeers drops hosts that have not been heard for long: they may be gone, or share
// with others now.
func (svc *service) expirePeers(now time.Time) {
	for host, h := range svc.sharingHosts {
		if now.Sub(h.receivedAt) > stateTTL {
			delete(svc.sharingHosts, host)
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
	if age < rule.Window && t.has(MechanismNewHosts) {
		// A young host does not know what the others spent before its start, and
		// may have spent itself before it was killed: it keeps to its own part, and
		// its reserve grows with its age.
		reserve := rule.Reserve / all * age.Seconds() / rule.Window.Seconds()
		return retriesUsed{svc.ownSends.retries.sum(now, rule.Window), rule.allowance(svc.ownSends.requests.sum(now, rule.Window), reserve)}
	}
	requests, retries, hosts := svc.sharedSends(now, rule.Window)
	reserve := rule.Reserve * float64(min(hosts, max(fleet.Near, 1))) / all
	return retriesUsed{retries, rule.allowance(requests, reserve)}
}

// sharedSends sums what this host and those that it hears sent in the last window. What a
// host is due that is not heard is that host's own to spend: else a fleet that is cut
// apart spends its allowance more than once.
func (svc *service) sharedSends(now time.Time, length time.Duration) (requests, retries, hosts int) {
	requests, retries, hosts = svc.ownSends.requests.sum(now, length), svc.ownSends.retries.sum(now, length), 1
	for _, h := range svc.sharingHosts {
		if now.Sub(h.receivedAt) < peerTotalsTTL {
			requests += h.sends.requests.sum(now, length)
			retries += h.sends.retries.sum(now, length)
			hosts++
		}
	}
	return requests, retries, hosts
}

// allowance is the safe part of a share of the requests and a reserve.
func (r RetryRule) allowance(requests int, reserve float64) float64 {
	return retrySafety * (r.Share*float64(requests) + reserve)
}
