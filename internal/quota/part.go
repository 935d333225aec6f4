package quota

import (
	"math"
	"time"
)

// While hosts cannot hear each other, each side of a cut gives out its own part of a limit.
// A host's part is what it let through of all that the fleet did, as of when its home last
// heard it. A home gives out all parts but those of hosts that it no longer hears; a new
// home does not know who else there is, and gives out the parts that hosts tell it they
// had at the one before.

// lookEvery is how often a home goes through its users.
const lookEvery = 200 * time.Millisecond

// setPart changes the part of the limit that this home gives out. A new home begins with
// few tokens, and more as it hears of more hosts: it does not know what was spent.
func (h *home) setPart(now time.Time, part float64) {
	if part > h.started && now.Sub(h.since) < youngFor {
		h.tokens += math.Max(youngBucket*capacity(h.limit), 1) * (part - h.started)
		h.started = part
	}
	h.part = part
}

// look goes through the users: it forgets those that are long gone, and works out which
// part of the limit belongs to the hosts that this home hears. The part of a host that is
// not heard stays what it was, however much the others use meanwhile.
func (t *Table) look(now time.Time, h *home) {
	h.lookedAt = now
	h.credits = 0
	var heard, kept, inherited float64
	h.forgetUsers(now)
	for _, name := range h.order {
		u := h.users[name]
		if t.keeps(now, name, u) {
			kept += u.part
		} else {
			heard += u.use
			inherited += u.inherited
		}
		if now.Before(u.until) {
			h.credits += u.credit
		}
	}
	h.setPart(now, t.partOf(now, h, kept, inherited))
	for _, name := range h.order {
		if u := h.users[name]; heard > 0 && !t.keeps(now, name, u) {
			u.part = h.part * u.use / heard
		}
	}
}

// keeps reports whether a host's part is kept back: it is not heard and may be out of
// reach. One that is silent within reach serves the customer no more.
func (t *Table) keeps(now time.Time, name string, u *user) bool {
	if name == t.self || now.Sub(u.heard) <= silentAfter {
		return false
	}
	return u.again && now.Sub(u.heard) <= 2*silentAfter || !t.fleet.Live(name)
}

// partOf is the part of the limit that this home gives out: all but what it keeps back, or
// what the hosts that it hears had at an earlier home.
func (t *Table) partOf(now time.Time, h *home, kept, inherited float64) float64 {
	switch {
	case t.rule.EqualParts && now.Sub(t.changedAt) < keptFor:
		return t.fleet.reachable()
	case t.rule.EqualParts:
		return 1
	case t.hearsAll(h.name) || now.Sub(h.since) >= keptFor:
		return math.Max(1-kept, 0)
	case h.inheritedAt.IsZero():
		return math.Min(t.fleet.reachable(), math.Max(1-kept, 0))
	case now.Sub(h.inheritedAt) < keptFor:
		return math.Min(inherited, 1)
	default:
		return math.Max(1-kept, 0)
	}
}

// hearsAll reports whether this host hears as good as all hosts and is the customer's home
// by its own list of them. A host that is asked by others alone may be behind: they know
// of a cut that it has not noticed yet.
func (t *Table) hearsAll(name string) bool {
	return t.fleet.reachable() >= wholeFleet && t.homeName(name) == t.self
}

// inherit keeps the part that a host had at an earlier home, measured some time ago, as it
// tells it with its first usage.
func (h *home) inherit(now time.Time, u *user, part float64, age time.Duration) {
	if now.Sub(h.since) < youngFor && part > 0 && age < keptFor {
		u.inherited = part
		h.inheritedAt = now.Add(-age)
	}
}
