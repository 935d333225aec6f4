package detection

import (
	"math/rand/v2"
	"time"
)

const (
	baselineHosts       = 40
	baselineConsecutive = 5
	baselineLimit       = 30 * time.Minute
)

// Alone is the baseline in which each of 40 hosts ejects by itself after five
// failures in a row. It returns when half of the hosts had ejected the server.
func Alone(rate float64, fault Fault, seed uint64) time.Duration {
	rng := rand.New(rand.NewPCG(seed, 2))
	var times []time.Duration
	for range baselineHosts {
		times = append(times, aloneOne(rng, rate/baselineHosts, fault))
	}
	return Summarize(times).Median
}

func aloneOne(rng *rand.Rand, rate float64, fault Fault) time.Duration {
	inRow := 0
	for at := 0.0; at < baselineLimit.Seconds(); at += rng.ExpFloat64() / rate {
		if rng.Float64() >= fault.ErrorRate {
			inRow = 0
			continue
		}
		inRow++
		if inRow == baselineConsecutive {
			return time.Duration(at * float64(time.Second))
		}
	}
	return never
}
