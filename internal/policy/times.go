package policy

import (
	"math"
	"time"
)

// Whether a request that waits will still be answered depends on how widely the
// times of its service spread: at some 1.5 times the usual time nearly all answers
// have come, at others a tenth come after 3 times. So the times are observed, as
// ratios to the time that was expected when the request was sent, queue included:
// then one distribution serves all servers and loads of a service.
const (
	// ratioStep is the width of a bucket; ratioLeast and ratioBuckets make the range
	// 0.1 to 20 times the expected time.
	ratioStep    = 1.1
	minRatio     = 0.1
	ratioBuckets = 56
	// latencyHistory is how many answers are remembered; older ones lose half of their
	// weight each time that many have come. A host sees a few a second.
	latencyHistory = 400
	// Before any answer the distribution is log-normal, as work often is, with the
	// weight of priorAnswers and a tail of one in fifty up to ratioBuckets.
	priorAnswers = 20
	priorSpread  = 0.4
	priorTail    = 0.02
)

// latencyDistribution is the distribution of the time to the header of a good answer, in units
// of the time expected when the request was sent.
type latencyDistribution struct {
	weights [ratioBuckets]float64
	// above is the sum of the weights of higher buckets: it is asked for far more
	// often than an answer comes.
	above [ratioBuckets]float64
	total float64
}

func newLatencyDistribution() latencyDistribution {
	var t latencyDistribution
	for i := range t.weights {
		z := math.Log(minRatio*math.Pow(ratioStep, float64(i))) / priorSpread
		t.weights[i] = math.Exp(-z * z / 2)
		t.total += t.weights[i]
	}
	scale := priorAnswers / t.total
	for i := range t.weights {
		t.weights[i] *= scale
		if i > ratioBuckets/2 {
			t.weights[i] += priorAnswers * priorTail / (ratioBuckets / 2)
		}
	}
	t.updateSums()
	return t
}

// updateSums adds up the weights.
func (t *latencyDistribution) updateSums() {
	t.total = 0
	for i := ratioBuckets - 1; i >= 0; i-- {
		t.above[i] = t.total
		t.total += t.weights[i]
	}
}

// bucketsPerE is the number of buckets for a factor of e.
var bucketsPerE = 1 / math.Log(ratioStep)

func ratioBucket(ratio float64) int {
	if ratio <= minRatio {
		return 0
	}
	return min(int(math.Log(ratio/minRatio)*bucketsPerE), ratioBuckets-1)
}

// add notes an answer that took ratio times what was expected.
func (t *latencyDistribution) add(ratio float64) {
	t.weights[ratioBucket(ratio)]++
	if t.total+1 >= 2*latencyHistory {
		for i := range t.weights {
			t.weights[i] /= 2
		}
	}
	t.updateSums()
}

// shareAbove is the share of answers that take longer than a ratio, above 0.
func (t *latencyDistribution) shareAbove(ratio float64) float64 {
	return max(t.above[ratioBucket(ratio)]/t.total, 1/(2*t.total))
}

// quantile is the ratio that a share of the answers stays below.
func (t *latencyDistribution) quantile(share float64) float64 {
	for i, above := range t.above {
		if above <= (1-share)*t.total {
			return minRatio * math.Pow(ratioStep, float64(i+1))
		}
	}
	return minRatio * math.Pow(ratioStep, ratioBuckets)
}

// probabilityAfter is the chance that an answer expected to take some time comes
// after limit.
func (t *latencyDistribution) probabilityAfter(limit, expected time.Duration) float64 {
	if limit <= 0 {
		return 1
	}
	return t.shareAbove(float64(limit) / float64(max(expected, time.Microsecond)))
}
