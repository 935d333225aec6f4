package claims

import (
	"fmt"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
)

// On a busy host a claim may arrive behind its own release: whoever asked has given
// up, and nobody would release it again.
func TestClaimBehindItsRelease(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(time.Second, func() time.Time { return now })
	now = now.Add(time.Minute)
	key := Key{Service: "s", Key: "k"}
	table.Release(key, "late", false)
	if decision, _ := table.Claim(key, "late", time.Second); decision != peerpb.ClaimResponse_DECISION_ABSTAIN {
		t.Errorf("a claim behind its release: %s", decision)
	}
	if decision, _ := table.Claim(key, "next", time.Second); decision != peerpb.ClaimResponse_DECISION_GRANTED {
		t.Errorf("the next claim of the key: %s", decision)
	}
	now = now.Add(time.Hour)
	for i := range sweepEvery {
		table.Claim(Key{Service: "s", Key: fmt.Sprint(i)}, "r", time.Second)
	}
	if n := len(table.released); n != 0 {
		t.Errorf("%d released claims remembered after an hour", n)
	}
}
