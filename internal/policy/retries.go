package policy

import "time"

// RetryRule limits the requests that all hosts together send to a second server. The hosts of a
// data centre share its part of the allowance, because each of them knows what the others have
// spent.
type RetryRule struct {
	// Share is the share of a service's requests in a window that may be retried, Reserve the
	// number of further retries.
	Share   float64
	Reserve float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// DefaultRetryRule is used if the fleet does not configure a retry allowance.
func DefaultRetryRule() RetryRule {
	return RetryRule{Share: 0.1, Reserve: 10, Window: 10 * time.Second}
}

const (
	// retrySafety is the part of the allowance that is actually used, because reports may be lost
	// and hosts may decide concurrently.
	retrySafety = 0.75
	// peerTotalsTTL is how long the totals of a host are used after its last report. At two
	// requests a second, one host in 400 has nothing to report for that long.
	peerTotalsTTL = 3 * time.Second
)

// Fleet is the size of the fleet.
type Fleet struct {
	// LocalHosts is the number of live hosts of this data centre, including this one.
	LocalHosts int
	// MaxHosts is the largest number of hosts that were ever live at the same time.
	MaxHosts int
}

// recordAttempt counts a send to a server, as a request or as a retry, for the retry allowance.
func (svc *service) recordAttempt(now time.Time, length time.Duration, s *server, req Request) {
	svc.dirty = true
	switch {
	case req.Retry:
		s.counts.retries++
		svc.totals.retries++
		svc.ownSends.retries.add(now, length, 1)
	case req.FirstAttempt:
		s.counts.requests++
		svc.totals.requests++
		svc.ownSends.requests.add(now, length, 1)
	}
}

// sendCounts counts what one host sent to a service's servers in the last window of RetryRule.
type sendCounts struct{ requests, retries window }

// peerTotals is the latest report of a host that shares a service's retry allowance.
type peerTotals struct {
	counts     counts
	sends      sendCounts
	receivedAt time.Time
}

// recordPeerTotals counts what a host that shares the service's allowance did since its last
// report. Each datagram carries the totals, so that the next one compensates for a lost one.
func (svc *service) recordPeerTotals(now time.Time, length time.Duration, host string, current counts) {
	h, known := svc.sharingHosts[host]
	if !known {
		h = &peerTotals{}
		svc.sharingHosts[host] = h
	}
	previous := h.counts
	if current.isOlderThan(previous) {
		return // a datagram that arrived out of order
	}
	h.counts = current
	h.receivedAt = now
	if !known && current.requests+current.retries > maxOutcomesPerReport {
		return // the totals predate the first report to this host
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

// expireSharingHosts drops hosts that have not reported for long: they may have left, or share the
// allowance of other hosts now.
func (svc *service) expireSharingHosts(now time.Time) {
	for host, h := range svc.sharingHosts {
		if now.Sub(h.receivedAt) > stateTTL {
			delete(svc.sharingHosts, host)
		}
	}
}

// RetryDecision is whether a request may be retried, and what the host knew of the allowance.
type RetryDecision struct {
	Allowed bool
	// Retries were made of Allowance in the last window by Hosts hosts, as far as this one knows.
	Retries   int
	Allowance float64
	Hosts     int
	// Age is the time since this host was started.
	Age time.Duration
}

// AllowRetry reports whether a request of a service may be retried.
func (t *Table) AllowRetry(now time.Time, name string, fleet Fleet) RetryDecision {
	used := t.retriesUsed(now, name, fleet)
	return RetryDecision{used.allowsOne(), used.retries, used.allowance, used.hosts, now.Sub(t.started)}
}

// spentAllowance is the share of the retry allowance that is spent, 0 to 1.
func (t *Table) spentAllowance(now time.Time, name string, fleet Fleet) float64 {
	return t.retriesUsed(now, name, fleet).spent()
}

// retriesUsed is the number of retries in the last window and the number allowed.
type retriesUsed struct {
	retries   int
	allowance float64
	hosts     int // whose retries are counted
}

// allowsOne reports whether another retry is allowed; one per window always is.
func (u retriesUsed) allowsOne() bool { return float64(u.retries+1) <= max(u.allowance, 1) }

// spent is the share of the allowance that is spent, 0 to 1.
func (u retriesUsed) spent() float64 { return min(float64(u.retries)/max(u.allowance, 1), 1) }

func (t *Table) retriesUsed(now time.Time, name string, fleet Fleet) retriesUsed {
	svc := t.service(name)
	rule := t.conf.Retry
	all := float64(max(fleet.MaxHosts, fleet.LocalHosts, 1))
	age := now.Sub(t.started)
	if age < rule.Window && t.has(MechanismNewHosts) {
		// A new host does not know what the others spent before it started, nor what
		// it spent itself before a crash: it is limited to its own part of the
		// allowance, and its reserve grows with its age.
		reserve := rule.Reserve / all * age.Seconds() / rule.Window.Seconds()
		return retriesUsed{svc.ownSends.retries.sum(now, rule.Window), rule.allowance(svc.ownSends.requests.sum(now, rule.Window), reserve), 1}
	}
	requests, retries, hosts := svc.sharedSends(now, rule.Window)
	reserve := rule.Reserve * float64(min(hosts, max(fleet.LocalHosts, 1))) / all
	return retriesUsed{retries, rule.allowance(requests, reserve), hosts}
}

// sharedSends sums the sends of this host and of the hosts that report to it in the last window.
// The part of a host without recent reports is left to that host; otherwise a partitioned fleet
// would spend its allowance more than once.
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

// allowance is the number of retries allowed for a number of requests and a reserve.
func (r RetryRule) allowance(requests int, reserve float64) float64 {
	return retrySafety * (r.Share*float64(requests) + reserve)
}
