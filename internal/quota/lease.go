package quota

import (
	"math"
	"time"
)

// A customer that sends far beyond its limit would cost a token request for each of its requests
// that no back-off covers. Its home instead leases a part of the limit's rate to each host that
// asks, and the host decides by itself until the lease ends. The home refills its own bucket only
// with what is not leased, so that a lease that is lost, or held by a host that is cut off, is
// never spent twice.

const (
	// leaseTTL is the duration of a lease. It is below silenceTimeout, so that a host is heard in
	// time although it sends nothing during a lease.
	leaseTTL = 1500 * time.Millisecond
	// leaseDemand is the multiple of the limit that all hosts must receive for leases. With less,
	// the tokens of one host may be left over while another has none.
	leaseDemand = 1.5
	// leasablePart is the part of the limit's rate that is leased at most. The rest serves hosts
	// without a lease and repays tokens that were spent in advance.
	leasablePart = 0.9
	// leaseSize is the capacity of a host's bucket during a lease. More than one token covers the
	// uneven arrival of requests.
	leaseSize = 2.0
	// leasePart is the part of the tolerance that hosts may spend in advance at their first lease.
	// With empty buckets all hosts would have their first tokens late and at the same time, and
	// each would lose a part of a token when its leases end.
	leasePart = 0.4
	// lostPart is the part of leased tokens that is not spent: those of a host that gets no
	// request in time, and the rest of a token at the end of a lease. The home refills its own
	// bucket with as much in advance, at most with lostExcess of the tolerance.
	lostPart   = 0.08
	lostExcess = 0.4
	// demandWindow is the averaging window of the rate of requests that a host receives. It is
	// short because a customer begins to exceed its limit at once.
	demandWindow = 2 * time.Second
	// demandTTL is for how long a home counts the demand that a host reported.
	demandTTL = 3 * time.Second
)

// lease is a host's right to spend tokens without a request to the home.
type lease struct {
	rate   float64
	until  time.Time
	bucket bucket
}

// active reports whether the lease is in force.
func (l *lease) active(now time.Time) bool { return now.Before(l.until) }

// renew starts a lease or extends it. What is left of a token counts on, more expires with the
// lease. first is the content of the bucket at the first lease after a pause.
func (l *lease) renew(now time.Time, rate float64, ttl time.Duration, first float64) {
	if now.Sub(l.until) < leaseTTL {
		l.bucket.refill(l.until, l.rate, leaseSize)
		l.bucket.tokens = math.Min(l.bucket.tokens, 1)
	} else {
		l.bucket.tokens = first
	}
	l.bucket.at = now
	l.rate, l.until = rate, now.Add(ttl)
}

// take takes a token of an active lease.
func (l *lease) take(now time.Time) bool {
	l.bucket.refill(now, l.rate, leaseSize)
	return l.bucket.take()
}

// leaseTo returns the rate that a host is leased from now on, 0 for none.
func (t *Table) leaseTo(now time.Time, h *home, u *hostUsage) float64 {
	if !t.usesTolerance() || u.demand <= 0 || h.tokens >= 1 {
		return 0
	}
	all, leased := 0.0, 0.0
	for _, name := range h.hostOrder {
		other := h.hosts[name]
		if now.Sub(other.lastHeard) <= demandTTL {
			all += other.demand
		}
		if other != u {
			leased += other.leasedAt(now)
		}
	}
	perSecond := h.limit.PerSecond * h.share
	rate := math.Min(perSecond*leasablePart*u.demand/all, perSecond*leasablePart-leased)
	if all < leaseDemand*perSecond || rate*leaseTTL.Seconds() < 1 {
		return 0
	}
	u.leaseRate, u.leaseUntil = rate, now.Add(leaseTTL)
	return rate
}

// firstLeaseTokens returns what this host may spend in advance at its first lease: less than one
// token, and half of that on average over hosts.
func (t *Table) firstLeaseTokens(s *customerState) float64 {
	each := 2 * leasePart * t.rule.Tolerance.of(s.limit) / math.Max(float64(t.fleet.PeakSize), 1)
	return math.Min(each, 1) * t.phase(s.name)
}

// leasedRate returns the rate that is leased to hosts and that they are expected to spend.
func (t *Table) leasedRate(now time.Time, h *home) float64 {
	leased := 0.0
	for _, name := range h.hostOrder {
		leased += h.hosts[name].leasedAt(now)
	}
	return leased * (1 - math.Min(lostPart, lostExcess*t.rule.Tolerance.Excess))
}

// leasedAt returns the rate that a host is leased.
func (u *hostUsage) leasedAt(now time.Time) float64 {
	if !now.Before(u.leaseUntil) {
		return 0
	}
	return u.leaseRate
}
