package policy

import (
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/world"
)

// viewsOf returns the services of a host that uses one.
func viewsOf(v *world.ServiceView) map[string]*world.ServiceView {
	return map[string]*world.ServiceView{"s": v}
}

// checkPaths lets all checks that are due end with the result that reaches gives, and returns how
// many there were.
func checkPaths(table *Table, now time.Time, v *world.ServiceView, reaches func(server string) bool) int {
	checks, _ := table.DuePathChecks(now, viewsOf(v))
	for _, c := range checks {
		table.PathChecked(now, c, reaches(c.Server))
	}
	return len(checks)
}

func noServer(string) bool    { return false }
func everyServer(string) bool { return true }

// A failed connection leads to checks of other servers. If they fail too, the path is lost, until a
// server is reached.
func TestPathIsLostAndRegained(t *testing.T) {
	table, now := newTable()
	v := view(6)
	warmUp(t, table, now, v)
	if n := checkPaths(table, now, v, noServer); n != 0 {
		t.Fatalf("%d checks in normal operation", n)
	}
	sendTo(t, table, now, v, "b0", Result{Outcome: Unreachable, Unsent: true})
	if table.PathLost(now) {
		t.Error("the path is lost after one failed connection")
	}
	if n := checkPaths(table, now, v, noServer); n != pathWitnesses {
		t.Errorf("%d checks after a failed connection, want %d", n, pathWitnesses)
	}
	if !table.PathLost(now) {
		t.Error("no server is reached, and the path is not lost")
	}
	later := now.Add(lostPathCheckInterval)
	if n := checkPaths(table, later, v, noServer); n != 1 || !table.PathLost(later) {
		t.Errorf("%d checks while the path is lost, want 1", n)
	}
	later = later.Add(lostPathCheckInterval)
	checkPaths(table, later, v, everyServer)
	if table.PathLost(later) {
		t.Error("the path is lost although a server was reached")
	}
	for k, s := range table.servers {
		if later.Before(s.pathUntil) {
			t.Errorf("server %s is still avoided for a loss that is over", k.backend)
		}
	}
}

// A host that reaches a part of the servers has not lost its path, however many others fail.
func TestPartOfTheServersIsNoLoss(t *testing.T) {
	table, now := newTable()
	v := view(8)
	warmUp(t, table, now, v)
	for i := range 20 {
		at := now.Add(time.Duration(i) * 100 * time.Millisecond)
		for _, id := range []string{"b0", "b1", "b2", "b3"} {
			sendTo(t, table, at, v, id, Result{Outcome: Unreachable, Unsent: true})
		}
		checkPaths(table, at, v, func(server string) bool { return server >= "b4" })
		if table.PathLost(at) {
			t.Fatalf("lost after %s although four of eight servers are reached", at.Sub(now))
		}
	}
}

// Open connections may live on while new ones are refused: their answers do not end a loss.
func TestAnswerOnAnOpenConnectionDoesNotEndALoss(t *testing.T) {
	table, now := newTable()
	v := view(4)
	warmUp(t, table, now, v)
	sendTo(t, table, now, v, "b0", Result{Outcome: Unreachable, Unsent: true})
	checkPaths(table, now, v, noServer)
	sendTo(t, table, now, v, "b1", Result{Outcome: Good, FirstByte: work})
	if !table.PathLost(now) {
		t.Error("an answer on an open connection ended the loss")
	}
	sendTo(t, table, now, v, "b1", Result{Outcome: Good, FirstByte: work, NewConnection: true})
	if table.PathLost(now) {
		t.Error("an answer on a new connection did not end the loss")
	}
}

// An unreachable server is reported as evidence only after another one has been reached.
func TestUnreachableServerIsReportedOnceThePathIsProven(t *testing.T) {
	table, now := newTable()
	peer, _ := newTable()
	v := view(4)
	warmUp(t, table, now, v)
	report := func() {
		near, _ := table.Changes(now)
		peer.Report(now, "h2", 1, near, true)
	}
	report()
	belief := func() float64 { return peer.servers[key{"s", "b0"}].health.probabilityAt(now) }
	now = now.Add(2 * answeredRecently) // no host has heard of the servers for a while
	before := belief()
	sendTo(t, table, now, v, "b0", Result{Outcome: Unreachable, Unsent: true})
	report()
	if got := belief(); got > before {
		t.Errorf("belief rose from %.3f to %.3f by a connection that may have failed for the host's own path", before, got)
	}
	checkPaths(table, now, v, func(server string) bool { return server != "b0" })
	report()
	if got := belief(); got < 2*before {
		t.Errorf("belief %.3f, %.3f before, although the host reaches other servers", got, before)
	}
}

