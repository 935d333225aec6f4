package policy

import (
	"math"
	"time"
)

// Failures of a service's servers may last about as long each time, for instance as long as a
// restart takes. A request that runs only once is then lost if it tries a failing server before that
// time, and a server that is tried much later is out of use for nothing. The health model assumes
// that a failure ends at a constant rate, whatever its age. So each host learns, by service, how long
// failures last and how long servers are well between them, and replaces the assumption where the
// observed durations contradict it.
//
// Durations are Weibull distributed: their hazard, the rate of recovery by age, rises with the age
// for shapes above 1 and is constant for 1. An observation is the interval in which a failure has
// ended, between the last failed and the first good answer, because servers are tried rarely. The
// likelihood of all observations is kept for a grid of parameters, so that none need be stored.
const (
	// durationShapes and durationScales are the sizes of the grid. Scales are spaced by
	// durationScaleStep from minDurationScale to about 60 s.
	durationShapes    = 7
	durationScales    = 40
	durationScaleStep = 1.13
	minDurationScale  = 0.5 // seconds
	// outlierShare is the assumed share of failures that are none of the learnt kind: single errors
	// of a healthy server, and failures for another cause. Their durations follow the constant rate.
	outlierShare = 0.1
	// durationMemory is how many observations are remembered; the weight of older ones decays.
	durationMemory = 100
	// minDurations is the number of observations below which the constants hold.
	minDurations = 10
	// minDurationEvidence is the log likelihood ratio between the best distribution and the best one
	// of constant hazard above which the learnt one is used. It is half of 10.8, the quantile of the
	// chi-squared distribution for a false alarm in 1,000 (likelihood ratio test with one more
	// parameter), because the test is repeated with each observation. The comparison is with the best
	// constant hazard and not with the assumed one: a mean that differs by a factor of two shifts
	// decisions little, and failures that end at a constant rate must be treated as before.
	minDurationEvidence = 5.41
	// minDurationShape is the shape below which the hazard is too even for a better time to try.
	minDurationShape = 2
	// maxOnsetGap is the time between the last good answer and the first failure above which the
	// start of a failure is too uncertain to learn from.
	maxOnsetGap = 2 * time.Second
	// learntThreshold replaces failingThreshold where the learnt distribution is used. The belief
	// then falls within a short time, so that waiting for a lower one costs little.
	learntThreshold = 0.15
	// priorDurations is the number of points that stand for the assumed distribution. Together they
	// weigh as much as one observation.
	priorDurations = 4
)

// shapes are the Weibull shapes of the grid. The first is the constant hazard.
var shapes = [durationShapes]float64{1, 1.5, 2, 3, 5, 9, 16}

// durationModel is what a host has learnt about the failures of a service's servers.
type durationModel struct {
	// logLikelihood of the observations, by shape and scale.
	logLikelihood [durationShapes][durationScales]float64
	// observations is the number of failures that the model has learnt from, without a decay.
	observations int
	// inForce is set if the learnt distribution is used, of the given shape and scale in seconds.
	inForce      bool
	shape, scale float64
	evidence     float64
	// wellSeconds is the time between recoveries and next failures, onsets the number of these.
	wellSeconds, onsets float64
}

// episode is a failure of one server as far as it has been observed.
type episode struct {
	// startedAt is the first failure and gap the time from the last good answer to it. lastFailed is
	// the last failure, recoveredAt the first good answer after that; zero if there was none.
	startedAt, lastFailed, recoveredAt time.Time
	gap                                time.Duration
	// lastGood is the last good answer, wellSince the time up to which the server's well time is
	// counted, zero while it fails.
	lastGood, wellSince time.Time
}

// isFailing reports whether the server has failed and its recovery is not confirmed.
func (e *episode) isFailing() bool { return !e.startedAt.IsZero() }

