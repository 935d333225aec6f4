package detection

import "math"

// Error rates of the sequential test on failures: a healthy backend server
// fails at most healthyFailRate, a faulty one at least faultyFailRate.
const (
	healthyFailRate = 0.005
	faultyFailRate  = 0.10

	// Bounds of the usual share of slow answers in a service.
	minSlowRate = 0.02
	maxSlowRate = 0.40
	// initialSlowRate is that of exponentially distributed times.
	initialSlowRate = 0.125
	// faultySlowFactor times the usual share, but at least faultySlowMin, is
	// what a slow server is tested against.
	faultySlowFactor = 2.5
	faultySlowMin    = 0.5
	faultySlowMax    = 0.9
	// slowRateGain is the weight of one answer in the usual share.
	slowRateGain = 1.0 / 256

	// maxScore bounds a score, so that a server that recovers is cleared soon.
	maxScore = 40
)

var (
	failLLR = math.Log(faultyFailRate / healthyFailRate)
	passLLR = math.Log((1 - faultyFailRate) / (1 - healthyFailRate))
)

// slowLLR returns the log-likelihood ratios of a slow and a quick answer where
// the usual share of slow ones is rate.
func slowLLR(rate float64) (slow, quick float64) {
	healthy := min(max(rate, minSlowRate), maxSlowRate)
	faulty := min(max(faultySlowFactor*healthy, faultySlowMin), faultySlowMax)
	return math.Log(faulty / healthy), math.Log((1 - faulty) / (1 - healthy))
}

// cusum is a cumulative sum test (Page, 1954) of faulty against healthy.
type cusum float64

func (c *cusum) add(llr float64, count uint32) {
	sum := float64(*c) + llr*float64(count)
	*c = cusum(min(max(sum, 0), maxScore))
}
