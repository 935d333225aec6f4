package membership_test

import (
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
)

// A change reaches every host by gossip alone, before the periodic full-state comparison
// (every 30 s) would repair a miss.
func TestGossipReachesEveryHost(t *testing.T) {
	for _, n := range []int{8, 40} {
		missed := 0
		const rounds = 60
		for range rounds {
			m := newNetwork(n)
			m.run(5 * time.Second) // initial rows are disseminated
			m.lists[0].SetLeaving(m.now)
			m.run(5 * time.Second)
			for _, l := range m.lists {
				if row := l.Member("h00"); row == nil || !row.Leaving || row.Liveness != peerpb.Liveness_LIVENESS_ALIVE {
					missed++
				}
			}
		}
		if missed > 0 {
			t.Errorf("%d hosts: %d of %d deliveries of a change missed", n, missed, n*rounds)
		}
	}
}
