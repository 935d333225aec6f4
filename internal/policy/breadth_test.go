package policy

import (
	"fmt"
	"testing"
	"time"
)

// In a time of trouble nearly all servers without a failure in the last second
// are in use within the users' 2 s, also such as are believed to fail. Found by a
// hunt on swanreach-tix-grown: scale-1, seed 399772632348.
func TestTroubleUsesAllServers(t *testing.T) {
	const servers = 20
	table, now := newTable()
	v := view(servers)
	for i := range servers {
		use(t, table, now, v, fmt.Sprint("b", i), Done{Outcome: Good, FirstByte: 200 * time.Millisecond})
	}
	svc := table.service("s")
	svc.unserved.add(now, troubleWindow, 100)
	for i := range 5 { // believed to fail, and longer ago than the rule asks for
		row := table.servers[key{"s", fmt.Sprint("b", i)}]
		row.spell.failed(now)
		row.failedAt = now.Add(-10 * time.Second)
	}
	later := now.Add(2 * unusedFor)
	svc.unserved.add(later, troubleWindow, 100)
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
func TestLimitedTimesUseDoubtedServers(t *testing.T) {
	for _, limited := range []int{0, 40} {
		table, now := newTable()
		v := view(10)
		for _, id := range []string{"b0", "b1", "b2"} {
			for range 2 {
				use(t, table, now, v, id, Done{Outcome: Failed, FirstByte: time.Millisecond})
			}
		}
		now = now.Add(recentFailure + 100*time.Millisecond)
		for range limited {
			table.NoteLimited(now, "s")
		}
		doubted := 0
		for range 60 {
			p := mustPick(t, table, now, v, Request{First: true})
			if p.Server.ID <= "b2" {
				doubted++
			}
			table.Finish(now, p, Done{Outcome: Good, FirstByte: 200 * time.Millisecond})
			now = now.Add(10 * time.Millisecond)
		}
		if used := doubted > 1; used != (limited > 0) {
			t.Errorf("%d refused beyond limits: %d of 60 requests went to doubted servers", limited, doubted)
		}
	}
}
