package replay

import (
	"testing"

	"github.com/pearshelf/pearshelf/internal/policy"
)

// While one customer sends more than a service can carry, the others must not be refused in its
// place: in proportion to who sends most they were.
func TestOtherCustomersAreServedInASurge(t *testing.T) {
	t.Parallel()
	unserved := func(without ...policy.Mechanism) (largest, others, late float64) {
		all, routes := play(t, "customers", without...)
		rest := &RouteResult{}
		for name, r := range routes {
			if name != "largest" {
				rest.Asked += r.Asked
				rest.InTime += r.InTime
				rest.Late += r.Late
			}
		}
		t.Logf("without %v: in time %.3f of all; of the largest %.3f, of others %.3f", without, share(all.InTime, all.Asked), share(routes["largest"].InTime, routes["largest"].Asked), share(rest.InTime, rest.Asked))
		return 1 - share(routes["largest"].InTime+routes["largest"].Late, routes["largest"].Asked), 1 - share(rest.InTime+rest.Late, rest.Asked), share(rest.Late, rest.Asked)
	}
	largest, others, late := unserved()
	largestWithout, othersWithout, lateWithout := unserved(policy.MechanismFairShares)
	t.Logf("unserved: others %.4f, largest %.4f, others late %.4f; without the mechanism %.4f, %.4f, %.4f", others, largest, late, othersWithout, largestWithout, lateWithout)
	if others > othersWithout/2 {
		t.Errorf("others unserved %.4f, %.4f without the mechanism", others, othersWithout)
	}
}

func share(part, all int) float64 { return float64(part) / float64(max(all, 1)) }
