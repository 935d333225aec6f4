package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/world"
)

// useAll sends one request to each server.
func useAll(t *testing.T, table *Table, now time.Time, servers int) {
	t.Helper()
	v := view(servers)
	for i := range servers {
		sendTo(t, table, now, v, fmt.Sprint("b", i), Result{Outcome: Good, FirstByte: 200 * time.Millisecond})
	}
}

// shareSentToUnused sends requests at a rate per server, and returns the share of them that went to
// servers which had been out of use for longer than inUsePeriod. All servers are healthy.
func shareSentToUnused(t *testing.T, perServer float64) float64 {
	t.Helper()
	const servers = 40
	table, now := newTable()
	v := view(servers)
	useAll(t, table, now, servers)
	picked, idle := 0, 0
	gap := time.Duration(float64(time.Second) / perServer / servers)
	begin := now.Add(2 * outcomeWindow)
	for end := now.Add(20 * time.Second); now.Before(end); now = now.Add(gap) {
		before := make(map[string]time.Time)
		for i := range servers {
			id := fmt.Sprint("b", i)
			before[id] = table.servers[key{"s", id}].lastSent
		}
		p := mustPick(t, table, now, v, Request{FirstAttempt: true})
		table.Finish(now, p, Result{Outcome: Good, FirstByte: 200 * time.Millisecond})
		if now.Before(begin) {
			continue
		}
		picked++
		if now.Sub(before[p.Server.ID]) > inUsePeriod {
			idle++
		}
	}
	return float64(idle) / float64(picked)
}

// Servers are picked for being out of use only if there are enough requests to keep servers in use.
// If servers get one request every few seconds nearly all picks would be of this kind, each of a
// server about which the least is known.
func TestCoverageRequiresEnoughRequests(t *testing.T) {
	few, many := shareSentToUnused(t, 0.3), shareSentToUnused(t, 3)
	if few > 0.5 {
		t.Errorf("at 0.3 requests per second and server, %.2f of them went to servers out of use", few)
	}
	if many < 0.05 {
		t.Errorf("at 3 requests per second and server, %.2f of them went to servers out of use", many)
	}
}

// joinedFrom is a service of count servers, of which those from index first on have just joined.
func joinedFrom(first, count int, now time.Time) *world.ServiceView {
	v := view(count)
	for i := first; i < count; i++ {
		v.Backends[i].JoinedAt = now
	}
	return v
}

// A server that joins gets a request soon, even if there are few requests.
func TestJoinedServerIsTried(t *testing.T) {
	table, now := newTable()
	useAll(t, table, now, 20)
	now = now.Add(10 * time.Second)
	for range 4 { // enough answers for a low failure belief
		useAll(t, table, now, 20)
	}
	now = now.Add(100 * time.Millisecond)
	if p := mustPick(t, table, now, joinedFrom(20, 21, now), Request{FirstAttempt: true, Idempotent: true}); p.Server.ID != "b20" {
		t.Errorf("the next request went to %s, want the joined server", p.Server.ID)
	}
	if p := mustPick(t, table, now, joinedFrom(20, 21, now), Request{FirstAttempt: true, Idempotent: true}); p.Server.ID == "b20" {
		t.Error("the following request went to the joined server too")
	}
	const joined, sent = 30, 40
	tried := 0
	more := joinedFrom(20, 21+joined, now)
	for range sent {
		p := mustPick(t, table, now, more, Request{FirstAttempt: true})
		if row := table.servers[p.key]; row.joined && p.pending.use.before.IsZero() {
			tried++
		}
		table.Finish(now, p, Result{Outcome: Good, FirstByte: 200 * time.Millisecond})
		now = now.Add(10 * time.Millisecond)
	}
	if tried == 0 || tried > sent/2 {
		t.Errorf("%d of %d non-repeatable requests were the first of joined servers", tried, sent)
	}
}

// A pick that finds no good server in the subset compares a bounded number of other servers.
func TestOverflowIsBounded(t *testing.T) {
	compared := make(map[int]int)
	for _, servers := range []int{100, 400, 3600} {
		table, now := newTable()
		v := view(servers)
		v.Subset = v.Backends[:10]
		for i := range 10 {
			for range 3 {
				sendTo(t, table, now, v, fmt.Sprint("b", i), Result{Outcome: Failed, FirstByte: time.Millisecond})
			}
		}
		p := mustPick(t, table, now, v, Request{FirstAttempt: true})
		if p.Server.ID <= "b9" && len(p.Server.ID) == 2 {
			t.Errorf("%d servers: picked one of the failing subset", servers)
		}
		compared[servers] = len(table.servers)
	}
	if compared[3600] > compared[400]*3/2 {
		t.Errorf("compared %d of 3600 servers, %d of 400", compared[3600], compared[400])
	}
}

// The only server that takes requests is found among thousands.
func TestOverflowFindsOnlyAvailableServer(t *testing.T) {
	table, now := newTable()
	v := view(3600)
	v.Subset = v.Backends[:10]
	var taken []string
	for i := range v.Backends {
		if i != 2000 {
			taken = append(taken, v.Backends[i].ID)
		}
	}
	if p := mustPick(t, table, now, v, Request{FirstAttempt: true, Exclude: taken}); p.Server.ID != "b2000" {
		t.Errorf("picked %s", p.Server.ID)
	}
}

// BenchmarkPick measures a pick that overflows the subset.
func BenchmarkPick(b *testing.B) {
	for _, servers := range []int{27, 400, 3592} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			table, now := newTable()
			v := view(servers)
			v.Subset = v.Backends[:10]
			for i := range 10 {
				table.state(now, key{"s", fmt.Sprint("b", i)}, &v.Backends[i]).health.observeFailure(now)
			}
			for b.Loop() {
				p, err := table.Pick(now, v, Request{Service: "s", DataCentre: "dc1", FirstAttempt: true})
				if err != nil {
					b.Fatal(err)
				}
				table.Finish(now, p, Result{Outcome: Neutral})
			}
		})
	}
}
