package replay

import (
	"testing"

	"github.com/pearshelf/pearshelf/internal/policy"
)

// Reads with 8 s to answer filled all slots and queues of a service in a burst, and a quarter of the
// deposits, which have 1.5 s, waited behind them until they were late. There are servers enough for all
// deposits: what their callers may lose is 0.012 by own failures and about as much again by servers that
// begin to fail, since deposits are not repeated, with as much for chance. Reads must gain too.
func TestWaitQueueKeepsServerQueuesShort(t *testing.T) {
	t.Parallel()
	_, with := play(t, "mixed-objectives")
	_, without := play(t, "mixed-objectives", policy.MechanismWaitQueue)
	deposit, read := with["deposit"], with["plan-read"]
	if got := inTime(deposit); got < 0.95 {
		t.Errorf("%.3f of the deposits in time, %.3f without the wait queue", got, inTime(without["deposit"]))
	}
	if got := inTime(read); got < inTime(without["plan-read"])+0.02 {
		t.Errorf("%.3f of the reads in time, %.3f without the wait queue", got, inTime(without["plan-read"]))
	}
}

// Where a few requests a second have little time, the others were refused as soon as the queue exceeded
// what these few could wait, although it drained soon after. At least a quarter of those refused is served
// now, and the few requests with little time are served no worse.
func TestWaitingInsteadOfRefusal(t *testing.T) {
	t.Parallel()
	_, with := playOver(t, 2*seeds, "short-timeouts")
	_, without := playOver(t, 2*seeds, "short-timeouts", policy.MechanismWaitQueue)
	if got, before := with["slot-read"].Unserved(), without["slot-read"].Unserved(); got > 0.75*before {
		t.Errorf("%.3f of the reads unserved, %.3f without the wait queue", got, before)
	}
	if got, before := with["look"].Unserved(), without["look"].Unserved(); got > before {
		t.Errorf("%.3f of the requests with little time unserved, %.3f without the wait queue", got, before)
	}
}

func inTime(r *RouteResult) float64 { return float64(r.InTime) / float64(max(r.Asked, 1)) }
