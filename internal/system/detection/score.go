package detection

import "math"

// The sequential tests take a server's share of failed, and of slow, answers
// against the usual share of its service: the median over its servers.
const (
	// minFailRate is the share of failures that is always held for usual.
	minFailRate = 0.005
	maxFailRate = 0.30
	// faultyFailFactor times the usual share, but at least faultyFailMin, is
	// what a failing server is tested against.
	faultyFailFactor = 3
	faultyFailMin    = 0.10

	// Bounds of the usual share of slow answers.
	minSlowRate = 0.02
	maxSlowRate = 0.30
	// initialSlowRate is that of exponentially distributed times.
	initialSlowRate  = 0.125
	faultySlowFactor = 3
	faultySlowMin    = 0.5

	maxFaultyRate = 0.9

	// rateGain is the weight of one answer in a server's share.
	rateGain = 1.0 / 64

	// peerFactor times the median score of the other servers is taken off a
	// server's own: when many servers look bad, none is singled out.
	peerFactor = 3

	// maxScore bounds a score, so that a server that recovers is cleared soon.
	maxScore = 40
)

// ratios are the log-likelihood ratios of a bad and a good answer.
type ratios struct{ bad, good float64 }

func ratiosOf(usual, faulty float64) ratios {
	faulty = min(faulty, maxFaultyRate)
	return ratios{bad: math.Log(faulty / usual), good: math.Log((1 - faulty) / (1 - usual))}
}

func failRatios(usual float64) ratios {
	usual = min(max(usual, minFailRate), maxFailRate)
	return ratiosOf(usual, max(faultyFailFactor*usual, faultyFailMin))
}

func slowRatios(usual float64) ratios {
	usual = min(max(usual, minSlowRate), maxSlowRate)
	return ratiosOf(usual, max(faultySlowFactor*usual, faultySlowMin))
}

// share is an exponentially weighted share of bad answers.
type share float64

func (s *share) add(bad, total uint32) {
	if total == 0 {
		return
	}
	kept := math.Pow(1-rateGain, float64(total))
	*s = share(kept*float64(*s) + (1-kept)*float64(bad)/float64(total))
}

// cusum is a cumulative sum test (Page, 1954) of faulty against healthy.
type cusum float64

// add takes counts of answers. Good ones go first: they came before the bad
// ones that made a report due.
func (c *cusum) add(r ratios, bad, good uint32) {
	c.move(r.good * float64(good))
	c.move(r.bad * float64(bad))
}

func (c *cusum) move(by float64) {
	*c = cusum(min(max(float64(*c)+by, 0), maxScore))
}
