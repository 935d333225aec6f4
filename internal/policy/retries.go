package policy

import "time"

// RetryRule limits the requests that all hosts together send to a second server. Each host has the
// part of the allowance that its own requests bring and an equal part of the reserve, and gives what
// it does not need to the hosts of its segment that lack retries.
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
	// matureShare is the part of its allowance that a host spends at most in a window, youngShare
	// that of a host that was started less than a window ago. Hosts that are killed may have spent
	// matureShare when those that start in their place begin to spend youngShare. Gifts that are used
	// up to giftTTL later than they were given add matureShare*giftTTL/Window at most. The three add
	// up to the whole allowance.
	matureShare = 0.9
	youngShare  = 0.08
	// fullySpent is the part of the allowance of a segment's hosts that counts as all of it: not every
	// host can use its part.
	fullySpent = 0.75
	// peerTotalsTTL is how long the totals of a host are used after its last report. At two
	// requests a second, one host in 400 has nothing to report for that long.
	peerTotalsTTL = 3 * time.Second
	// giftTTL is how long a request for a retry is answered, and how long the retry may then be used.
	giftTTL = 200 * time.Millisecond
	// askPeriod is how long a host that lacks retries waits for the one that it has asked before it
	// asks another. The answer takes a round trip within the data centre.
	askPeriod = 10 * time.Millisecond
	// keptRetries is how many retries a host keeps when it gives some to others.
	keptRetries = 1
)

// retryBudget is what a host may still spend on retries of one service in a sliding window.
//
// A host spends at most a part of the allowance that its own requests and its part of the reserve
// bring, and what others have given it out of theirs. So the sum over all hosts keeps to the
// allowance of the fleet whichever hosts are killed, cut off, started or added, and whichever
// messages are lost.
type retryBudget struct {
	// allowance is how many retries this host may make or give away in a window, used how many it
	// has made or given away in the last one.
	allowance float64
	used      int
	// received is the number of retries given by other hosts, up to receivedUntil.
	received      int
	receivedUntil time.Time
	// gifts numbers the gifts to other hosts.
	gifts uint64
	// refusedAt is when a retry was last refused.
	refusedAt time.Time
}

// available is the number of retries that the host may make.
func (b *retryBudget) available() float64 { return b.allowance - float64(b.used) + float64(b.received) }

// wantsRetry reports whether the host asks another one for a retry: it has none left, and has needed
// one recently.
func (b *retryBudget) wantsRetry(now time.Time) bool {
	return b.available() < 1 && now.Sub(b.refusedAt) <= giftTTL
}

// surplus is the number of retries that the host can give away. Those that others gave are not given
// away again.
func (b *retryBudget) surplus() int { return int(b.allowance) - b.used - keptRetries }

// updateBudget brings a service's retry budget up to date.
func (t *Table) updateBudget(now time.Time, svc *service) *retryBudget {
	rule, b := t.conf.Retry, &svc.budget
	// One bucket fewer than the window has, so that no request older than the window counts.
	requests := svc.ownSends.requests.newest(now, rule.Window, windowBuckets)
	b.allowance = youngShare * rule.Share * float64(requests)
	if now.Sub(t.started) >= rule.Window {
		b.allowance = matureShare * (rule.Share*float64(requests) + rule.Reserve/float64(max(t.fleetSize, 1)))
	}
	b.used = svc.charged.sum(now, rule.Window)
	if now.After(b.receivedUntil) {
		b.received = 0
	}
	return b
}

// hasRetry reports whether a retry would be allowed.
func (t *Table) hasRetry(now time.Time, svc *service) bool {
	return t.updateBudget(now, svc).available() >= 1
}

// charge takes a retry from the budget, first from those that other hosts gave.
func (t *Table) charge(now time.Time, svc *service) {
	if b := t.updateBudget(now, svc); b.received > 0 {
		b.received--
		return
	}
	svc.charged.add(now, t.conf.Retry.Window, 1)
}

// recordAttempt counts a send to a server, as a request or as a retry, for the retry allowance.
func (t *Table) recordAttempt(now time.Time, svc *service, s *server, req Request) {
	t.fleetSize = max(t.fleetSize, req.FleetSize)
	svc.dirty = true
	switch {
	case req.Retry:
		s.counts.retries++
		svc.totals.retries++
		svc.ownSends.retries.add(now, t.conf.Retry.Window, 1)
		t.charge(now, svc)
	case req.FirstAttempt && !req.Counted:
		s.counts.requests++
		svc.totals.requests++
		svc.ownSends.requests.add(now, t.conf.Retry.Window, 1)
	}
}

// spentAllowance is the share of the allowance of this host's segment that was spent in the last
// window, 0 to 1, as far as this host knows. Costs depend on it; what may be spent is decided by the
// budget.
func (t *Table) spentAllowance(now time.Time, name string, fleetSize int) float64 {
	svc, rule := t.service(name), t.conf.Retry
	requests, retries, hosts := svc.sharedSends(now, rule.Window)
	reserve := rule.Reserve * float64(hosts) / float64(max(fleetSize, hosts))
	allowance := fullySpent * (rule.Share*float64(requests) + reserve)
	return min(float64(retries)/max(allowance, 1), 1)
}

// sharedSends sums the sends of this host and of the hosts that report to it in the last window.
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

// RetryDecision is whether a request may be retried, and what the host knew of the allowance.
type RetryDecision struct {
	Allowed bool
	// Used is how many retries this host has made or given to others in the last window, Allowance
	// how many it may, Received how many others have given to it.
	Used      int
	Allowance float64
	Received  int
	// Age is the time since this host was started.
	Age time.Duration
}

// AllowRetry reports whether a request of a service may be retried. fleetSize is the largest number
// of hosts that were ever live at the same time.
func (t *Table) AllowRetry(now time.Time, name string, fleetSize int) RetryDecision {
	t.fleetSize = max(t.fleetSize, fleetSize)
	svc := t.service(name)
	b := t.updateBudget(now, svc)
	if b.available() < 1 {
		b.refusedAt = now
		svc.dirty = true
	}
	return RetryDecision{b.available() >= 1, b.used, b.allowance, b.received, now.Sub(t.started)}
}
