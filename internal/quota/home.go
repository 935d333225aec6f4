package quota

import (
	"math"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/customer"
)

// home is the state of a customer at its home host.
type home struct {
	name  string
	limit customer.Limit
	bucket
	since     time.Time // this host became the home
	hosts     map[string]*hostUsage
	hostOrder []string // hosts by first report, for deterministic iteration
	// inheritedAt is the time at which the shares that hosts report from an earlier home were
	// measured, zero if there are none.
	inheritedAt time.Time
	// share of the limit that this home distributes, and initialShare, its largest value
	// during the handover period.
	share        float64
	initialShare float64
	// outstandingCredits are the unspent credits, as of refreshedAt.
	outstandingCredits float64
	refreshedAt        time.Time
	// refusalSecond is the current second in Unix time, followed by the number of hosts
	// refused in it and in the second before.
	refusalSecond                    int64
	refusedHosts, refusedHostsBefore int
}

// hostUsage is a home's state of a host that serves the customer.
type hostUsage struct {
	incarnation uint64
	term        uint64
	spent       uint64 // credits spent in term
	rate        float64
	// share of the rate of the whole fleet, as of lastHeard, and inheritedShare, the share at
	// an earlier home.
	share          float64
	inheritedShare float64
	frequent       bool // the host announced periodic usage reports
	lastHeard      time.Time
	requestID      uint64
	granted        uint32
	credit         float64
	creditUntil    time.Time // expiry of credit
	// demand is the rate of requests that the host receives. leaseRate is its lease until
	// leaseUntil.
	demand     float64
	leaseRate  float64
	leaseUntil time.Time
	// refusedSecond is the second, in Unix time, in which the host was last counted as refused.
	refusedSecond int64
}

// homeFor returns the state of a customer whose home is this host, and creates it if absent.
func (t *Table) homeFor(now time.Time, name string, limit customer.Limit) *home {
	h, ok := t.homes[name]
	if !ok {
		h = &home{name: name, since: now, hosts: make(map[string]*hostUsage)}
		h.at = now
		if now.Sub(t.fleetChangedAt) > stablePeriod && t.seesWholeFleet(name) {
			// No other host was the home recently, so no tokens were spent.
			h.tokens, h.initialShare = capacity(limit), 1
		}
		t.homes[name] = h
	}
	h.limit = limit
	if now.Sub(h.refreshedAt) >= refreshInterval {
		t.refreshShares(now, h)
	}
	h.refill(now, math.Max(limit.PerSecond*h.share-t.leasedRate(h.at, h), 0), capacity(limit))
	return h
}

// hostUsage returns the state of a host, and creates it if absent or of an earlier incarnation.
func (h *home) hostUsage(name string, incarnation uint64) (u *hostUsage, created bool) {
	u, known := h.hosts[name]
	if known && u.incarnation == incarnation {
		return u, false
	}
	if !known {
		h.hostOrder = append(h.hostOrder, name)
	}
	u = &hostUsage{incarnation: incarnation}
	h.hosts[name] = u
	return u, true
}

// forgetHosts removes hosts that have not reported within shareRetention.
func (h *home) forgetHosts(now time.Time) {
	h.hostOrder = slices.DeleteFunc(h.hostOrder, func(name string) bool {
		expired := now.Sub(h.hosts[name].lastHeard) > shareRetention
		if expired {
			delete(h.hosts, name)
		}
		return expired
	})
}

// Usages handles another host's usage reports on customers whose home is this host, and queues
// the grants in reply.
func (t *Table) Usages(now time.Time, from string, incarnation uint64, usages []*peerpb.CustomerUsage) {
	var grants []*peerpb.CustomerGrant
	for _, u := range usages {
		limit, known := t.limits(u.Customer)
		if !known || limit.Unlimited() {
			continue // unknown or unlimited here; the host applies its own configuration
		}
		grants = append(grants, t.grant(now, from, incarnation, limit, u))
	}
	if len(grants) > 0 {
		t.outbox = append(t.outbox, Message{To: from, Grants: grants})
	}
}

