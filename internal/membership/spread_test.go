package membership_test

import (
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
)

// A change reaches every host by gossip alone, without the full comparison that
// would repair a miss half a minute later.
func TestGossipReachesEveryHost(t *testing.T) {
	for _, n := range []int{8, 40} {
		missed := 0
		const rounds = 60
		for range rounds {
			m := newMesh(n)
			m.run(5 * time.Second) // the first rows are through
			m.lists[0].SetLeaving(m.now)
			m.run(5 * time.Second)
			for _, l := range m.lists {
				if row := l.Member("h00"); row == nil || !row.Leaving || row.Liveness != peerpb.Liveness_LIVENESS_ALIVE {
					missed++
				}
			}
		}
		if missed > 0 {
			t.Errorf("%d hosts: %d of %d missed a change", n, missed, n*rounds)
		}
	}
}
