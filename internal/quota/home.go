package quota

import (
	"math"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/customer"
)

// home is a customer's bucket at its home host.
type home struct {
	name  string
	limit customer.Limit
	bucket
	since time.Time // of this host as home
	users map[string]*user
	order []string // of users, as they came, so that equal runs are equal
	// inheritedAt is when the parts were measured that hosts told which knew an earlier
	// home, zero if none did.
	inheritedAt time.Time
	// part of the limit that this home gives out, and started, its largest value while the
	// home was new.
	part    float64
	started float64
	// credits may still be spent, as of the last look.
	credits  float64
	lookedAt time.Time
	// second and the hosts that were refused in it and in the one before.
	second                    int64
	refusedNow, refusedBefore int
}

// user is a host that serves the customer, as the home knows it.
type user struct {
	life  uint64
	term  uint64
	spent uint64 // of credits, in term
	use   float64
	// part of the fleet's use, as of when the host was last heard, and inherited, what it
	// was at an earlier home.
	part      float64
	inherited float64
	again     bool // it said that it would tell again soon
	heard     time.Time
	ask       uint64
	granted   uint32
	credit    float64
	until     time.Time // of credit
	// refusedIn is the second in which the host was last counted as refused.
	refusedIn int64
}

// homeOf returns this host's bucket of a customer, made if absent.
func (t *Table) homeOf(now time.Time, name string, limit customer.Limit) *home {
	h, ok := t.homes[name]
	if !ok {
		h = &home{name: name, since: now, users: make(map[string]*user)}
		h.at = now
		if now.Sub(t.changedAt) > steadyFor && t.hearsAll(name) {
			// No other host was this customer's home lately, so nobody spent anything.
			h.tokens, h.started = capacity(limit), 1
		}
		t.homes[name] = h
	}
	h.limit = limit
	if now.Sub(h.lookedAt) >= lookEvery {
		t.look(now, h)
	}
	h.refill(now, limit.PerSecond*h.part, capacity(limit))
	return h
}

// user returns the row of a host, made if absent or if it is of an earlier life.
func (h *home) user(name string, life uint64) (u *user, made bool) {
	u, known := h.users[name]
	if known && u.life == life {
		return u, false
	}
	if !known {
		h.order = append(h.order, name)
	}
	u = &user{life: life}
	h.users[name] = u
	return u, true
}

// forgetUsers drops hosts that are long gone.
func (h *home) forgetUsers(now time.Time) {
	h.order = slices.DeleteFunc(h.order, func(name string) bool {
		gone := now.Sub(h.users[name].heard) > keptFor
		if gone {
			delete(h.users, name)
		}
		return gone
	})
}

// Usages takes what another host tells of customers whose home this host is, and queues
// the answer.
func (t *Table) Usages(now time.Time, from string, life uint64, usages []*peerpb.CustomerUsage) {
	var grants []*peerpb.CustomerGrant
	for _, u := range usages {
		limit, known := t.limits(u.Customer)
		if !known || limit.None() {
			continue // the host goes by its own configuration
		}
		grants = append(grants, t.grant(now, from, life, limit, u))
	}
	if len(grants) > 0 {
		t.out = append(t.out, Message{To: from, Grants: grants})
	}
}

func (t *Table) grant(now time.Time, from string, life uint64, limit customer.Limit, told *peerpb.CustomerUsage) *peerpb.CustomerGrant {
	h := t.homeOf(now, told.Customer, limit)
	u, made := h.user(from, life)
	if made {
		h.inherit(now, u, told.Part, time.Duration(told.PartAgeMs)*time.Millisecond)
	}
	if told.Term != u.term { // what it spent before is not known here
		u.term, u.spent = told.Term, told.Spent
	}
	if told.Spent > u.spent {
		h.tokens -= float64(told.Spent - u.spent)
		u.spent = told.Spent
	}
	u.use, u.heard, u.again = told.Use, now, told.Again
	if u.part == 0 || now.Sub(h.since) < youngFor {
		t.look(now, h)
	}
	answer := &peerpb.CustomerGrant{Customer: told.Customer, Ask: told.Ask, Part: u.part}
	if told.Ask != 0 && told.Ask == u.ask {
		answer.Granted = u.granted
	} else if told.Ask != 0 {
		u.ask = told.Ask
		u.granted = h.takeUpTo(told.Wanted)
		answer.Granted = u.granted
	}
	if told.Ask != 0 && answer.Granted < told.Wanted {
		answer.PauseMs = uint32(h.pause(now, u, t.rule.MostPause).Milliseconds())
	}
	answer.Credit = h.giveCredit(now, u)
	return answer
}

// takeUpTo takes as many tokens as are wanted and there.
func (h *home) takeUpTo(wanted uint32) uint32 {
	granted := uint32(math.Min(float64(wanted), math.Max(math.Floor(h.tokens), 0)))
	h.tokens -= float64(granted)
	return granted
}

// giveCredit renews the tokens that a host may spend without a question. There are none
// while the bucket is low: tokens that lie idle on one host are missing on another.
func (h *home) giveCredit(now time.Time, u *user) uint32 {
	if now.Before(u.until) {
		h.credits -= u.credit
	}
	u.credit = 0
	if h.tokens >= creditsAbove*capacity(h.limit) {
		free := creditShare*h.tokens - math.Max(h.credits, 0)
		wanted := math.Ceil(u.use * creditLife.Seconds())
		u.credit = math.Max(math.Floor(math.Min(math.Max(wanted, 1), free)), 0)
	}
	u.until = now.Add(creditLife)
	h.credits += u.credit
	return uint32(u.credit)
}

// pause is for how long a refused host need not ask: tokens come one after another, and
// the refused hosts take turns.
func (h *home) pause(now time.Time, u *user, most time.Duration) time.Duration {
	if second := now.Unix(); second != h.second {
		h.refusedBefore = 0
		if second == h.second+1 {
			h.refusedBefore = h.refusedNow
		}
		h.second, h.refusedNow = second, 0
	}
	if u.refusedIn != h.second {
		u.refusedIn = h.second
		h.refusedNow++
	}
	perSecond := math.Max(h.limit.PerSecond*h.part, 0.01)
	turn := inSeconds((float64(max(h.refusedBefore, h.refusedNow)) + math.Max(-h.tokens, 0)) / perSecond)
	return min(max(turn, leastPause), most)
}
