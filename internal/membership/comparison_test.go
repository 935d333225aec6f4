package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/gossip"
	"github.com/pearshelf/pearshelf/internal/membership"
)

// Full comparisons are mostly with hosts of the own data centre: while documents change they bring
// all rows each time. Some are with others, to make up for what gossip lost there.
func TestComparisonsStayNear(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	l := membership.New(membership.Config{Host: "self", Address: "10.0.9.9:1", DataCentre: "dc0", ProbeInterval: time.Second, ProbeTimeout: 400 * time.Millisecond, GossipInterval: 100 * time.Millisecond, Seed: 1}, delegate{&mesh{}}, gossip.NewQueue(), now)
	far := make(map[string]bool)
	var members []*peerpb.Member
	for i := range 100 {
		m := &peerpb.Member{Host: fmt.Sprint("h", i), Address: address(i), DataCentre: fmt.Sprint("dc", i%5), Incarnation: 1}
		far[m.Address] = m.DataCentre != "dc0"
		members = append(members, m)
	}
	l.Merge(now, members)
	compared, away := 0, 0
	for range 400 {
		now = now.Add(membership.DefaultSyncInterval)
		for _, target := range l.SyncTargets(now, nil) {
			compared++
			if far[target] {
				away++
			}
		}
	}
	if away == 0 || away > compared/4 {
		t.Errorf("%d of %d comparisons were with hosts of other data centres", away, compared)
	}
}
