package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
)

// While a service is degraded, nearly all servers without a failure in the last second are in use
// within 2 s, including those believed to be failing.
func TestDegradedServiceUsesAllServers(t *testing.T) {
	const servers = 20
	table, now := newTable()
	v := view(servers)
	for i := range servers {
		sendTo(t, table, now, v, fmt.Sprint("b", i), Result{Outcome: Good, FirstByte: 200 * time.Millisecond})
	}
	svc := table.service("s")
	svc.unserved.add(now, outcomeWindow, 100)
	for i := range 5 { // believed to be failing, but past the failure cooldown
		row := table.servers[key{"s", fmt.Sprint("b", i)}]
		row.health.observeFailure(now)
		row.failedAt = now.Add(-10 * time.Second)
	}
	later := now.Add(2 * inUsePeriod)
	svc.unserved.add(later, outcomeWindow, 100)
	svc.recordSends(later, 100)
	used := make(map[string]bool)
	for range servers {
		used[mustPick(t, table, later, v, Request{FirstAttempt: true}).Server.ID] = true
	}
	if len(used) < servers*9/10 {
		t.Errorf("%d of %d servers used", len(used), servers)
	}
}

// While many requests are refused beyond their customers' limits, servers believed to be failing
// are used too, also by non-repeatable requests.
func TestHeavilyLimitedServiceUsesFailingServers(t *testing.T) {
	for _, limited := range []int{0, 40} {
		table, now := newTable()
		v := view(10)
		for _, id := range []string{"b0", "b1", "b2"} {
			for range 2 {
				sendTo(t, table, now, v, id, Result{Outcome: Failed, FirstByte: time.Millisecond})
			}
		}
		now = now.Add(failureCooldown + 100*time.Millisecond)
		for range limited {
			table.NoteLimited(now, "s")
		}
		toFailing := 0
		for range 60 {
			p := mustPick(t, table, now, v, Request{FirstAttempt: true})
			if p.Server.ID <= "b2" {
				toFailing++
			}
			table.Finish(now, p, Result{Outcome: Good, FirstByte: 200 * time.Millisecond})
			now = now.Add(10 * time.Millisecond)
		}
		if used := toFailing > 1; used != (limited > 0) {
			t.Errorf("%d refused beyond limits: %d of 60 requests went to failing servers", limited, toFailing)
		}
	}
}

// A server was picked to keep it in use, but the request never reached it because the kept
// connection had been closed, and was sent to another server. The first one counted as in use for
// 1.8 s all the same. With six of eleven servers skipped like this, healthy servers had no request
// for 2 s while many requests were unserved.
func TestUnsentRequestDoesNotCountAsUse(t *testing.T) {
	for name, unsent := range map[string]Result{
		"kept connection was closed": {Outcome: Neutral, Unsent: true},
		"no connection":              {Outcome: Unreachable, Unsent: true},
	} {
		table, now := newTable()
		v := view(8)
		for _, b := range v.Backends {
			sendTo(t, table, now, v, b.ID, Result{Outcome: Good, FirstByte: 100 * time.Millisecond})
		}
		now = now.Add(inUsePeriod + time.Millisecond)
		p := mustPick(t, table, now, v, Request{FirstAttempt: true})
		row := table.servers[p.key]
		table.Finish(now.Add(time.Millisecond), p, unsent)
		if now.Sub(row.lastSent) <= inUsePeriod {
			t.Errorf("%s: the server counts as in use", name)
		}
		later := mustPick(t, table, now, v, Request{FirstAttempt: true})
		row = table.servers[later.key]
		table.Finish(now.Add(time.Millisecond), later, Result{Outcome: Good, FirstByte: time.Millisecond})
		if now.Sub(row.lastSent) > inUsePeriod {
			t.Errorf("%s: a server that has answered does not count as in use", name)
		}
	}
}

// A host reports that it has sent a request to a server, and shortly after that it could not
// connect. The server then does not count as in use, since other hosts may be able to reach it.
func TestConnectionFailureOfPeerDoesNotCountAsUse(t *testing.T) {
	table, now := newTable()
	v := view(2)
	for _, b := range v.Backends {
		sendTo(t, table, now, v, b.ID, Result{Outcome: Good, FirstByte: 100 * time.Millisecond})
	}
	row := table.servers[key{"s", "b0"}]
	before := row.lastSent
	report := func(at time.Time, c counts) {
		table.Report(at, "h2", 1, []*peerpb.BackendLoad{c.message(key{"s", "b0"})}, true)
	}
	report(now, counts{good: 1, requests: 1})
	sent := now.Add(time.Second)
	report(sent, counts{good: 1, requests: 2})
	if !row.lastSent.Equal(sent) {
		t.Fatal("a send of a peer does not count as a use")
	}
	report(sent.Add(time.Millisecond), counts{good: 1, requests: 2, unreachable: 1})
	if row.lastSent.Equal(sent) || row.lastSent.Before(before) {
		t.Errorf("the server counts as used %s after its actual last use", row.lastSent.Sub(before))
	}
	both := sent.Add(2 * time.Second)
	report(both, counts{good: 1, requests: 3, unreachable: 2})
	if row.lastSent.Equal(both) {
		t.Error("a send that is reported together with its connection failure counts as a use")
	}
}
