package quota

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
)

// A host without credit requests tokens from the customer's home: one token request for all
// requests that wait, repeated once if there is no answer. The repetition carries the same ID,
// so that the home takes the tokens only once.

// requestTokens requests tokens from the home for all requests that wait.
func (t *Table) requestTokens(now time.Time, s *customerState) {
	t.lastRequestID++
	s.requestID = t.lastRequestID
	s.requestedAt = now
	s.attempts = 1
	s.wanted = len(s.waiting)
	t.sendUsage(now, s)
	t.nextTick.Add(s.requestDeadline())
}

// sendUsage queues a usage report, including the token request in progress, if any.
func (t *Table) sendUsage(now time.Time, s *customerState) {
	usage := &peerpb.CustomerUsage{
		Customer: s.name,
		Spent:    s.spent,
		Term:     s.term,
		Use:      s.meter.rate(now),
		Ask:      s.requestID,
		Wanted:   uint32(s.wanted),
	}
	if now.Sub(s.refusedAt) < demandTTL {
		usage.Demand = s.demand.rate(now)
	}
	if age := now.Sub(s.lastGrantAt); s.share > 0 && age < shareRetention {
		usage.Part = s.share
		usage.PartAgeMs = uint32(age.Milliseconds())
	}
	if s.requestID == 0 {
		usage.Wanted = 0
	}
	if usage.Again = s.isFrequent(now); usage.Again {
		s.nextUsageAt = now.Add(usageInterval)
	}
	t.queueUsage(s.home, usage)
}

// queueUsage adds a usage report to the message to its host.
func (t *Table) queueUsage(to string, usage *peerpb.CustomerUsage) {
	for i := range t.outbox {
		if t.outbox[i].To == to && t.outbox[i].Grants == nil {
			t.outbox[i].Usages = append(t.outbox[i].Usages, usage)
			return
		}
	}
	t.outbox = append(t.outbox, Message{To: to, Usages: []*peerpb.CustomerUsage{usage}})
}

// Grants handles the grants from a home.
func (t *Table) Grants(now time.Time, from string, grants []*peerpb.CustomerGrant) {
	for _, g := range grants {
		if s, ok := t.customers[g.Customer]; ok && s.home == from {
			t.applyGrant(now, s, g)
		}
	}
}

func (t *Table) applyGrant(now time.Time, s *customerState, g *peerpb.CustomerGrant) {
	t.noteGrant(now, s, g.Part)
	s.credit = float64(g.Credit)
	s.creditUntil = now.Add(creditTTL)
	if g.Ask == 0 || g.Ask != s.requestID {
		return
	}
	s.requestID = 0
	refused := int(g.Granted) < s.wanted
	switch {
	case g.LeaseRate > 0:
		s.lease.renew(now, g.LeaseRate, time.Duration(g.LeaseMs)*time.Millisecond, t.firstLeaseTokens(s))
		s.tokenInterval, s.backoffUntil = secondsToDuration(1/g.LeaseRate), time.Time{}
	case refused:
		t.backOff(now, s, time.Duration(g.PauseMs)*time.Millisecond)
	}
	s.resolve(int(g.Granted), func() Decision { return s.allow(now) })
	switch {
	case s.lease.active(now):
		s.resolve(len(s.waiting), func() Decision { return t.takeLease(now, s) })
	case refused:
		s.resolve(len(s.waiting), func() Decision { return t.refuse(now, s) })
	case len(s.waiting) > 0: // arrived after the token request was sent
		t.requestTokens(now, s)
	}
}

// enterFallback limits requests by this host's share until the home answers.
func (t *Table) enterFallback(now time.Time, s *customerState) {
	if !s.homeUnreachable && !t.rule.AccruesFallback {
		s.fallback = bucket{at: now}
	}
	s.homeUnreachable = true
	s.nextUsageAt = now.Add(probeInterval)
}

// noteGrant records an answer from the home.
func (t *Table) noteGrant(now time.Time, s *customerState, share float64) {
	s.homeUnreachable = false
	if s.inFallback {
		s.fallback.at = now // what the home distributes from now on does not accrue here too
		s.inFallback = t.isSeparated()
	}
	s.lastGrantAt = now
	s.share = share
}

// resolve decides the first n waiting requests.
func (s *customerState) resolve(n int, verdict func() Decision) {
	n = min(n, len(s.waiting))
	decided := s.waiting[:n]
	s.waiting = s.waiting[n:]
	for _, done := range decided {
		done(verdict())
	}
}

// retryRequest repeats the token request, or decides without the home after the last attempt.
func (t *Table) retryRequest(now time.Time, s *customerState) {
	if s.attempts < maxRequestAttempts && s.home != t.self {
		s.attempts++
		s.requestedAt = now
		t.sendUsage(now, s)
		return
	}
	s.requestID = 0
	t.enterFallback(now, s)
	s.resolve(len(s.waiting), func() Decision { return t.takeFallback(now, s) })
}
