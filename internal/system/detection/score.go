package detection

import "math"

// The sequential tests compare a server's rates of failed and slow answers with
// the baseline rates of its service, which are the medians over its servers.
const (
	// Bounds of the baseline failure rate. Failure rates up to minFailRate always
	// count as normal.
	minFailRate = 0.005
	maxFailRate = 0.30
	// The failure rate assumed for a faulty server is faultyFailFactor times the
	// baseline, but at least faultyFailMin.
	faultyFailFactor = 3
	faultyFailMin    = 0.10

	// Bounds of the baseline rate of slow answers.
	minSlowRate = 0.02
	maxSlowRate = 0.30
	// initialSlowRate is the rate for exponentially distributed latencies.
	initialSlowRate  = 0.125
	faultySlowFactor = 3
	faultySlowMin    = 0.5

	maxFaultyRate = 0.9

	// rateGain is the weight of one answer in a server's rates.
	rateGain = 1.0 / 64

	// peerFactor times the median score of the other servers is subtracted from a
	// server's own score, so that none is singled out if many appear faulty.
	peerFactor = 3

	// maxScore limits scores so that a server that recovers is cleared quickly.
	maxScore = 40
)

// ratios holds the log-likelihood ratios of a bad and a good answer.
type ratios struct{ bad, good float64 }

func ratiosOf(baseline, faulty float64) ratios {
	faulty = min(faulty, maxFaultyRate)
	return ratios{bad: math.Log(faulty / baseline), good: math.Log((1 - faulty) / (1 - baseline))}
}

func failRatios(baseline float64) ratios {
	baseline = min(max(baseline, minFailRate), maxFailRate)
	return ratiosOf(baseline, max(faultyFailFactor*baseline, faultyFailMin))
}

func slowRatios(baseline float64) ratios {
	baseline = min(max(baseline, minSlowRate), maxSlowRate)
	return ratiosOf(baseline, max(faultySlowFactor*baseline, faultySlowMin))
}

// rate is an exponentially weighted moving average of the share of bad answers.
type rate float64

func (s *rate) add(bad, total uint32) {
	if total == 0 {
		return
	}
	retained := math.Pow(1-rateGain, float64(total))
	*s = rate(retained*float64(*s) + (1-retained)*float64(bad)/float64(total))
}

// cusum is a cumulative sum test (Page, 1954) of a faulty against a healthy server.
type cusum float64

// add adds counts of answers, good ones first: they preceded the bad answers
// that triggered the report.
func (c *cusum) add(r ratios, bad, good uint32) {
	c.move(r.good * float64(good))
	c.move(r.bad * float64(bad))
}

func (c *cusum) move(by float64) {
	*c = cusum(min(max(float64(*c)+by, 0), maxScore))
}
