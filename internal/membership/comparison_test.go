package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/gossip"
	"github.com/pearshelf/pearshelf/internal/membership"
)

// Most full-state comparisons are with hosts of the local data centre: while documents change,
// each comparison transfers all rows. Some are with hosts of other data centres, to repair
// changes that gossip lost there.
func TestSyncPrefersLocalDataCentre(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	l := membership.New(membership.Config{Host: "self", Address: "10.0.9.9:1", DataCentre: "dc0", ProbeInterval: time.Second, ProbeTimeout: 400 * time.Millisecond, GossipInterval: 100 * time.Millisecond, Seed: 1}, delegate{&network{}}, gossip.NewQueue(), now)
	remote := make(map[string]bool)
	var members []*peerpb.Member
	for i := range 100 {
		m := &peerpb.Member{Host: fmt.Sprint("h", i), Address: address(i), DataCentre: fmt.Sprint("dc", i%5), Incarnation: 1}
		remote[m.Address] = m.DataCentre != "dc0"
		members = append(members, m)
	}
	l.Merge(now, members)
	total, remoteCount := 0, 0
	for range 400 {
		now = now.Add(membership.DefaultSyncInterval)
		for _, target := range l.SyncTargets(now, nil) {
			total++
			if remote[target] {
				remoteCount++
			}
		}
	}
	if remoteCount == 0 || remoteCount > total/4 {
		t.Errorf("%d of %d comparisons were with hosts of other data centres, want between 1 and a quarter", remoteCount, total)
	}
}
