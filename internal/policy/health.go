package policy

import (
	"math"
	"time"
)

// Parameters of the two-state model. They need not be exact: an error by a factor of two shifts a
// decision by a few hundred milliseconds.
const (
	// onsetPerSecond is the rate at which a healthy server starts to fail, recoveryPerSecond the
	// rate at which a failing one recovers: failures last about 8 s and start every 20 s.
	onsetPerSecond    = 1.0 / 20
	recoveryPerSecond = 1.0 / 8
	// healthyFailureRate and failingFailureRate are the shares of requests that fail on a healthy
	// and on a failing server.
	healthyFailureRate = 0.012
	failingFailureRate = 0.75
	// healthyFastFailureRate is the share of requests that fail immediately, or bring no answer,
	// on a healthy server. Nearly all errors there take the time of a request's work; the rest is
	// a margin for unexplained failures.
	healthyFastFailureRate = 0.001
	// lateErrorLikelihoodRatio is the likelihood ratio of an error after the typical work of a
	// request. Nearly all such errors are caused by the request; the ratio is above 1 because a
	// server may also fail after its work, so that five in a row indicate a failing server.
	lateErrorLikelihoodRatio = 2.0
	// unreachableLikelihoodRatio is the likelihood ratio of a failed connection, which may be
	// caused by the network path of a single host.
	unreachableLikelihoodRatio = 6.0
	// maxBelief limits the belief, so that a few good answers are enough to clear a server.
	maxBelief = 0.99
	// newServerBelief is the initial belief for a server that has just started.
	newServerBelief = 0.05
)

// healthModel estimates the probability that a backend server is failing: a two-state hidden Markov
// model whose observations are the outcomes of requests.
type healthModel struct {
	probability float64
	at          time.Time
	// durations is what is known of the service's failures, nil if the constants hold. episode is the
	// current failure of this server.
	durations *durationModel
	episode   episode
}

// stationaryBelief is the belief without any observation.
const stationaryBelief = onsetPerSecond / (onsetPerSecond + recoveryPerSecond)

// probabilityAt returns the probability at a given time. Without observations it decays to
// stationaryBelief.
func (s *healthModel) probabilityAt(now time.Time) float64 {
	if s.usesLearnt() {
		return s.learntProbabilityAt(now)
	}
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

// usesLearnt reports whether the learnt durations apply: the server is in a failure, and they differ
// clearly from the assumed ones.
func (s *healthModel) usesLearnt() bool {
	return s.durations != nil && s.durations.inForce && s.episode.isFailing()
}

// threshold is the belief below which the server is kept in use in normal operation.
func (s *healthModel) threshold() float64 {
	if s.usesLearnt() {
		return learntThreshold
	}
	return failingThreshold
}

// learntProbabilityAt is probabilityAt of a server in a failure, by the learnt durations: the failure
// continues with a probability that depends on its age, and after its end another may have begun.
func (s *healthModel) learntProbabilityAt(now time.Time) float64 {
	started := s.episode.startedAt
	continues := s.probability * s.durations.stillFailing(now.Sub(started), s.at.Sub(started))
	onset := s.durations.onsetRate()
	stationary := onset / (onset + recoveryPerSecond)
	again := stationary * (1 - math.Exp(-(onset+recoveryPerSecond)*max(now.Sub(s.at).Seconds(), 0)))
	return continues + (1-continues)*again
}

func (s *healthModel) observeFailure(now time.Time) {
	if s.durations != nil {
		s.durations.failed(now, &s.episode)
	}
	s.update(now, failingFailureRate/healthyFastFailureRate)
}
func (s *healthModel) observeLateError(now time.Time) { s.update(now, lateErrorLikelihoodRatio) }
func (s *healthModel) observeSuccess(now time.Time) {
	if s.durations != nil {
		s.durations.answered(now, &s.episode)
	}
	s.update(now, (1-failingFailureRate)/(1-healthyFailureRate))
}
func (s *healthModel) observeUnanswered(now time.Time, logOdds float64) {
	s.update(now, math.Exp(logOdds))
}
func (s *healthModel) observeUnreachable(now time.Time) { s.update(now, unreachableLikelihoodRatio) }
