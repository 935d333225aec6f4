package policy

import (
	"testing"
	"time"
)

// After an idle connection has broken under a request, the hosts of the data centre send
// non-idempotent requests only on recently used connections. The failure belief of the server
// hardly changes.
func TestBrokenIdleConnection(t *testing.T) {
	sender, now := newTable()
	peer, _ := newTable()
	v := view(2)
	for range 3 {
		sendTo(t, sender, now, v, "b0", Result{Outcome: Good, FirstByte: 200 * time.Millisecond})
	}
	near, _ := sender.Changes(now)
	peer.Report(now, "h2", 1, near, true)
	sendTo(t, sender, now, v, "b0", Result{Outcome: Failed, Reused: true, Elapsed: time.Millisecond})
	near, failing := sender.Changes(now)
	peer.Report(now, "h2", 1, near, true)
	if len(failing) != 0 {
		t.Errorf("%v is sent to all hosts", failing)
	}
	if belief := sender.servers[key{"s", "b0"}].health.probabilityAt(now); belief > 0.3 {
		t.Errorf("belief %.2f after one broken connection", belief)
	}
	for name, table := range map[string]*Table{"the host": sender, "its peer": peer} {
		for _, idempotent := range []bool{true, false} {
			placement := mustPick(t, table, time.Now(), v, Request{FirstAttempt: true, Idempotent: idempotent})
			if bounded := placement.MaxIdle > 0; bounded == idempotent {
				t.Errorf("%s, idempotent %t: idle time bounded %t", name, idempotent, bounded)
			}
		}
		if placement := mustPick(t, table, time.Now().Add(2*staleConnectionPeriod), v, Request{FirstAttempt: true}); placement.MaxIdle > 0 {
			t.Errorf("%s: idle time still bounded after %s", name, 2*staleConnectionPeriod)
		}
	}
}

// A new connection that breaks, or one that breaks after the typical work of a request, counts as a
// failure of the server.
func TestBrokenConnectionInUse(t *testing.T) {
	for name, done := range map[string]Result{
		"new connection": {Outcome: Failed, Elapsed: time.Millisecond},
		"after work":     {Outcome: Failed, Reused: true, Elapsed: 200 * time.Millisecond},
	} {
		table, now := newTable()
		v := view(1)
		sendTo(t, table, now, v, "b0", Result{Outcome: Good, FirstByte: 200 * time.Millisecond})
		sendTo(t, table, now, v, "b0", done)
		if belief := table.servers[key{"s", "b0"}].health.probabilityAt(now); belief < 0.9 {
			t.Errorf("%s: belief %.2f, want at least 0.9", name, belief)
		}
	}
}
