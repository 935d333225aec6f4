package quota

import (
	"math"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/customer"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
)

// customerState is the state of a customer at a host that serves it.
type customerState struct {
	name  string
	limit customer.Limit
	// home as of fleetVersion; term counts changes of the home.
	home         string
	fleetVersion uint64
	term         uint64

	meter       meter
	demand      meter // of all requests, served or not
	lease       lease
	refusedAt   time.Time
	lastRequest time.Time
	// allowedTotal and refusedTotal count requests.
	allowedTotal, refusedTotal uint64
	spent                      uint64 // credits spent in term
	credit                     float64
	creditUntil                time.Time
	returned                   int // tokens of requests that were allowed but not sent
	returnedUntil              time.Time
	nextUsageAt                time.Time // next usage report, zero for none

	// requestID identifies the token request in progress, 0 for none.
	requestID   uint64
	requestedAt time.Time
	attempts    int
	wanted      int
	waiting     []func(Decision)

	// backoffUntil is the earliest time for another token request, tokenInterval the time
	// between two tokens for this host, and lastRetryAt the time at which the last refused
	// caller was told to retry.
	backoffUntil  time.Time
	tokenInterval time.Duration
	lastRetryAt   time.Time

	// homeUnreachable is set while the home does not answer. share is this host's share of the
	// limit in the last grant.
	homeUnreachable bool
	share           float64
	lastGrantAt     time.Time
	fallback        bucket // spent while the home is unreachable
	inFallback      bool   // fallback was used since the home last answered
}

// Take decides on one request of a customer. If the home has to be asked first, it returns
// false and calls done with the verdict later.
func (t *Table) Take(now time.Time, name string, limit customer.Limit, done func(Decision)) (Decision, bool) {
	s := t.stateOf(now, name, limit)
	s.lastRequest = now
	s.demand.add(now, 1)
	switch {
	case !t.fleet.Settled, t.isAlone(now): // homes are not known or not reachable
		return t.takeFallback(now, s), true
	case s.takeReturned(now):
		return s.allow(now), true
	case s.home == t.self:
		return t.takeAsHome(now, s), true
	case s.takeCredit(now):
		return s.allow(now), true
	case s.lease.active(now):
		return t.takeLease(now, s), true
	case now.Before(s.backoffUntil):
		return t.refuse(now, s), true
	case s.homeUnreachable:
		return t.takeFallback(now, s), true
	}
	s.waiting = append(s.waiting, done)
	if s.requestID == 0 {
		t.requestTokens(now, s)
	}
	return Decision{}, false
}

// stateOf returns the state of a customer that this host serves, and creates it if absent.
func (t *Table) stateOf(now time.Time, name string, limit customer.Limit) *customerState {
	s, ok := t.customers[name]
	if !ok {
		s = &customerState{name: name, fallback: bucket{at: now}, demand: meter{window: demandWindow}}
		if t.rule.AccruesFallback {
			s.fallback.tokens = t.rule.MinFallbackBurst
		}
		t.customers[name] = s
		t.ordered = append(t.ordered, s)
	}
	s.limit = limit
	if s.home == "" || s.fleetVersion != t.fleet.Version {
		t.updateHome(s)
	}
	if s.nextUsageAt.IsZero() && s.isFrequent(now) {
		s.nextUsageAt = now.Add(usageInterval)
		t.nextTick.Add(s.nextUsageAt)
	}
	return s
}

// isFrequent reports whether usage is reported periodically.
func (s *customerState) isFrequent(now time.Time) bool {
	return s.meter.rate(now) >= frequentRate && now.Sub(s.lastRequest) <= 2*usageInterval
}

// updateHome determines the customer's home in the current fleet.
func (t *Table) updateHome(s *customerState) {
	s.fleetVersion = t.fleet.Version
	if home := t.homeName(s.name); home != s.home {
		s.home = home
		s.term++
		s.spent, s.credit = 0, 0
		s.homeUnreachable = false
		s.backoffUntil = time.Time{}
		s.lease.until = time.Time{}
	}
}

// homeName returns the customer's home by this host's list of hosts.
func (t *Table) homeName(customer string) string {
	if top := rendezvous.Top(customer, t.fleet.Homes, 1); len(top) > 0 {
		return top[0]
	}
	return t.self
}

// takeAsHome decides on a request at the customer's home itself.
func (t *Table) takeAsHome(now time.Time, s *customerState) Decision {
	h := t.homeFor(now, s.name, s.limit)
	u, made := h.hostUsage(t.self, 0)
	if made {
		h.inherit(now, u, s.share, now.Sub(s.lastGrantAt))
	}
	u.rate, u.lastHeard = s.meter.rate(now), now
	if u.share == 0 || now.Sub(h.since) < handoverPeriod {
		t.refreshShares(now, h)
	}
	t.noteGrant(now, s, u.share)
	if h.take() {
		return s.allow(now)
	}
	t.backOff(now, s, h.backOff(now, u, t.rule.MaxBackoff))
	return t.refuse(now, s)
}

// takeFallback decides on a request while the home is unreachable, from this host's share of the
// limit and a small reserve for customers that are new to this host.
func (t *Table) takeFallback(now time.Time, s *customerState) Decision {
	share := t.refillFallback(now, s)
	if s.fallback.take() {
		return s.allow(now)
	}
	t.backOff(now, s, secondsToDuration(1/math.Max(s.limit.PerSecond*share, 0.01)))
	verdict := s.refuse(now)
	s.backoffUntil = time.Time{} // every request checks the bucket
	return verdict
}

