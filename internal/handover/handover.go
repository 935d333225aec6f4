// Package handover decides what a host that starts asks other hosts for: which hosts it asks, which of
// their answers count, and when it stops waiting for them. It is pure: it is given the time and the
// hosts, and makes no calls itself.
//
// The load is a rolling restart of all hosts, or single hosts that are killed, while the others go on.
// Package policy exports and imports the state (Table.Export and Import).
package handover

import (
	"math/rand/v2"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
)

const (
	// hostsAsked is how many hosts are asked at a time. Two answers suffice, as hosts of a data centre
	// know nearly the same; the third is for one that is down without being known to be.
	hostsAsked = 3
	// enoughAnswers is the number of answers that count after which no more hosts are asked.
	enoughAnswers = 2
	// AnswerTimeout is how long an answer is waited for. A round trip takes below 1 ms within a data
	// centre; a busy host needs tens.
	AnswerTimeout = 150 * time.Millisecond
	// MaxRounds bounds how often hosts are asked.
	MaxRounds = 3
	// MaxAsked is the largest number of hosts asked.
	MaxAsked = MaxRounds * hostsAsked
	// SearchTime is how long the host waits to learn of others of its data centre. Membership knows
	// them within 0.4 s of their start.
	SearchTime = time.Second
	// SendDelay is how long the first send waits for answers, from the first configuration on.
	SendDelay = 100 * time.Millisecond
)

// Exchange is the state of one host's questions after its start. It is not safe for concurrent use.
type Exchange struct {
	started time.Time
	random  *rand.Rand
	asked   map[string]bool
	rounds  int
	answers int
	// pending is the number of hosts that have been asked and have not answered.
	pending int
}

// New returns the exchange of a host that starts now.
func New(now time.Time, random *rand.Rand) *Exchange {
	return &Exchange{started: now, random: random, asked: make(map[string]bool)}
}

// Ask returns which of the hosts of the data centre to ask now, none while answers are due or if no
// more are needed. Each host is asked once.
func (e *Exchange) Ask(now time.Time, hosts []string) []string {
	if e.pending > 0 || e.Done(now) {
		return nil
	}
	var chosen []string
	for _, i := range e.random.Perm(len(hosts)) {
		if len(chosen) == hostsAsked {
			break
		}
		if host := hosts[i]; !e.asked[host] {
			e.asked[host] = true
			chosen = append(chosen, host)
		}
	}
	if len(chosen) > 0 {
		e.rounds++
		e.pending = len(chosen)
	}
	return chosen
}

// Answered records the answer of a host that was asked, nil if there was none in time. It reports
// whether the answer is to be applied: hosts that are young know as little as this one.
func (e *Exchange) Answered(answer *peerpb.HandoverResponse) (use bool) {
	e.pending = max(e.pending-1, 0)
	if answer == nil || answer.Young {
		return false
	}
	e.answers++
	return true
}

// Done reports whether no more hosts will be asked and no answer is due.
func (e *Exchange) Done(now time.Time) bool {
	if e.answers >= enoughAnswers {
		return true
	}
	return e.pending == 0 && (e.rounds >= MaxRounds || now.Sub(e.started) >= SearchTime)
}

// Answers is the number of answers that counted, Asked the number of hosts asked.
func (e *Exchange) Answers() int { return e.answers }

// Asked is the number of hosts asked.
func (e *Exchange) Asked() int { return len(e.asked) }
