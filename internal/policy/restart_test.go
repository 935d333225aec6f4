package policy

import (
	"testing"
	"time"
)

// A server whose process restarted under the same ID is a new server: belief, load, latency and
// path backoff of the previous process are discarded, and its requests in flight say nothing about
// the new one.
func TestRestartResetsServerState(t *testing.T) {
	table, now := newTable()
	v := view(2)
	v.Backends[0].Started, v.Backends[1].Started = 1000, 1000
	for range 3 {
		sendTo(t, table, now, v, "b0", Result{Outcome: Failed, FirstByte: time.Millisecond})
	}
	sendTo(t, table, now, v, "b0", Result{Outcome: Unreachable})
	v.Backends = v.Backends[:1]
	table.servers[key{"s", "b0"}].pathUntil = time.Time{}
	inFlight := mustPick(t, table, now, v, Request{FirstAttempt: true})
	before := table.servers[key{"s", "b0"}].counts

	v = view(1)
	v.Backends[0].Started = 2000
	v.Backends[0].Warmup = time.Second
	now = now.Add(10 * time.Millisecond)
	placed := mustPick(t, table, now, v, Request{FirstAttempt: true})
	row := table.servers[key{"s", "b0"}]
	if placed.Load != 0 || row.inFlight != 1 {
		t.Errorf("load %.1f when picked, %d in flight: the previous process's request counts", placed.Load, row.inFlight)
	}
	if placed.Belief > 2*newServerBelief || !row.failedAt.IsZero() || row.pathFailures != 0 || row.slowness != 1 {
		t.Errorf("belief %.2f, %+v: the previous process's failures count", placed.Belief, row)
	}
	if !row.coldUntil.Equal(now.Add(time.Second)) {
		t.Errorf("cold until %s", row.coldUntil.Sub(now))
	}

	table.Finish(now, inFlight, Result{Outcome: Failed, FirstByte: time.Millisecond})
	if row.inFlight != 1 || !row.failedAt.IsZero() || row.counts.failed != before.failed {
		t.Errorf("%d in flight, %d failed: the end of the previous process's request counts", row.inFlight, row.counts.failed)
	}
	table.Finish(now, placed, Result{Outcome: Good, FirstByte: time.Millisecond})
	if row.inFlight != 0 || row.counts.good != before.good+1 {
		t.Errorf("%d in flight, %d good", row.inFlight, row.counts.good)
	}
}

// An entry without the start time of the process does not count as a restart.
func TestUnknownStartTimeIsNoRestart(t *testing.T) {
	table, now := newTable()
	v := view(1)
	for _, started := range []int64{0, 1000, 0, 1000} {
		v.Backends[0].Started = started
		sendTo(t, table, now, v, "b0", Result{Outcome: Failed, FirstByte: time.Millisecond})
	}
	if row := table.servers[key{"s", "b0"}]; row.process != 0 || row.counts.failed != 4 {
		t.Errorf("%d processes, %d failures", row.process+1, row.counts.failed)
	}
}

// An idempotent request that was sent to a replaced process is worth a copy immediately.
func TestRequestToReplacedProcessIsLost(t *testing.T) {
	table, now := newTable()
	v := view(2)
	v.Backends[0].Started = 1000
	v.Backends = v.Backends[:1]
	req := Request{Service: "s", DataCentre: "dc1", Idempotent: true, FirstAttempt: true, ReceivedAt: now, Deadline: now.Add(3 * time.Second), Objective: time.Second}
	waiting := mustPick(t, table, now, v, req)
	svc := table.service("s")
	if loss := table.lossIfWaiting(now, svc, req, waiting); loss > 0.5 {
		t.Errorf("loss %.2f before the restart", loss)
	}
	again := view(1)
	again.Backends[0].Started = 2000
	table.state(now, key{"s", "b0"}, &again.Backends[0])
	if loss := table.lossIfWaiting(now, svc, req, waiting); loss != 1 {
		t.Errorf("loss %.2f after the restart", loss)
	}
}