// refillFallback updates the bucket of this host's share and returns the share.
func (t *Table) refillFallback(now time.Time, s *customerState) float64 {
	share := t.fallbackShare(now, s)
	perSecond := s.limit.PerSecond * share
	if t.usesTolerance() && t.fleet.Settled && t.isSeparated() {
		t.refillWithTolerance(now, s, perSecond, share)
		return share
	}
	size := 1.0
	if s.share > 0 || !t.fleet.Settled {
		size = t.fallbackBurst(s.limit, perSecond)
	}
	s.fallback.refill(now, perSecond, math.Max(capacity(s.limit)*share, size))
	return share
}

func (t *Table) fallbackShare(now time.Time, s *customerState) float64 {
	hosts := float64(t.fleet.PeakSize)
	if !t.fleet.Settled {
		hosts = math.Max(hosts, assumedFleetSize)
	}
	if t.rule.EqualShares || s.share == 0 || now.Sub(s.lastGrantAt) >= shareRetention {
		return 1 / hosts
	}
	return math.Min(s.share+fallbackReserve/hosts, 1)
}

// takeLease decides on a request by the host's lease.
func (t *Table) takeLease(now time.Time, s *customerState) Decision {
	if s.lease.take(now) {
		return s.allow(now)
	}
	return t.refuse(now, s)
}

func (s *customerState) takeCredit(now time.Time) bool {
	if s.credit < 1 || !now.Before(s.creditUntil) {
		return false
	}
	s.credit--
	s.spent++
	return true
}

// ReturnToken gives back the token of a request that was allowed but not sent. The next request at
// this host may use it within creditTTL.
func (t *Table) ReturnToken(now time.Time, name string) {
	s, ok := t.customers[name]
	if !ok {
		return
	}
	if now.After(s.returnedUntil) {
		s.returned = 0
	}
	s.returned++
	s.returnedUntil = now.Add(creditTTL)
	s.meter.add(now, -1)
	s.allowedTotal--
	s.backoffUntil = time.Time{}
}

func (s *customerState) takeReturned(now time.Time) bool {
	if s.returned == 0 || now.After(s.returnedUntil) {
		return false
	}
	s.returned--
	return true
}

// ReserveRetry returns when a request may be retried that any of the named customers could serve and
// that was refused without a call of Take. The time counts as given out: the next caller gets a
// later one.
func (t *Table) ReserveRetry(now time.Time, names []string) time.Duration {
	var first *customerState
	for _, name := range names {
		if s, ok := t.customers[name]; ok && (first == nil || s.nextRetryAt(now).Before(first.nextRetryAt(now))) {
			first = s
		}
	}
	if first == nil {
		return 0
	}
	return first.refuse(now).RetryAfter
}

func (s *customerState) allow(now time.Time) Decision {
	s.meter.add(now, 1)
	s.allowedTotal++
	return Decision{OK: true}
}

// refuse refuses a request that the home has refused, unless this host may exceed the limit.
func (t *Table) refuse(now time.Time, s *customerState) Decision {
	if t.takeReserve(now, s) {
		return s.allow(now)
	}
	return s.refuse(now)
}

// refuse assigns a retry time to a refused caller. Retry times are spaced at the rate at which
// this host receives tokens.
func (s *customerState) refuse(now time.Time) Decision {
	at := s.nextRetryAt(now)
	s.lastRetryAt = at
	s.refusedAt = now
	s.refusedTotal++
	return Decision{RetryAfter: min(at.Sub(now), maxRetryAfter), Backoff: s.backoffUntil.Sub(now)}
}

// nextRetryAt returns the retry time for the next refused caller.
func (s *customerState) nextRetryAt(now time.Time) time.Time {
	interval := max(s.tokenInterval, minBackoff)
	at := now.Add(interval)
	if s.lastRetryAt.After(now) {
		at = s.lastRetryAt.Add(interval)
	}
	if s.backoffUntil.After(at) {
		at = s.backoffUntil
	}
	return at
}

// backOff suspends token requests for the interval, at most for MaxBackoff.
func (t *Table) backOff(now time.Time, s *customerState, interval time.Duration) {
	s.tokenInterval = interval
	s.backoffUntil = now.Add(min(interval, t.rule.MaxBackoff))
}

// Tick does the work that is due and schedules the next call.
func (t *Table) Tick(now time.Time) {
	t.nextTick.Reset()
	for _, s := range t.ordered {
		t.tickCustomer(now, s)
		t.nextTick.Add(s.nextUsageAt)
		t.nextTick.Add(s.requestDeadline())
	}
	t.forget(now)
}

func (s *customerState) requestDeadline() time.Time {
	if s.requestID == 0 {
		return time.Time{}
	}
	return s.requestedAt.Add(requestTimeout)
}

func (t *Table) tickCustomer(now time.Time, s *customerState) {
	if s.fleetVersion != t.fleet.Version {
		t.updateHome(s)
	}
	if s.requestID != 0 && !now.Before(s.requestDeadline()) {
		t.retryRequest(now, s)
	}
	if s.nextUsageAt.IsZero() || now.Before(s.nextUsageAt) {
		return
	}
	s.nextUsageAt = time.Time{}
	if s.home == t.self {
		return
	}
	t.sendUsage(now, s) // the last report carries Again unset
	if s.homeUnreachable && now.Sub(s.lastRequest) <= shareRetention {
		s.nextUsageAt = now.Add(probeInterval)
	}
}

// forget removes customers without recent requests, both those served and those homed here.
func (t *Table) forget(now time.Time) {
	t.ordered = slices.DeleteFunc(t.ordered, func(s *customerState) bool {
		expired := now.Sub(s.lastRequest) > shareRetention
		if expired {
			delete(t.customers, s.name)
		}
		return expired
	})
	for name, h := range t.homes {
		if now.Sub(h.at) > shareRetention {
			delete(t.homes, name)
		}
	}
}
