package quota

import (
	"math"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/customer"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
)

// served is a customer as a host that serves it knows it.
type served struct {
	name  string
	limit customer.Limit
	// home by the fleet of homeVersion, and the number of its term.
	home        string
	homeVersion uint64
	term        uint64

	use         meter
	lastRequest time.Time
	// allowedTotal and refusedTotal count requests.
	allowedTotal, refusedTotal uint64
	spent                      uint64 // of the home's credits, in this term
	credit                     float64
	creditUntil                time.Time
	returned                   int // allowed, but not sent
	returnedUntil              time.Time
	usageAt                    time.Time // the next usage, zero for none

	// question under way, ask 0 for none.
	ask      uint64
	askedAt  time.Time
	askTries int
	wanted   int
	waiting  []func(Verdict)

	// pausedUntil is when another question makes sense, turn the time between two tokens
	// for this host, promised when the last refused caller was told to come back.
	pausedUntil time.Time
	turn        time.Duration
	promised    time.Time

	// unheard is set while the home does not answer. part is this host's part of the limit
	// as the home last told it.
	unheard bool
	part    float64
	heardAt time.Time
	alone   bucket // what is spent while the home is not heard
}

// Take asks for one request of a customer. It returns the verdict, or false if the home
// has to be asked first: then done is called with it later.
func (t *Table) Take(now time.Time, name string, limit customer.Limit, done func(Verdict)) (Verdict, bool) {
	s := t.servedCustomer(now, name, limit)
	s.lastRequest = now
	switch {
	case !t.fleet.Settled: // homes are not known yet
		return t.takeAlone(now, s), true
	case s.takeReturned(now):
		return s.allowed(now), true
	case s.home == t.self:
		return t.takeAtHome(now, s), true
	case s.takeCredit(now):
		return s.allowed(now), true
	case now.Before(s.pausedUntil):
		return s.refused(now), true
	case s.unheard:
		return t.takeAlone(now, s), true
	}
	s.waiting = append(s.waiting, done)
	if s.ask == 0 {
		t.question(now, s)
	}
	return Verdict{}, false
}

func (t *Table) servedCustomer(now time.Time, name string, limit customer.Limit) *served {
	s, ok := t.served[name]
	if !ok {
		s = &served{name: name, alone: bucket{at: now}}
		if t.rule.SavesAlone {
			s.alone.tokens = t.rule.LeastAlone
		}
		t.served[name] = s
		t.order = append(t.order, s)
	}
	s.limit = limit
	if s.home == "" || s.homeVersion != t.fleet.Version {
		t.findHome(s)
	}
	if s.usageAt.IsZero() && s.isOften(now) {
		s.usageAt = now.Add(usageEvery)
		t.due.Add(s.usageAt)
	}
	return s
}

// isOften reports whether usages go out by themselves.
func (s *served) isOften(now time.Time) bool {
	return s.use.rate(now) >= oftenUse && now.Sub(s.lastRequest) <= 2*usageEvery
}

// findHome asks the fleet who the customer's home is now.
func (t *Table) findHome(s *served) {
	s.homeVersion = t.fleet.Version
	if home := t.homeName(s.name); home != s.home {
		s.home = home
		s.term++
		s.spent, s.credit = 0, 0
		s.unheard = false
		s.pausedUntil = time.Time{}
	}
}

// homeName is the customer's home by this host's list of hosts.
func (t *Table) homeName(customer string) string {
	if top := rendezvous.Top(customer, t.fleet.Homes, 1); len(top) > 0 {
		return top[0]
	}
	return t.self
}

// takeAtHome decides where this host is the home itself.
func (t *Table) takeAtHome(now time.Time, s *served) Verdict {
	h := t.homeOf(now, s.name, s.limit)
	u, made := h.user(t.self, 0)
	if made {
		h.inherit(now, u, s.part, now.Sub(s.heardAt))
	}
	u.use, u.heard = s.use.rate(now), now
	if u.part == 0 || now.Sub(h.since) < youngFor {
		t.look(now, h)
	}
	s.heard(now, u.part)
	if h.take() {
		return s.allowed(now)
	}
	t.pause(now, s, h.pause(now, u, t.rule.MostPause))
	return s.refused(now)
}

// takeAlone decides where the home is not heard: from this host's part of the limit, by
// what it let through before, and a little for customers that come anew.
func (t *Table) takeAlone(now time.Time, s *served) Verdict {
	part := t.partAlone(now, s)
	size := 1.0
	if s.part > 0 || !t.fleet.Settled {
		size = t.rule.LeastAlone
	}
	s.alone.refill(now, s.limit.PerSecond*part, math.Max(capacity(s.limit)*part, size))
	if s.alone.take() {
		return s.allowed(now)
	}
	t.pause(now, s, inSeconds(1/math.Max(s.limit.PerSecond*part, 0.01)))
	verdict := s.refused(now)
	s.pausedUntil = time.Time{} // the bucket is asked each time
	return verdict
}

