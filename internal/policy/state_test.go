package policy

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

func allServers(string, string) bool { return true }

// A host that starts knows what another host knew to be failing, and does not send there. Without
// that, requests that must not run twice failed at servers that all others avoided.
func TestImportedBeliefs(t *testing.T) {
	old, now := newTable()
	v := view(4)
	for range 3 {
		sendTo(t, old, now, v, "b0", Result{Outcome: Failed, FirstByte: time.Millisecond})
	}
	now = now.Add(youngHost)
	state := old.Export(now, allServers)
	started, _ := newTable()
	started.started = now
	if got := started.Import(now, state); got == 0 || state.Young {
		t.Fatalf("learned of %d servers from %v", got, state)
	}
	before, after := old.servers[key{"s", "b0"}], started.servers[key{"s", "b0"}]
	if want := before.health.probabilityAt(now); after.health.probabilityAt(now) < want-0.01 || want < 0.6 {
		t.Errorf("belief %.2f taken over as %.2f", want, after.health.probabilityAt(now))
	}
	if now.Sub(after.failedAt) > youngHost+time.Second {
		t.Errorf("failed at %s", after.failedAt)
	}
	for range 20 {
		p := mustPick(t, started, now, v, Request{Service: "s", FirstAttempt: true})
		if p.Server.ID == "b0" {
			t.Fatal("sent to the failing server")
		}
		started.Finish(now, p, Result{Outcome: Neutral})
	}
}

// A peer that was cut off has old evidence: it counts as little as its age says, and nothing against
// newer evidence. A process that has been replaced is another server.
func TestOldEvidenceCountsLittle(t *testing.T) {
	old, now := newTable()
	v := view(2)
	for range 3 {
		sendTo(t, old, now, v, "b0", Result{Outcome: Failed, FirstByte: time.Millisecond})
	}
	now = now.Add(20 * time.Second)
	state := old.Export(now, allServers)
	started, _ := newTable()
	started.Import(now, state)
	if got := started.servers[key{"s", "b0"}].health.probabilityAt(now); got > stationaryBelief+0.1 {
		t.Errorf("belief %.2f by evidence that is 20 s old", got)
	}
	newer, _ := newTable()
	sendTo(t, newer, now, v, "b0", Result{Outcome: Good, FirstByte: time.Millisecond})
	own := newer.servers[key{"s", "b0"}].health
	newer.Import(now, state)
	if got := newer.servers[key{"s", "b0"}].health; got != own {
		t.Errorf("old evidence replaced a good answer: %.2f", got.probability)
	}
	newer.servers[key{"s", "b0"}].started, newer.servers[key{"s", "b0"}].health.probability = 7, stationaryBelief
	for _, row := range state.Servers {
		row.Started = 6
	}
	if got := newer.Import(now, state); got != 0 {
		t.Errorf("learned of %d servers from what was known of other processes", got)
	}
}

// A host that is young itself says so, and an answer is bounded by the servers that the other host
// uses and by maxExportedServers, the failing ones first.
func TestExportIsBounded(t *testing.T) {
	table, now := newTable()
	if !table.Export(now, allServers).Young {
		t.Error("a host that has just started is not young")
	}
	now = now.Add(youngHost)
	for i := range 3000 {
		s := table.state(now, key{"a-service", fmt.Sprintf("server-%05d", i)}, nil)
		s.health = healthModel{probability: 0.1 + 0.8*float64(i%10)/10, at: now}
		s.lastSent, s.slowness = now, 1.3
	}
	state := table.Export(now, allServers)
	size := proto.Size(state)
	t.Logf("%d servers, %d bytes", len(state.Servers), size)
	if len(state.Servers) != maxExportedServers || size > 60*maxExportedServers || state.Servers[0].BeliefMillionths < 800_000 {
		t.Errorf("%d servers in %d bytes, the first with a belief of %d", len(state.Servers), size, state.Servers[0].BeliefMillionths)
	}
	if got := len(table.Export(now, func(_, server string) bool { return server == "server-00001" }).Servers); got != 1 {
		t.Errorf("%d servers for a host that uses one of them", got)
	}
}
