package detection_test

import (
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/experiment/detection"
	"github.com/pearshelf/pearshelf/internal/config"
)

const runs = 30

// times makes runs of a fault and returns the spread of suspicion and ejection.
func times(conf detection.Config) (suspect, ejected detection.Summary, wrong int) {
	var s, e []time.Duration
	for seed := range uint64(runs) {
		conf.Seed = seed + 1
		result := detection.Run(conf)
		s = append(s, result.Suspect)
		e = append(e, result.Ejected)
		wrong += result.False
	}
	return detection.Summarize(s), detection.Summarize(e), wrong
}

func fault(f detection.Fault) detection.Config {
	return detection.Config{
		Detection: config.DetectionFast, Servers: 10, Rate: 10, Floor: 5,
		Warm: 20 * time.Second, Length: 60 * time.Second, Fault: f,
	}
}

// The aims of the project for detection time, by a moved clock and fixed seeds:
// the verdict is the same on every machine.
func TestDetectionTimeAims(t *testing.T) {
	aims := []struct {
		name        string
		fault       detection.Fault
		median, p99 time.Duration
	}{
		{"all fail", detection.Fault{ErrorRate: 1}, 600 * time.Millisecond, 1500 * time.Millisecond},
		{"30% fail", detection.Fault{ErrorRate: 0.3}, 2 * time.Second, 5 * time.Second},
		{"10% fail", detection.Fault{ErrorRate: 0.1}, 10 * time.Second, 40 * time.Second},
		{"slow x10", detection.Fault{Slow: 10}, 4 * time.Second, 10 * time.Second},
	}
	for _, aim := range aims {
		suspect, ejected, wrong := times(fault(aim.fault))
		t.Logf("%s: suspect %v/%v, ejected %v/%v, missed %d, false %d", aim.name, suspect.Median, suspect.P99, ejected.Median, ejected.P99, ejected.Missed, wrong)
		if ejected.Missed > 0 || ejected.Median > aim.median || ejected.P99 > aim.p99 {
			t.Errorf("%s: ejected %v/%v, aim %v/%v, missed %d", aim.name, ejected.Median, ejected.P99, aim.median, aim.p99, ejected.Missed)
		}
		if wrong > 0 {
			t.Errorf("%s: %d healthy servers ejected", aim.name, wrong)
		}
	}
}

// What is no single server's fault ejects none.
func TestNoFalseEjections(t *testing.T) {
	cases := map[string]detection.Config{
		"healthy":            {Length: 10 * time.Minute},
		"whole service slow": {Length: 3 * time.Minute, Fault: detection.Fault{Slow: 3}, All: true},
		"whole service bad":  {Length: 3 * time.Minute, Fault: detection.Fault{ErrorRate: 0.2}, All: true},
		"one host's network": {Length: 3 * time.Minute, BadHost: true},
		"one host's path":    {Length: 3 * time.Minute, BadPath: true},
	}
	for name, conf := range cases {
		conf.Detection = config.DetectionFast
		conf.Servers, conf.Rate, conf.Floor = 10, 10, 5
		conf.Warm = 20 * time.Second
		for seed := range uint64(3) {
			conf.Seed = seed + 1
			if result := detection.Run(conf); result.False > 0 {
				t.Errorf("%s, seed %d: %d false ejections", name, conf.Seed, result.False)
			}
		}
	}
}
