package quota

import (
	"math"
	"time"
)

// During a partition each side distributes its own share of a limit. A host's share is its
// fraction of the fleet's request rate, as of when its home last heard from it. A home
// distributes all shares except those reserved for hosts that it cannot hear. A new home does
// not know which other hosts there are, and distributes the shares that hosts report from the
// earlier home.

// refreshInterval is the interval at which a home recalculates the shares of hosts.
const refreshInterval = 200 * time.Millisecond

// setShare sets the share of the limit that this home distributes. A new home starts with few
// tokens and gains more as it hears from more hosts, since it does not know what was spent.
func (h *home) setShare(now time.Time, share float64) {
	if share > h.initialShare && now.Sub(h.since) < handoverPeriod {
		h.tokens += math.Max(newHomeFill*capacity(h.limit), 1) * (share - h.initialShare)
		h.initialShare = share
	}
	h.share = share
}

// refreshShares removes hosts that have not reported for long and recalculates the shares of
// those that this home hears. The share of a host that it does not hear is unchanged, however
// much the others request meanwhile.
func (t *Table) refreshShares(now time.Time, h *home) {
	h.refreshedAt = now
	h.outstandingCredits = 0
	var heardRate, reserved, inherited float64
	h.forgetHosts(now)
	for _, name := range h.hostOrder {
		u := h.hosts[name]
		if t.isReserved(now, name, u) {
			reserved += u.share
		} else {
			heardRate += u.rate + t.rateFloor()
			inherited += u.inheritedShare
		}
		if now.Before(u.creditUntil) {
			h.outstandingCredits += u.credit
		}
	}
	h.setShare(now, t.distributableShare(now, h, reserved, inherited))
	for _, name := range h.hostOrder {
		if u := h.hosts[name]; heardRate > 0 && !t.isReserved(now, name, u) {
			u.share = h.share * (u.rate + t.rateFloor()) / heardRate
		}
	}
}

// rateFloor is added to the rate of each host that serves a customer, where shares are by rate.
// With less than one request in rateWindow, a host's measured rate is mostly chance: callers that
// choose a host for each request would leave most hosts hardly any share in a partition.
func (t *Table) rateFloor() float64 {
	if t.rule.EqualShares {
		return 0
	}
	return 1 / rateWindow.Seconds()
}

// isReserved reports whether a host's share is reserved: the host is silent and may be
// unreachable. A silent host that is reachable no longer serves the customer.
func (t *Table) isReserved(now time.Time, name string, u *hostUsage) bool {
	if name == t.self || now.Sub(u.lastHeard) <= silenceTimeout {
		return false
	}
	return u.frequent && now.Sub(u.lastHeard) <= 2*silenceTimeout || !t.fleet.Live(name)
}

// distributableShare returns the share of the limit that this home distributes: all that is not
// reserved, or what the hosts that it hears had at an earlier home.
func (t *Table) distributableShare(now time.Time, h *home, reserved, inherited float64) float64 {
	switch {
	case t.rule.EqualShares && now.Sub(t.fleetChangedAt) < shareRetention:
		return t.fleet.reachableShare()
	case t.rule.EqualShares:
		return 1
	case t.seesWholeFleet(h.name) || now.Sub(h.since) >= shareRetention:
		return math.Max(1-reserved, 0)
	case h.inheritedAt.IsZero():
		return math.Min(t.fleet.reachableShare(), math.Max(1-reserved, 0))
	case now.Sub(h.inheritedAt) < shareRetention:
		return math.Min(inherited, 1)
	default:
		return math.Max(1-reserved, 0)
	}
}

// seesWholeFleet reports whether this host reaches nearly all hosts and is the customer's home
// by its own list of hosts. If it is the home only by the lists of others, its own list may be
// outdated: they may have detected a partition that it has not.
func (t *Table) seesWholeFleet(name string) bool {
	return t.fleet.reachableShare() >= completeFleet && t.homeName(name) == t.self
}

// inherit records the share that a host had at an earlier home, from the host's first report,
// and the age of that share.
func (h *home) inherit(now time.Time, u *hostUsage, share float64, age time.Duration) {
	if now.Sub(h.since) < handoverPeriod && share > 0 && age < shareRetention {
		u.inheritedShare = share
		h.inheritedAt = now.Add(-age)
	}
}
