package policy

import (
	"math"
	"time"
)

// Rates of the two-state model. They need not be exact: an error of a factor
// of two moves a decision by some hundred milliseconds.
const (
	// onsetPerSecond is how often a sound server begins to fail, recoveryPerSecond
	// how often a failing one recovers: spells last some 8 s and come every 20.
	onsetPerSecond    = 1.0 / 20
	recoveryPerSecond = 1.0 / 8
	// failSound and failInSpell are the shares of failed requests outside and in
	// a spell.
	failSound   = 0.012
	failInSpell = 0.75
	// quickFailSound is the share of requests that fail at once, or bring no
	// answer, outside a spell. Nearly all errors there take the time of a request's
	// work; the rest is room for what is not understood.
	quickFailSound = 0.001
	// lateErrorFactor is the likelihood ratio of an error after the usual time of
	// a request's work. Nearly all such errors are the request's own; it is above
	// 1 because a server may also fail after its work: five in a row are a spell.
	lateErrorFactor = 2.0
	// unreachableFactor is the likelihood ratio of a failed connection: it may
	// be the path of one host only.
	unreachableFactor = 6.0
	// maxBelief bounds the belief, so that a few good requests can clear a server.
	maxBelief = 0.99
	// newServer is the belief in a spell of a server that has just started.
	newServer = 0.05
)

// spell is the belief that a backend server is in a spell of failures: a
// two-state hidden Markov model whose observations are requests' outcomes.
type spell struct {
	probability float64
	at          time.Time
}

// stationary is the belief without any observation.
const stationary = onsetPerSecond / (onsetPerSecond + recoveryPerSecond)

// now returns the belief at a time: old knowledge fades towards stationary.
func (s *spell) now(now time.Time) float64 {
	age := max(now.Sub(s.at).Seconds(), 0)
	weight := math.Exp(-(onsetPerSecond + recoveryPerSecond) * age)
	return stationary + (s.probability-stationary)*weight
}

// observe multiplies the odds by a likelihood ratio.
func (s *spell) observe(now time.Time, ratio float64) {
	p := s.now(now)
	s.probability = min(p*ratio/(p*ratio+1-p), maxBelief)
	s.at = now
}

func (s *spell) failed(now time.Time)                  { s.observe(now, failInSpell/quickFailSound) }
func (s *spell) lateError(now time.Time)               { s.observe(now, lateErrorFactor) }
func (s *spell) good(now time.Time)                    { s.observe(now, (1-failInSpell)/(1-failSound)) }
func (s *spell) silent(now time.Time, logOdds float64) { s.observe(now, math.Exp(logOdds)) }
func (s *spell) unreachable(now time.Time)             { s.observe(now, unreachableFactor) }