func (t *Table) partAlone(now time.Time, s *served) float64 {
	hosts := float64(t.fleet.Size)
	if !t.fleet.Settled {
		hosts = math.Max(hosts, assumedHosts)
	}
	if t.rule.EqualParts || s.part == 0 || now.Sub(s.heardAt) >= keptFor {
		return 1 / hosts
	}
	return math.Min(s.part+unheardShare/hosts, 1)
}

func (s *served) takeCredit(now time.Time) bool {
	if s.credit < 1 || !now.Before(s.creditUntil) {
		return false
	}
	s.credit--
	s.spent++
	return true
}

// Return gives back what a request was allowed that was not sent after all. The next request
// of this host may have it, for as long as a credit.
func (t *Table) Return(now time.Time, name string) {
	s, ok := t.served[name]
	if !ok {
		return
	}
	if now.After(s.returnedUntil) {
		s.returned = 0
	}
	s.returned++
	s.returnedUntil = now.Add(creditLife)
	s.use.add(now, -1)
	s.allowedTotal--
	s.pausedUntil = time.Time{}
}

func (s *served) takeReturned(now time.Time) bool {
	if s.returned == 0 || now.After(s.returnedUntil) {
		return false
	}
	s.returned--
	return true
}

// Promise is when a request may come back that any of these customers would do for, and was
// refused without asking for one. It counts as told, so that the next is told a later time.
func (t *Table) Promise(now time.Time, names []string) time.Duration {
	var first *served
	for _, name := range names {
		if s, ok := t.served[name]; ok && (first == nil || s.nextTurn(now).Before(first.nextTurn(now))) {
			first = s
		}
	}
	if first == nil {
		return 0
	}
	return first.refused(now).RetryAfter
}

func (s *served) allowed(now time.Time) Verdict {
	s.use.add(now, 1)
	s.allowedTotal++
	return Verdict{OK: true}
}

// refused tells a caller when to come back: one after another, at the rate at which
// tokens come to this host.
func (s *served) refused(now time.Time) Verdict {
	at := s.nextTurn(now)
	s.promised = at
	s.refusedTotal++
	return Verdict{RetryAfter: min(at.Sub(now), mostRetryAfter), AskAgain: s.pausedUntil.Sub(now)}
}

// nextTurn is when the next refused caller may come back.
func (s *served) nextTurn(now time.Time) time.Time {
	turn := max(s.turn, leastPause)
	at := now.Add(turn)
	if s.promised.After(now) {
		at = s.promised.Add(turn)
	}
	if s.pausedUntil.After(at) {
		at = s.pausedUntil
	}
	return at
}

func (t *Table) pause(now time.Time, s *served, turn time.Duration) {
	s.turn = turn
	s.pausedUntil = now.Add(min(turn, t.rule.MostPause))
}

// Tick does what the time calls for, and sets when it is due again.
func (t *Table) Tick(now time.Time) {
	t.due.Reset()
	for _, s := range t.order {
		t.tickServed(now, s)
		t.due.Add(s.usageAt)
		t.due.Add(s.questionDue())
	}
	t.forget(now)
}

func (s *served) questionDue() time.Time {
	if s.ask == 0 {
		return time.Time{}
	}
	return s.askedAt.Add(questionTimeout)
}

func (t *Table) tickServed(now time.Time, s *served) {
	if s.homeVersion != t.fleet.Version {
		t.findHome(s)
	}
	if s.ask != 0 && !now.Before(s.questionDue()) {
		t.repeatQuestion(now, s)
	}
	if s.usageAt.IsZero() || now.Before(s.usageAt) {
		return
	}
	s.usageAt = time.Time{}
	if s.home == t.self {
		return
	}
	t.tell(now, s) // the last one says that it is the last
	if s.unheard && now.Sub(s.lastRequest) <= keptFor {
		s.usageAt = now.Add(probeEvery)
	}
}

// forget drops customers that nobody has asked for long, here and as their home.
func (t *Table) forget(now time.Time) {
	t.order = slices.DeleteFunc(t.order, func(s *served) bool {
		gone := now.Sub(s.lastRequest) > keptFor
		if gone {
			delete(t.served, s.name)
		}
		return gone
	})
	for name, h := range t.homes {
		if now.Sub(h.at) > keptFor {
			delete(t.homes, name)
		}
	}
}
