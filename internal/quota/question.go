package quota

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
)

// A host asks a customer's home for tokens where it has no credit: one question for all
// requests that wait, repeated once if no answer comes. A repeat has the number of the
// question, so that the home takes its tokens once.

// question asks the home for tokens for all requests that wait.
func (t *Table) question(now time.Time, s *served) {
	t.asks++
	s.ask = t.asks
	s.askedAt = now
	s.askTries = 1
	s.wanted = len(s.waiting)
	t.tell(now, s)
	t.due.Add(s.questionDue())
}

// tell sends a usage, with the question that is under way.
func (t *Table) tell(now time.Time, s *served) {
	usage := &peerpb.CustomerUsage{
		Customer: s.name,
		Spent:    s.spent,
		Term:     s.term,
		Use:      s.use.rate(now),
		Ask:      s.ask,
		Wanted:   uint32(s.wanted),
	}
	if age := now.Sub(s.heardAt); s.part > 0 && age < keptFor {
		usage.Part = s.part
		usage.PartAgeMs = uint32(age.Milliseconds())
	}
	if s.ask == 0 {
		usage.Wanted = 0
	}
	if usage.Again = s.isOften(now); usage.Again {
		s.usageAt = now.Add(usageEvery)
	}
	t.send(s.home, usage)
}

// send gathers the usages of one moment for one host.
func (t *Table) send(to string, usage *peerpb.CustomerUsage) {
	for i := range t.out {
		if t.out[i].To == to && t.out[i].Grants == nil {
			t.out[i].Usages = append(t.out[i].Usages, usage)
			return
		}
	}
	t.out = append(t.out, Message{To: to, Usages: []*peerpb.CustomerUsage{usage}})
}

// Grants takes the answers of a home.
func (t *Table) Grants(now time.Time, from string, grants []*peerpb.CustomerGrant) {
	for _, g := range grants {
		if s, ok := t.served[g.Customer]; ok && s.home == from {
			t.granted(now, s, g)
		}
	}
}

func (t *Table) granted(now time.Time, s *served, g *peerpb.CustomerGrant) {
	s.heard(now, g.Part)
	s.credit = float64(g.Credit)
	s.creditUntil = now.Add(creditLife)
	if g.Ask == 0 || g.Ask != s.ask {
		return
	}
	s.ask = 0
	refused := int(g.Granted) < s.wanted
	if refused {
		t.pause(now, s, time.Duration(g.PauseMs)*time.Millisecond)
	}
	s.settle(int(g.Granted), func() Verdict { return s.allowed(now) })
	switch {
	case refused:
		s.settle(len(s.waiting), func() Verdict { return s.refused(now) })
	case len(s.waiting) > 0: // came after the question
		t.question(now, s)
	}
}

// goAlone lets this host go on at its part until the home answers.
func (t *Table) goAlone(now time.Time, s *served) {
	if !s.unheard && !t.rule.SavesAlone {
		s.alone = bucket{at: now}
	}
	s.unheard = true
	s.usageAt = now.Add(probeEvery)
}

// heard notes that the home answered.
func (s *served) heard(now time.Time, part float64) {
	s.unheard = false
	s.heardAt = now
	s.part = part
}

// settle decides the first n requests that wait.
func (s *served) settle(n int, verdict func() Verdict) {
	n = min(n, len(s.waiting))
	decided := s.waiting[:n]
	s.waiting = s.waiting[n:]
	for _, done := range decided {
		done(verdict())
	}
}

// repeatQuestion asks once more, and then decides without the home.
func (t *Table) repeatQuestion(now time.Time, s *served) {
	if s.askTries < questionTries && s.home != t.self {
		s.askTries++
		s.askedAt = now
		t.tell(now, s)
		return
	}
	s.ask = 0
	t.goAlone(now, s)
	s.settle(len(s.waiting), func() Verdict { return t.takeAlone(now, s) })
}
