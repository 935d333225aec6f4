package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
)

// In a time of trouble nearly all servers without a failure in the last second
// are in use within the users' 2 s, also such as are believed to fail.
func TestDegradedServiceUsesAllServers(t *testing.T) {
	const servers = 20
	table, now := newTable()
	v := view(servers)
	for i := range servers {
		sendTo(t, table, now, v, fmt.Sprint("b", i), Done{Outcome: Good, FirstByte: 200 * time.Millisecond})
	}
	svc := table.service("s")
	svc.unserved.add(now, outcomeWindow, 100)
	for i := range 5 { // believed to fail, and longer ago than the rule asks for
		row := table.servers[key{"s", fmt.Sprint("b", i)}]
		row.health.observeFailure(now)
		row.failedAt = now.Add(-10 * time.Second)
	}
	later := now.Add(2 * inUsePeriod)
	svc.unserved.add(later, outcomeWindow, 100)
	svc.recordSends(later, 100)
	used := make(map[string]bool)
	for range servers {
		used[mustPick(t, table, later, v, Request{First: true}).Server.ID] = true
	}
	if len(used) < servers*9/10 {
		t.Errorf("%d of %d servers used", len(used), servers)
	}
}

// While many requests are refused beyond their customers' limits, servers that are believed
// to fail are used too, also by requests that run once.
func TestHeavilyLimitedServiceUsesFailingServers(t *testing.T) {
	for _, limited := range []int{0, 40} {
		table, now := newTable()
		v := view(10)
		for _, id := range []string{"b0", "b1", "b2"} {
			for range 2 {
				sendTo(t, table, now, v, id, Done{Outcome: Failed, FirstByte: time.Millisecond})
			}
		}
		now = now.Add(failureCooldown + 100*time.Millisecond)
		for range limited {
			table.NoteLimited(now, "s")
		}
		toFailing := 0
		for range 60 {
			p := mustPick(t, table, now, v, Request{First: true})
			if p.Server.ID <= "b2" {
				toFailing++
			}
			table.Finish(now, p, Done{Outcome: Good, FirstByte: 200 * time.Millisecond})
			now = now.Add(10 * time.Millisecond)
		}
		if used := toFailing > 1; used != (limited > 0) {
			t.Errorf("%d refused beyond limits: %d of 60 requests went to doubted servers", limited, toFailing)
		}
	}
}

// A server that must be used was picked, and the kept connection of the send had been closed:
// nothing reached the server, and the request went to another one. The server counted as used for
// 1.8 s all the same; with six of eleven servers passed over so, sound servers had no request for
// 2 s while many requests were not served.
func TestUnsentRequestDoesNotCountAsUse(t *testing.T) {
	for name, unsent := range map[string]Done{
		"kept connection was closed": {Outcome: Neutral, Unsent: true},
		"no connection":              {Outcome: Unreachable, Unsent: true},
	} {
		table, now := newTable()
		v := view(8)
		for _, b := range v.Backends {
			sendTo(t, table, now, v, b.ID, Done{Outcome: Good, FirstByte: 100 * time.Millisecond})
		}
		now = now.Add(inUsePeriod + time.Millisecond)
		p := mustPick(t, table, now, v, Request{First: true})
		row := table.servers[p.key]
		table.Finish(now.Add(time.Millisecond), p, unsent)
		if now.Sub(row.lastSent) <= inUsePeriod {
			t.Errorf("%s: the server counts as used", name)
		}
		later := mustPick(t, table, now, v, Request{First: true})
		row = table.servers[later.key]
		table.Finish(now.Add(time.Millisecond), later, Done{Outcome: Good, FirstByte: time.Millisecond})
		if now.Sub(row.lastSent) > inUsePeriod {
			t.Errorf("%s: a server that has answered does not count as used", name)
		}
	}
}

// A host tells that it has sent to a server, and a moment later that it could not reach it: it
// was no use of the server, which others may reach.
func TestConnectionFailureOfPeerDoesNotCountAsUse(t *testing.T) {
	table, now := newTable()
	v := view(2)
	for _, b := range v.Backends {
		sendTo(t, table, now, v, b.ID, Done{Outcome: Good, FirstByte: 100 * time.Millisecond})
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
		t.Fatal("a send of a neighbour is no use")
	}
	report(sent.Add(time.Millisecond), counts{good: 1, requests: 2, unreachable: 1})
	if row.lastSent.Equal(sent) || row.lastSent.Before(before) {
		t.Errorf("the server counts as used %s after its last use", row.lastSent.Sub(before))
	}
	both := sent.Add(2 * time.Second)
	report(both, counts{good: 1, requests: 3, unreachable: 2})
	if row.lastSent.Equal(both) {
		t.Error("a send that is told together with its failure to connect counts as a use")
	}
}