// A host without a path tells the others nothing against servers: neither that it cannot connect to
// them, nor that its requests wait there.
func TestHostWithoutPathAccusesNobody(t *testing.T) {
	table, now := newTable()
	peer, _ := newTable()
	v := view(4)
	warmUp(t, table, now, v)
	warmUp(t, peer, now, v)
	report := func(at time.Time) {
		near, failures := table.Changes(at)
		peer.Report(at, "h2", 1, near, true)
		for _, l := range failures {
			if l.ConfirmedUnreachable > 0 || l.Failed > 0 {
				t.Errorf("told all hosts %v", l)
			}
		}
	}
	report(now)
	waiting := mustPick(t, table, now, singleServer(v, 0), Request{FirstAttempt: true})
	report(now)
	later := now.Add(4 * work)
	checkPaths(table, later, v, noServer)
	table.Refresh(later)
	report(later)
	svc, row := peer.service("s"), peer.servers[key{"s", "b0"}]
	if belief := row.belief(later, svc); belief > 0.1 || row.knownInFlight(later) != 0 {
		t.Errorf("the peer holds belief %.3f and %d requests in flight for a request that has not arrived", belief, row.knownInFlight(later))
	}
	table.Finish(later, waiting, Result{Outcome: Failed, TimedOut: true, Elapsed: 4 * work})
	for _, id := range []string{"b1", "b2", "b3"} {
		sendTo(t, table, later, v, id, Result{Outcome: Unreachable, Unsent: true})
	}
	report(later)
	for k, s := range peer.servers {
		if belief := s.belief(later, svc); belief > 0.1 {
			t.Errorf("the peer holds belief %.3f of %s", belief, k.backend)
		}
	}
}

// A server that has just answered other hosts is not blamed for one host that cannot connect to it.
func TestAnswersOutweighAnUnreachablePath(t *testing.T) {
	peer, now := newTable()
	v := view(2)
	warmUp(t, peer, now, v)
	before := peer.servers[key{"s", "b0"}].health.probabilityAt(now)
	first := counts{requests: 1, unreachable: 1}.message(key{"s", "b0"})
	second := counts{requests: 2, unreachable: 2, confirmedUnreachable: 2}.message(key{"s", "b0"})
	peer.Report(now, "h2", 1, []*peerpb.BackendLoad{first}, true)
	peer.Report(now, "h2", 1, []*peerpb.BackendLoad{second}, true)
	if got := peer.servers[key{"s", "b0"}].health.probabilityAt(now); got > before {
		t.Errorf("belief rose from %.3f to %.3f", before, got)
	}
}

// A connection that broke counts against the server only if the server can still be connected to.
func TestBrokenConnectionToUnreachableServer(t *testing.T) {
	for unreachable, isEvidence := range map[bool]bool{true: false, false: true} {
		table, now := newTable()
		v := view(3)
		warmUp(t, table, now, v)
		before := table.servers[key{"s", "b0"}].health.probabilityAt(now)
		sendTo(t, table, now, v, "b0", Result{Outcome: Failed, Elapsed: work, ServerUnreachable: unreachable})
		after := table.servers[key{"s", "b0"}].health.probabilityAt(now)
		if (after > 2*before) != isEvidence {
			t.Errorf("server unreachable %t: belief %.3f, %.3f before", unreachable, after, before)
		}
	}
}

// After a path fault non-idempotent requests use only connections that were in use just before.
func TestPathFaultLimitsIdleConnections(t *testing.T) {
	table, now := newTable()
	v := view(3)
	warmUp(t, table, now, v)
	maxIdle := func(at time.Time, idempotent bool) time.Duration {
		p := mustPick(t, table, at, singleServer(v, 1), Request{FirstAttempt: true, Idempotent: idempotent})
		table.Finish(at, p, Result{Outcome: Good, FirstByte: work})
		return p.MaxIdle
	}
	if got := maxIdle(now, false); got != 0 {
		t.Errorf("idle connections limited to %s without a fault", got)
	}
	sendTo(t, table, now, v, "b0", Result{Outcome: Unreachable, Unsent: true})
	if got := maxIdle(now, false); got != staleMaxIdle {
		t.Errorf("idle connections limited to %s after a path fault, want %s", got, staleMaxIdle)
	}
	if got := maxIdle(now, true); got != 0 {
		t.Errorf("idle connections of idempotent requests limited to %s", got)
	}
	if got := maxIdle(now.Add(pathFaultPeriod+time.Millisecond), false); got != 0 {
		t.Errorf("idle connections limited to %s long after the fault", got)
	}
}
