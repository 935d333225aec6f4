package policy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// observe lets a server fail for the given length again and again, while it is tried at random times,
// and returns what was learnt. The health model is that of a server which fails at the end.
func observe(length func() time.Duration, episodes int) (*durationModel, *healthModel, time.Time) {
	random := rand.New(rand.NewPCG(3, 4))
	d, now := newDurationModel(), time.Unix(1000, 0)
	s := &healthModel{probability: stationaryBelief, at: now, durations: d}
	for range episodes {
		began := now
		for end := began.Add(length()); now.Before(end); now = now.Add(time.Duration((0.5 + 3*random.Float64()) * float64(time.Second))) {
			s.observeFailure(now)
		}
		for range 40 {
			s.observeSuccess(now)
			now = now.Add(500 * time.Millisecond)
		}
	}
	s.observeFailure(now)
	return d, s, now
}

// Failures that last 12 s each time were tried again at a belief that had decayed at a constant rate:
// a request that runs only once was lost there before the 12 s were over.
func TestLearntDurationDelaysTrial(t *testing.T) {
	d, s, now := observe(func() time.Duration { return 12 * time.Second }, 30)
	if !d.inForce || math.Abs(d.scale-12) > 2 {
		t.Fatalf("learnt %.1f s of shape %.0f with evidence %.1f from %d failures", d.scale, d.shape, d.evidence, d.observations)
	}
	if belief := s.probabilityAt(now.Add(8 * time.Second)); belief < 0.9 {
		t.Errorf("belief %.2f in the middle of a failure", belief)
	}
	if belief := s.probabilityAt(now.Add(15 * time.Second)); belief > 0.3 {
		t.Errorf("belief %.2f after the usual end of a failure", belief)
	}
	s.durations = nil
	if belief := s.probabilityAt(now.Add(8 * time.Second)); belief > 0.9 {
		t.Errorf("without the mechanism, belief %.2f in the middle of a failure", belief)
	}
}

// Failures that end at a constant rate, and few failures of any kind, leave the beliefs exactly as the
// constants give them.
func TestConstantsHoldWithoutEvidence(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	exponential := func(mean float64) func() time.Duration {
		return func() time.Duration { return time.Duration(random.ExpFloat64() * mean * float64(time.Second)) }
	}
	for name, test := range map[string]struct {
		length   func() time.Duration
		episodes int
	}{
		"constant rate, 8 s":  {exponential(8), 200},
		"constant rate, 16 s": {exponential(16), 200},
		"few failures":        {func() time.Duration { return 12 * time.Second }, minDurations / 2},
	} {
		d, s, now := observe(test.length, test.episodes)
		if d.inForce {
			t.Errorf("%s: learnt %.1f s of shape %.1f with evidence %.1f", name, d.scale, d.shape, d.evidence)
		}
		constants := healthModel{probability: s.probability, at: s.at}
		if later := now.Add(5 * time.Second); s.probabilityAt(later) != constants.probabilityAt(later) {
			t.Errorf("%s: belief %v, by the constants %v", name, s.probabilityAt(later), constants.probabilityAt(later))
		}
	}
}
