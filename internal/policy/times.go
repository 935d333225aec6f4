package policy

import (
	"math"
	"time"
)

// The probability that a waiting request will still be answered depends on the spread of the
// service's latencies: for some services nearly all answers have come after 1.5 times the typical
// latency, for others a tenth come after 3 times that. The latencies are therefore recorded as
// ratios to the latency that was expected when the request was sent, including the queue, so that
// one distribution describes all servers of a service under any load.
const (
	// ratioStep is the relative width of a bucket; with minRatio and ratioBuckets the range is
	// 0.1 to 20 times the expected latency.
	ratioStep    = 1.1
	minRatio     = 0.1
	ratioBuckets = 56
	// latencyHistory is the number of recent answers that the distribution represents. Older ones
	// lose half of their weight each time that many have come. A host sees a few per second.
	latencyHistory = 400
	// The initial distribution is log-normal, as service times often are, with the weight of
	// priorAnswers and a tail of one in fifty up to ratioBuckets.
	priorAnswers = 20
	priorSpread  = 0.4
	priorTail    = 0.02
)

// latencyDistribution is the distribution of the time to the header of a good answer, in units of
// the latency expected when the request was sent.
type latencyDistribution struct {
	weights [ratioBuckets]float64
	// above is the sum of the weights of all higher buckets. It is precomputed because it is read
	// far more often than answers come.
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

// updateSums recomputes the totals from the weights.
func (t *latencyDistribution) updateSums() {
	t.total = 0
	for i := ratioBuckets - 1; i >= 0; i-- {
		t.above[i] = t.total
		t.total += t.weights[i]
	}
}

// bucketsPerE is the number of buckets per factor of e.
var bucketsPerE = 1 / math.Log(ratioStep)

func ratioBucket(ratio float64) int {
	if ratio <= minRatio {
		return 0
	}
	return min(int(math.Log(ratio/minRatio)*bucketsPerE), ratioBuckets-1)
}

// add records an answer that took ratio times the expected latency.
func (t *latencyDistribution) add(ratio float64) {
	t.weights[ratioBucket(ratio)]++
	if t.total+1 >= 2*latencyHistory {
		for i := range t.weights {
			t.weights[i] /= 2
		}
	}
	t.updateSums()
}

// shareAbove is the share of answers with a higher ratio; it is never 0.
func (t *latencyDistribution) shareAbove(ratio float64) float64 {
	return max(t.above[ratioBucket(ratio)]/t.total, 1/(2*t.total))
}

// quantile is the ratio that the given share of answers does not exceed.
func (t *latencyDistribution) quantile(share float64) float64 {
	for i, above := range t.above {
		if above <= (1-share)*t.total {
			return minRatio * math.Pow(ratioStep, float64(i+1))
		}
	}
	return minRatio * math.Pow(ratioStep, ratioBuckets)
}

// probabilityAfter is the probability that an answer with the given expected latency takes longer
// than limit.
func (t *latencyDistribution) probabilityAfter(limit, expected time.Duration) float64 {
	if limit <= 0 {
		return 1
	}
	return t.shareAbove(float64(limit) / float64(max(expected, time.Microsecond)))
}
