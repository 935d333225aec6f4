package policy

import (
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
)

// nearLimitTable returns a table whose own requests are all served, while another data centre reports
// many unserved ones. It has sent requests to all servers, and one of them is believed to be failing.
func nearLimitTable(t *testing.T, host string, servers int) (*Table, time.Time) {
	t.Helper()
	table, now := newTable()
	table.conf.Host = host
	useAll(t, table, now, servers)
	failing := table.servers[key{"s", "b0"}]
	for range 3 {
		failing.health.observeFailure(now)
	}
	later := now.Add(dutyOthers + maxDutyDelay)
	table.service("s").recordSends(later, 200)
	table.Report(later, "far", 1, []*peerpb.BackendLoad{{Service: "s", Backend: "b5", Failed: 1, RecentServed: 160, RecentUnserved: 40, Segment: 7}}, false)
	return table, now
}

// A data centre whose own requests are served left a server out of use that it believed to be failing,
// while over a tenth of the service's requests were unserved elsewhere.
func TestFailuresElsewhereBringServersIntoUse(t *testing.T) {
	const servers = 8
	table, now := nearLimitTable(t, "h1", servers)
	svc := table.service("s")
	if later := now.Add(dutyOthers + maxDutyDelay + time.Millisecond); !svc.isNearLimit(later) || svc.isDegraded(later) {
		t.Error("the outcomes of the other data centre are not taken into account")
	}
	used := false
	for range servers {
		used = used || mustPick(t, table, now.Add(dutyOthers+maxDutyDelay+time.Millisecond), view(servers), Request{FirstAttempt: true}).Server.ID == "b0"
	}
	if !used {
		t.Error("the server believed to be failing is not used")
	}
	if svc.isNearLimit(now.Add(2*outcomeWindow + dutyOthers + maxDutyDelay)) {
		t.Error("a report counts for longer than its window")
	}
}

// The hosts that use a server send to it in turn. If the first one is down or cannot connect to the
// server, the next one takes its place.
func TestNextHostTakesOverDuty(t *testing.T) {
	k := key{"s", "b0"}
	first := rendezvous.Top(k.detectorKey(), []rendezvous.Node{rendezvous.NewNode("h1", ""), rendezvous.NewNode("h2", "")}, 2)
	for name, test := range map[string]struct {
		report counts // of the first host, about the server
		age    time.Duration
		due    bool
	}{
		"live":                    {counts{requests: 2}, 0, false},
		"down":                    {counts{requests: 2}, 2 * dutyPeerTTL, true},
		"cut off from the server": {counts{requests: 2, unreachable: 1}, 0, true},
	} {
		table, now := nearLimitTable(t, first[1], 8)
		at := now.Add(dutyOthers + dutyStep/2)
		s := table.servers[k]
		tell := func(at time.Time, c counts) {
			table.Report(at, first[0], 1, []*peerpb.BackendLoad{c.message(k)}, true)
		}
		tell(at.Add(-test.age-time.Second), counts{requests: 1})
		tell(at.Add(-test.age), test.report)
		s.lastSent, s.failedAt = now, time.Time{}
		if due := table.isDutyDue(at, k, s, Request{Service: "s"}, false); due != test.due {
			t.Errorf("the first host is %s: the next one is due: %t, want %t", name, due, test.due)
		}
		if !table.isDutyDue(now.Add(dutyOthers+2*dutyStep), k, s, Request{Service: "s"}, false) {
			t.Errorf("the first host is %s: the next one is not due later, although the server is still out of use", name)
		}
	}
}
