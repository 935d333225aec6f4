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
	// matureShare when those that start in their place begin to spend youngShare: the two add up to
	// the whole allowance.
	matureShare = 0.9
	youngShare  = 0.1
	// fullySpent is the part of the allowance of a segment's hosts that counts as all of it: not every
	// host can use its part.
	fullySpent = 0.75
	// peerTotalsTTL is how long the totals of a host are used after its last report. At two
	// requests a second, one host in 400 has nothing to report for that long.
	peerTotalsTTL = 3 * time.Second
	// giftTTL is how long a request for a retry is answered, and how long after it the retry may be
	// used.
	giftTTL = 200 * time.Millisecond
	// askPeriod is how long a host that lacks retries waits for the one that it has asked before it
	// asks another. The answer takes a round trip within the data centre.
	askPeriod = 10 * time.Millisecond
	// maxAsksInVain is how many hosts are asked without a gift before requests stop waiting for one,
	// for askPause. It bounds the messages while all hosts of a segment lack retries.
	maxAsksInVain = 5
	askPause      = time.Second
	// giftWait is how long a request waits for a retry from another host: the time in which
	// maxAsksInVain hosts are asked.
	giftWait = maxAsksInVain * askPeriod
	// wholeRetry is one retry in the units in which budgets are kept. keptRetries is what a host keeps
	// when it gives some to others. A host that has less than one retry cannot use it and keeps none.
	wholeRetry  = 1000
	keptRetries = 1 * wholeRetry
)

// retryBudget is what a host may still spend on retries of one service in a sliding window, in
// thousandths of a retry.
//
// A host spends at most a part of the allowance that its own requests and its part of the reserve
// bring, and what others have given it out of theirs. So the sum over all hosts keeps to the
// allowance of the fleet whichever hosts are killed, cut off, started or added, and whichever
// messages are lost. docs/design/retries-and-handover.md has the argument.
type retryBudget struct {
	// allowance is what this host may spend or give away in a window, used what it has spent or
	// given away in the last one.
	allowance int
	used      int
	// received is what other hosts have given, up to receivedUntil.
	received      int
	receivedUntil time.Time
	// gifts numbers the gifts to other hosts.
	gifts uint64
	// refusedAt is when a retry was last refused.
	refusedAt time.Time
}

// available is what the host may spend on retries.
func (b *retryBudget) available() int { return b.allowance - b.used + b.received }

// wantsRetry reports whether the host asks another one for a retry: it has none left, and has needed
// one recently.
func (b *retryBudget) wantsRetry(now time.Time) bool {
	return b.available() < wholeRetry && now.Sub(b.refusedAt) <= giftTTL
}

// canGive reports whether the host can give away a part of a retry. What others gave is not given
// away again.
func (b *retryBudget) canGive(now time.Time, part int, pooled bool) bool {
	free := b.allowance - b.used
	if pooled && free < wholeRetry && !b.wantsRetry(now) {
		return free >= part // of no use to this host at present
	}
	return free >= part+keptRetries
}

// lack is what the host needs in addition to make one retry.
func (b *retryBudget) lack(pooled bool) int {
	if !pooled {
		return wholeRetry
	}
	return min(max(wholeRetry-b.available(), 0), wholeRetry)
}

// updateBudget brings a service's retry budget up to date.
func (t *Table) updateBudget(now time.Time, svc *service) *retryBudget {
	rule, b := t.conf.Retry, &svc.budget
	// One bucket fewer than the window has, so that no request older than the window counts.
	earned := rule.Share * float64(svc.ownSends.requests.newest(now, rule.Window, windowBuckets))
	reserve := rule.Reserve / float64(max(t.fleetSize, 1))
	allowance := matureShare * (earned + reserve)
	if age := now.Sub(t.started); age < rule.Window {
		if !t.has(MechanismYoungReserve) {
			reserve = 0
		}
		// The reserve of a host in its first window grows with its age: however often a host is
		// restarted in a window, its processes together have youngShare of its part at most.
		allowance = youngShare * (earned + reserve*float64(max(age, 0))/float64(rule.Window))
	}
	b.allowance = int(allowance * wholeRetry)
	b.used = svc.charged.sum(now, rule.Window) + svc.given.sum(now, rule.Window+giftTTL)
	if now.After(b.receivedUntil) {
		b.received = 0
	}
	return b
}

// hasRetry reports whether a retry would be allowed.
func (t *Table) hasRetry(now time.Time, svc *service) bool {
	return t.updateBudget(now, svc).available() >= wholeRetry
}

// charge takes a retry from the budget, first from what other hosts gave.
func (t *Table) charge(now time.Time, svc *service) {
	b := t.updateBudget(now, svc)
	received := min(b.received, wholeRetry)
	b.received -= received
	svc.charged.add(now, t.conf.Retry.Window, wholeRetry-received)
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
		svc.arrivals.add(now, t.conf.Retry.Window, req.Priority)
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
	// Wait is how long to wait for a retry from another host if none is allowed now, 0 if none can be
	// expected. AllowRetry is to be called again every RetryAskPeriod and when GiftsReceived changes.
	Wait time.Duration
	// Used is how many retries this host has made or given to others in the last window, Allowance
	// how many it may, Received how many others have given to it.
	Used, Allowance, Received float64
	// Kept is how many retries are left to requests that earn more by them.
	Kept float64
	// Age is the time since this host was started.
	Age time.Duration
}

// RetryAskPeriod is how often a request that waits for a retry asks again.
const RetryAskPeriod = askPeriod

// AllowRetry reports whether a request of a service may be retried. fleetSize is the largest number
// of hosts that were ever live at the same time.
func (t *Table) AllowRetry(now time.Time, name string, fleetSize int) RetryDecision {
	return t.allowRetry(now, t.service(name), fleetSize, 0)
}

// allowRetry reports whether a retry is allowed that leaves a part of the budget to others.
func (t *Table) allowRetry(now time.Time, svc *service, fleetSize, kept int) RetryDecision {
	t.fleetSize = max(t.fleetSize, fleetSize)
	b := t.updateBudget(now, svc)
	d := RetryDecision{
		Allowed: b.available() >= wholeRetry+kept, Kept: inRetries(kept), Used: inRetries(b.used), Allowance: inRetries(b.allowance),
		Received: inRetries(b.received), Age: now.Sub(t.started),
	}
	if !d.Allowed && kept == 0 {
		b.refusedAt = now
		svc.dirty = true
		d.Wait = t.giftWait(now, svc)
	}
	return d
}

// inRetries converts thousandths of a retry.
func inRetries(thousandths int) float64 { return float64(thousandths) / wholeRetry }

// giftWait is how long a request without a retry waits for one from another host: a request that
// ends without waiting has no use of the gift that it causes.
func (t *Table) giftWait(now time.Time, svc *service) time.Duration {
	if !t.has(MechanismRetryGifts) || !t.has(MechanismGiftWait) {
		return 0
	}
	if now.Before(svc.noWaitUntil) || len(t.giftCandidates(now, svc)) == 0 {
		return 0
	}
	return giftWait
}

// GiftsReceived counts the gifts that other hosts gave to this one.
func (t *Table) GiftsReceived() uint64 { return t.giftsReceived }
