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
	// healthyFailureRate and failInSpell are the shares of failed requests outside and in
	// a spell.
	healthyFailureRate = 0.012
	failingFailureRate = 0.75
	// healthyFastFailureRate is the share of requests that fail at once, or bring no
	// answer, outside a spell. Nearly all errors there take the time of a request's
	// work; the rest is room for what is not understood.
	healthyFastFailureRate = 0.001
	// lateErrorLikelihoodRatio is the likelihood ratio of an error after the usual time of
	// a request's work. Nearly all such errors are the request's own; it is above
	// 1 because a server may also fail after its work: five in a row are a spell.
	lateErrorLikelihoodRatio = 2.0
	// unreachableLikelihoodRatio is the likelihood ratio of a failed connection: it may
	// be the path of one host only.
	unreachableLikelihoodRatio = 6.0
	// maxBelief bounds the belief, so that a few good requests can clear a server.
	maxBelief = 0.99
	// newServerBelief is the belief in a spell of a server that has just started.
	newServerBelief = 0.05
)

// healthModel is the belief that a backend server is in a healthModel of failures: a
// two-state hidden Markov model whose observations are requests' outcomes.
type healthModel struct {
	probability float64
	at          time.Time
}

// stationaryBelief is the belief without any observation.
const stationaryBelief = onsetPerSecond / (onsetPerSecond + recoveryPerSecond)

// probabilityAt returns the probabilityAt at a time: old knowledge fades towards stationary.
func (s *healthModel) probabilityAt(now time.Time) float64 {
	age := max(now.Sub(s.at).Seconds(), 0)
	weight := math.Exp(-(onsetPerSecond + recoveryPerSecond) * age)
	return stationaryBelief + (s.probability-stationaryBelief)*weight
}

// update multiplies the odds by a likelihood ratio.
func (s *healthModel) update(now time.Time, ratio float64) {
	p := s.probabilityAt(now)
	s.probability = min(p*ratio/(p*ratio+1-p), maxBelief)
	s.at = now
}

func (s *healthModel) observeFailure(now time.Time) {
	s.update(now, failingFailureRate/healthyFastFailureRate)
}
func (s *healthModel) observeLateError(now time.Time) { s.update(now, lateErrorLikelihoodRatio) }
func (s *healthModel) observeSuccess(now time.Time) {
	s.update(now, (1-failingFailureRate)/(1-healthyFailureRate))
}
func (s *healthModel) observeUnanswered(now time.Time, logOdds float64) {
	s.update(now, math.Exp(logOdds))
}
func (s *healthModel) observeUnreachable(now time.Time) { s.update(now, unreachableLikelihoodRatio) }