func newDurationModel() *durationModel {
	d := &durationModel{wellSeconds: 1 / onsetPerSecond, onsets: 1}
	for i := range priorDurations { // the middles of equally probable parts of the assumed distribution
		at := -math.Log(1-(float64(i)+0.5)/priorDurations) / recoveryPerSecond
		d.add(0.9*at, 1.1*at, 1.0/priorDurations)
	}
	return d
}

// scaleAt is a scale of the grid in seconds.
func scaleAt(j int) float64 { return minDurationScale * math.Pow(durationScaleStep, float64(j)) }

// survival is the share of failures that last longer than age, in seconds.
func survival(age, shape, scale float64) float64 {
	learnt := math.Exp(-math.Pow(max(age, 0)/scale, shape))
	return (1-outlierShare)*learnt + outlierShare*math.Exp(-recoveryPerSecond*max(age, 0))
}

// add takes an interval in which a failure ended, in seconds since its start. high is infinite if the
// end was not observed.
func (d *durationModel) add(low, high, weight float64) {
	const keep = 1 - 1.0/durationMemory
	const smallest = 1e-9
	for i, shape := range shapes {
		for j := range durationScales {
			scale := scaleAt(j)
			p := survival(low, shape, scale)
			if !math.IsInf(high, 1) {
				p -= survival(high, shape, scale)
			}
			d.logLikelihood[i][j] = keep*d.logLikelihood[i][j] + weight*math.Log(max(p, smallest))
		}
	}
}

// learn adds an observation and decides whether the learnt distribution is used.
func (d *durationModel) learn(low, high float64) {
	d.add(low, high, 1)
	d.observations++
	constant, best := math.Inf(-1), math.Inf(-1)
	for i, shape := range shapes {
		for j, l := range d.logLikelihood[i] {
			if i == 0 {
				constant = max(constant, l)
			}
			if l > best {
				best, d.shape, d.scale = l, shape, scaleAt(j)
			}
		}
	}
	d.evidence = best - constant
	d.inForce = d.observations >= minDurations && d.evidence >= minDurationEvidence && d.shape >= minDurationShape
}

// stillFailing is the probability that a failure continues at an age, given that it did at an
// earlier one.
func (d *durationModel) stillFailing(age, earlier time.Duration) float64 {
	return survival(age.Seconds(), d.shape, d.scale) / survival(earlier.Seconds(), d.shape, d.scale)
}

// onsetRate is the rate at which a well server starts to fail, in 1/s.
func (d *durationModel) onsetRate() float64 { return d.onsets / d.wellSeconds }

// failed records a failure of a server.
func (d *durationModel) failed(now time.Time, e *episode) {
	e.recoveredAt = time.Time{} // a failing server answers some requests well
	if e.startedAt.IsZero() {
		e.startedAt, e.gap = now, maxOnsetGap+1
		if !e.lastGood.IsZero() {
			e.gap = now.Sub(e.lastGood)
		}
		if !e.wellSince.IsZero() {
			d.onsets++
			d.wellSeconds += now.Sub(e.wellSince).Seconds()
		}
		e.wellSince = time.Time{}
	}
	e.lastFailed = now
}

// answered records a good answer of a server. The second one in a row confirms that a failure is over.
func (d *durationModel) answered(now time.Time, e *episode) {
	switch {
	case e.startedAt.IsZero():
		if !e.wellSince.IsZero() {
			d.wellSeconds += now.Sub(e.wellSince).Seconds()
		}
		e.wellSince = now
	case e.recoveredAt.IsZero():
		e.recoveredAt = now
	default:
		d.close(e)
	}
	e.lastGood = now
}

// close learns from an episode that is over.
func (d *durationModel) close(e *episode) {
	if e.gap <= maxOnsetGap {
		d.learn(e.lastFailed.Sub(e.startedAt).Seconds(), (e.recoveredAt.Sub(e.startedAt) + e.gap).Seconds())
	}
	*e = episode{lastGood: e.lastGood, wellSince: e.recoveredAt}
}