func (t *Table) grant(now time.Time, from string, incarnation uint64, limit customer.Limit, usage *peerpb.CustomerUsage) *peerpb.CustomerGrant {
	h := t.homeFor(now, usage.Customer, limit)
	u, created := h.hostUsage(from, incarnation)
	if created {
		h.inherit(now, u, usage.Part, time.Duration(usage.PartAgeMs)*time.Millisecond)
	}
	if usage.Term != u.term { // credits spent before this report are unknown and not charged
		u.term, u.spent = usage.Term, usage.Spent
	}
	if usage.Spent > u.spent {
		h.tokens -= float64(usage.Spent - u.spent)
		u.spent = usage.Spent
	}
	u.rate, u.demand, u.lastHeard, u.frequent = usage.Use, usage.Demand, now, usage.Again
	if u.share == 0 || now.Sub(h.since) < handoverPeriod {
		t.refreshShares(now, h)
	}
	answer := &peerpb.CustomerGrant{Customer: usage.Customer, Ask: usage.Ask, Part: u.share}
	if usage.Ask != 0 && usage.Ask == u.requestID {
		answer.Granted = u.granted
	} else if usage.Ask != 0 {
		u.requestID = usage.Ask
		u.granted = h.takeUpTo(usage.Wanted)
		answer.Granted = u.granted
	}
	if usage.Ask != 0 && answer.Granted < usage.Wanted {
		if rate := t.leaseTo(now, h, u); rate > 0 {
			answer.LeaseRate, answer.LeaseMs = rate, uint32(leaseTTL.Milliseconds())
		}
		answer.PauseMs = uint32(h.backOff(now, u, t.rule.MaxBackoff).Milliseconds())
	}
	answer.Credit = h.renewCredit(now, u)
	return answer
}

// takeUpTo takes the wanted number of tokens, or as many as there are.
func (h *home) takeUpTo(wanted uint32) uint32 {
	granted := uint32(math.Min(float64(wanted), math.Max(math.Floor(h.tokens), 0)))
	h.tokens -= float64(granted)
	return granted
}

// renewCredit replaces the credit of a host by a new one. It is 0 while the bucket is low: idle
// tokens at one host would be missing at others.
func (h *home) renewCredit(now time.Time, u *hostUsage) uint32 {
	if now.Before(u.creditUntil) {
		h.outstandingCredits -= u.credit
	}
	u.credit = 0
	if h.tokens >= creditThreshold*capacity(h.limit) {
		free := creditShare*h.tokens - math.Max(h.outstandingCredits, 0)
		wanted := math.Ceil(u.rate * creditTTL.Seconds())
		u.credit = math.Max(math.Floor(math.Min(math.Max(wanted, 1), free)), 0)
	}
	u.creditUntil = now.Add(creditTTL)
	h.outstandingCredits += u.credit
	return uint32(u.credit)
}

// backOff counts a host as refused and returns how long it sends no token request: the time in
// which a token accrues for each host that is being refused.
func (h *home) backOff(now time.Time, u *hostUsage, longest time.Duration) time.Duration {
	if second := now.Unix(); second != h.refusalSecond {
		h.refusedHostsBefore = 0
		if second == h.refusalSecond+1 {
			h.refusedHostsBefore = h.refusedHosts
		}
		h.refusalSecond, h.refusedHosts = second, 0
	}
	if u.refusedSecond != h.refusalSecond {
		u.refusedSecond = h.refusalSecond
		h.refusedHosts++
	}
	perSecond := math.Max(h.limit.PerSecond*h.share, 0.01)
	delay := secondsToDuration((float64(max(h.refusedHostsBefore, h.refusedHosts)) + math.Max(-h.tokens, 0)) / perSecond)
	return min(max(delay, minBackoff), longest)
}
