package policy

import (
	"math"
	"slices"
	"time"
)

// A server in a spell may not fail requests but leave them unanswered. Then a
// failure shows only when a request's time is over, a second and more later, and
// all that are sent there meanwhile are lost with it. So a request that goes
// unanswered is evidence already while it waits, the more the fewer answers of its
// service take so long. Its answer takes that back: the evidence is computed from
// the requests that wait now, and nothing of it is kept.
//
// Hosts tell the age of their oldest request with what they tell anyway, and each
// computes the rest.
const (
	// maxSilence bounds the log odds from requests that wait (55 to 1): they may wait
	// for one cause, such as one long request before them.
	maxSilence = 4.0
	// hangGain is the weight of one failure in the share of failures that are
	// silent, hangPrior that share before any.
	hangGain  = 0.1
	hangPrior = 0.5
	// slowService is the share of late answers of a service at which requests that
	// wait say nothing any more: then it is the load that keeps them. Below it the
	// evidence counts in part.
	slowService = 0.15
	// overdue is the evidence, in log odds, from which a server that has a request
	// waiting counts as failing now: 8 to 1.
	overdue = 2.08
)

// pending is a request at a server that has no answer yet.
type pending struct {
	since    time.Time
	estimate         // when it was sent
	slowness float64 // of the server then
}

// hang is the chance that a request at a server in a spell is left unanswered.
func (svc *service) hang() float64 { return failInSpell * svc.silentShare }

// learnFailure notes whether a failure was silent.
func (svc *service) learnFailure(silent bool) {
	target := 0.0
	if silent {
		target = 1
	}
	svc.silentShare += hangGain * (target - svc.silentShare)
}

// silenceOf is the evidence for a spell, in log odds, of a request that has gone
// unanswered for some time.
func (svc *service) silenceOf(age, expected time.Duration) float64 {
	sound := svc.times.beyondAfter(age, expected)
	if age <= 0 || sound > 0.999 {
		return 0 // no time at all has passed, by what is usual
	}
	hang := svc.hang()
	return math.Log((hang + (1-hang)*sound) / sound)
}

// silence is the evidence of all requests that wait at a server.
func (s *server) silence(now time.Time, svc *service) float64 {
	if !svc.uses.silence {
		return 0
	}
	if len(s.pending)+len(s.busy) == 0 {
		return 0
	}
	total := int64(0) // in millionths: the sum must not depend on the order
	for _, p := range s.pending {
		total += int64(1e6 * svc.silenceOf(now.Sub(p.since), p.expected))
	}
	for _, peer := range s.busy {
		if now.Sub(peer.at) < peerExpiry {
			total += int64(1e6 * svc.silenceOf(now.Sub(peer.oldest), peer.expected))
		}
	}
	return min(float64(total)/1e6, maxSilence) * svc.calm(now)
}

// calm is 1 where answers of a service come in time, and 0 where so many are late
// that waiting says nothing of one server.
func (svc *service) calm(now time.Time) float64 {
	if !now.Equal(svc.calmAt) { // each pick asks for each server
		svc.calmAt = now
		svc.calmNow = max(1-svc.lateShare(now)/slowService, 0)
	}
	return svc.calmNow
}

// belief is the belief that a server is in a spell, with the evidence of the
// requests that wait there.
func (s *server) belief(now time.Time, svc *service) float64 {
	if !svc.uses.spells {
		return stationary
	}
	p := s.spell.now(now)
	odds := math.Exp(s.silence(now, svc))
	return p * odds / (p*odds + 1 - p)
}

// failure is the chance that the next request at a server fails.
func (s *server) failure(now time.Time, svc *service) float64 {
	return failSound + (failInSpell-failSound)*s.belief(now, svc)
}

// removePending forgets a request that has ended.
func (s *server) removePending(p *pending) {
	if i := slices.Index(s.pending, p); i >= 0 {
		s.pending = slices.Delete(s.pending, i, i+1)
	}
}

// oldestAge is how long this host's oldest request waits at a server.
func (s *server) oldestAge(now time.Time) time.Duration {
	age := time.Duration(0)
	for _, p := range s.pending {
		age = max(age, now.Sub(p.since))
	}
	return age
}
