package claims

import (
	"fmt"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
)

// A busy host may process a claim after its release. Granting it would leave the key
// held until it expires, because the requester has given up and sends no further
// release.
func TestClaimArrivingAfterItsRelease(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(time.Second, 0, func() time.Time { return now })
	now = now.Add(time.Minute)
	key := Key{Service: "s", Key: "k"}
	table.Release(key, "late", false)
	if decision, _ := table.Claim(key, "late", time.Second); decision != peerpb.ClaimResponse_DECISION_ABSTAIN {
		t.Errorf("claim after its release: got %s, want DECISION_ABSTAIN", decision)
	}
	if decision, _ := table.Claim(key, "next", time.Second); decision != peerpb.ClaimResponse_DECISION_GRANTED {
		t.Errorf("next claim of the key: got %s, want DECISION_GRANTED", decision)
	}
	now = now.Add(time.Hour)
	for i := range grantsPerSweep {
		table.Claim(Key{Service: "s", Key: fmt.Sprint(i)}, "r", time.Second)
	}
	if n := len(table.tombstones); n != 0 {
		t.Errorf("got %d tombstones after an hour, want 0", n)
	}
}
