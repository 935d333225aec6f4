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
	ratioLeast   = 0.1
	ratioBuckets = 56
	// timesMemory is how many answers are remembered; older ones lose half of their
	// weight each time that many have come. A host sees a few a second.
	timesMemory = 400
	// Before any answer the distribution is log-normal, as work often is, with the
	// weight of priorAnswers and a tail of one in fifty up to ratioBuckets.
	priorAnswers = 20
	priorSpread  = 0.4
	priorTail    = 0.02
)

// times is the distribution of the time to the header of a good answer, in units
// of the time expected when the request was sent.
type times struct {
	weights [ratioBuckets]float64
	// above is the sum of the weights of higher buckets: it is asked for far more
	// often than an answer comes.
	above [ratioBuckets]float64
	total float64
}

func newTimes() times {
	var t times
	for i := range t.weights {
		z := math.Log(ratioLeast*math.Pow(ratioStep, float64(i))) / priorSpread
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
	t.sum()
	return t
}

// sum adds up the weights.
func (t *times) sum() {
	t.total = 0
	for i := ratioBuckets - 1; i >= 0; i-- {
		t.above[i] = t.total
		t.total += t.weights[i]
	}
}

// bucketsPerE is the number of buckets for a factor of e.
var bucketsPerE = 1 / math.Log(ratioStep)

func ratioBucket(ratio float64) int {
	if ratio <= ratioLeast {
		return 0
	}
	return min(int(math.Log(ratio/ratioLeast)*bucketsPerE), ratioBuckets-1)
}

// add notes an answer that took ratio times what was expected.
func (t *times) add(ratio float64) {
	t.weights[ratioBucket(ratio)]++
	if t.total+1 >= 2*timesMemory {
		for i := range t.weights {
			t.weights[i] /= 2
		}
	}
	t.sum()
}

// beyond is the share of answers that take longer than a ratio, above 0.
func (t *times) beyond(ratio float64) float64 {
	return max(t.above[ratioBucket(ratio)]/t.total, 1/(2*t.total))
}

// quantile is the ratio that a share of the answers stays below.
func (t *times) quantile(share float64) float64 {
	for i, above := range t.above {
		if above <= (1-share)*t.total {
			return ratioLeast * math.Pow(ratioStep, float64(i+1))
		}
	}
	return ratioLeast * math.Pow(ratioStep, ratioBuckets)
}

// beyondAfter is the chance that an answer expected to take some time comes
// after limit.
func (t *times) beyondAfter(limit, expected time.Duration) float64 {
	if limit <= 0 {
		return 1
	}
	return t.beyond(float64(limit) / float64(max(expected, time.Microsecond)))
}
