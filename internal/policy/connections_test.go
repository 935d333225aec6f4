package policy

import (
	"testing"
	"time"
)

// An idle connection that broke under a request keeps the non-idempotent
// requests of the whole data centre on connections that were just in use, and
// says little against the server.
func TestBrokenIdleConnection(t *testing.T) {
	sender, now := newTable()
	peer, _ := newTable()
	v := view(2)
	for range 3 {
		sendTo(t, sender, now, v, "b0", Done{Outcome: Good, FirstByte: 200 * time.Millisecond})
	}
	near, _ := sender.Changes(now)
	peer.Report(now, "h2", 1, near, true)
	sendTo(t, sender, now, v, "b0", Done{Outcome: Failed, Reused: true, Took: time.Millisecond})
	near, failing := sender.Changes(now)
	peer.Report(now, "h2", 1, near, true)
	if len(failing) != 0 {
		t.Errorf("all hosts are told of %v", failing)
	}
	if belief := sender.servers[key{"s", "b0"}].health.probabilityAt(now); belief > 0.3 {
		t.Errorf("belief %.2f after one broken connection", belief)
	}
	for name, table := range map[string]*Table{"the host": sender, "its neighbour": peer} {
		for _, idempotent := range []bool{true, false} {
			lease := mustPick(t, table, time.Now(), v, Request{First: true, Idempotent: idempotent})
			if bounded := lease.MaxIdle > 0; bounded == idempotent {
				t.Errorf("%s, idempotent %t: idle time bounded %t", name, idempotent, bounded)
			}
		}
		if lease := mustPick(t, table, time.Now().Add(2*staleConnectionPeriod), v, Request{First: true}); lease.MaxIdle > 0 {
			t.Errorf("%s: idle time still bounded after %s", name, 2*staleConnectionPeriod)
		}
	}
}

// A new connection that breaks, or one that breaks after the usual time of a
// request's work, is the server's failure.
func TestBrokenConnectionInUse(t *testing.T) {
	for name, done := range map[string]Done{
		"new connection": {Outcome: Failed, Took: time.Millisecond},
		"after work":     {Outcome: Failed, Reused: true, Took: 200 * time.Millisecond},
	} {
		table, now := newTable()
		v := view(1)
		sendTo(t, table, now, v, "b0", Done{Outcome: Good, FirstByte: 200 * time.Millisecond})
		sendTo(t, table, now, v, "b0", done)
		if belief := table.servers[key{"s", "b0"}].health.probabilityAt(now); belief < 0.9 {
			t.Errorf("%s: belief %.2f, want near certainty", name, belief)
		}
	}
}
