package replay

import (
	"testing"

	"github.com/pearshelf/pearshelf/internal/policy"
)

// leastSavedByDurations is the share of requests that must be served in addition because servers are
// not tried before their failure is over.
const leastSavedByDurations = 0.0005

// Servers that fail for 12 s each time were tried after 7 s by requests that run only once.
func TestLearntDurationsSaveRequests(t *testing.T) {
	t.Parallel()
	with, _ := playOver(t, 6, "fixed-spells")
	without, _ := playOver(t, 6, "fixed-spells", policy.MechanismLearntDurations)
	t.Logf("unserved %.4f, without the mechanism %.4f", with.Unserved(), without.Unserved())
	if with.Unserved() > without.Unserved()-leastSavedByDurations {
		t.Errorf("unserved %.4f, without the mechanism %.4f", with.Unserved(), without.Unserved())
	}
}
