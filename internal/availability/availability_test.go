package availability_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/availability"
	"github.com/pearshelf/pearshelf/internal/process"
	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/internal/world"
)

var start = time.Unix(1_700_000_000, 0)

// clock is a manual clock.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func newTable() (*availability.Table, *clock) {
	c := &clock{now: start}
	return availability.NewTable(c.Now), c
}

var (
	server  = process.Server{Service: "shop", ID: "i1", Started: 1000}
	leaving = protocol.ServerState{Leaving: true}
)

func rest(d time.Duration) protocol.ServerState { return protocol.ServerState{Rest: d} }

func expect(t *testing.T, table *availability.Table, s process.Server, want availability.Reason) {
	t.Helper()
	if got, _ := table.Of(s); got != want {
		t.Errorf("%v is %v, want %v", s, got, want)
	}
}

// The report of leaving holds for the lifetime of the process: for hours, despite later answers
// without a report to requests in flight, and also if the start time is not or no longer known.
// It does not apply to a new process under the same ID.
func TestLeavingHoldsForTheProcess(t *testing.T) {
	table, c := newTable()
	if change := table.Record(server, leaving); !change.BeganLeaving {
		t.Error("the first report is not a change")
	}
	if change := table.Record(server, leaving); change.BeganLeaving {
		t.Error("a repeated report is a change")
	}
	c.now = c.now.Add(5 * time.Hour)
	table.Record(server, protocol.ServerState{})
	expect(t, table, server, availability.Leaving)
	expect(t, table, process.Server{Service: "shop", ID: "i1"}, availability.Leaving)
	expect(t, table, process.Server{Service: "shop", ID: "i1", Started: 500}, availability.Leaving)
	expect(t, table, process.Server{Service: "shop", ID: "i1", Started: 2000}, availability.Available)
	expect(t, table, process.Server{Service: "files", ID: "i1", Started: 1000}, availability.Available)
	restarted := process.Server{Service: "shop", ID: "i1", Started: 2000}
	table.Record(restarted, rest(time.Second))
	expect(t, table, restarted, availability.Resting)
	c.now = c.now.Add(time.Hour)
	expect(t, table, restarted, availability.Available)
}

// A late answer of a process that has ended does not affect the process that has its ID now, and
// the state of the old process is removed with the first answer of the new one.
func TestReportsOfOtherProcesses(t *testing.T) {
	table, _ := newTable()
	restarted := process.Server{Service: "shop", ID: "i1", Started: 2000}
	table.Record(restarted, rest(time.Second))
	table.Record(server, leaving)
	expect(t, table, restarted, availability.Resting)
	table, _ = newTable()
	table.Record(server, leaving)
	table.Record(restarted, protocol.ServerState{})
	if !table.Now().Empty() {
		t.Error("the state of the old process was not removed")
	}
}

// Of two rests the later end applies. After it the server is Returning until it answers without
// asking for another rest, at most for a short time.
func TestRestEnds(t *testing.T) {
	table, c := newTable()
	if change := table.Record(server, rest(3*time.Second)); !change.BeganRest {
		t.Error("the first rest is not a change")
	}
	if change := table.Record(server, rest(time.Second)); change.BeganRest {
		t.Error("a rest within a rest is a change")
	}
	c.now = start.Add(3*time.Second - 1)
	expect(t, table, server, availability.Resting)
	if change := table.Record(server, protocol.ServerState{}); change.Returned {
		t.Error("an answer during the rest ended it")
	}
	expect(t, table, server, availability.Resting)
	c.now = start.Add(3 * time.Second)
	expect(t, table, server, availability.Returning)
	if change := table.Record(server, protocol.ServerState{}); !change.Returned {
		t.Error("the return is not a change")
	}
	expect(t, table, server, availability.Available)
	table.Record(server, rest(time.Second))
	c.now = c.now.Add(10 * time.Second)
	expect(t, table, server, availability.Available)
}

// A server that reports leaving during a rest does not return after the rest.
func TestLeavingOutlivesRest(t *testing.T) {
	table, c := newTable()
	table.Record(server, rest(time.Second))
	table.Record(server, leaving)
	c.now = c.now.Add(time.Second)
	table.Record(server, protocol.ServerState{})
	expect(t, table, server, availability.Leaving)
	table.Forget(server)
	expect(t, table, server, availability.Available)
}

// The size of the table is bounded: expired rests are evicted first, then the oldest reports.
func TestTableIsBounded(t *testing.T) {
	const many = 3_000
	table, c := newTable()
	for i := range many {
		c.now = c.now.Add(time.Millisecond)
		table.Record(process.Server{Service: "shop", ID: fmt.Sprint(i)}, leaving)
	}
	if kept := len(table.Now().All()); kept < 500 || kept > many/2 {
		t.Errorf("%d servers in the table", kept)
	}
	expect(t, table, process.Server{Service: "shop", ID: fmt.Sprint(many - 1)}, availability.Leaving)
	expect(t, table, process.Server{Service: "shop", ID: "0"}, availability.Available)
}

// If none of a service's servers takes requests, UnavailabilityOf returns when the first one will.
func TestAbsence(t *testing.T) {
	table, c := newTable()
	views := []world.BackendView{{ID: "i1"}, {ID: "i2"}, {ID: "i3"}}
	named := func(i int) process.Server { return availability.ServerOf("shop", &views[i]) }
	if _, none := table.Now().UnavailabilityOf("shop", views); none {
		t.Error("no server takes requests although none has reported")
	}
	table.Record(named(0), leaving)
	table.Record(named(1), rest(5*time.Second))
	if _, none := table.Now().UnavailabilityOf("shop", views); none {
		t.Error("no server takes requests although i3 does")
	}
	table.Record(named(2), rest(3*time.Second))
	if absence, none := table.Now().UnavailabilityOf("shop", views); !none || absence.Reason != availability.Resting || absence.Remaining != 3*time.Second {
		t.Errorf("%+v %v", absence, none)
	}
	c.now = c.now.Add(3 * time.Second)
	if _, none := table.Now().UnavailabilityOf("shop", views); none {
		t.Error("no server takes requests although the rest of i3 is over")
	}
	if absence, none := table.Now().UnavailabilityOf("shop", views[:1]); !none || absence.Reason != availability.Leaving {
		t.Errorf("%+v %v", absence, none)
	}
	if _, none := table.Now().UnavailabilityOf("shop", nil); none {
		t.Error("a service without servers has an absence")
	}
}

// BenchmarkOf measures the look-up of one server at each pick.
func BenchmarkOf(b *testing.B) {
	for _, reported := range []int{0, 1, 100} {
		b.Run(fmt.Sprint(reported, "-reported"), func(b *testing.B) {
			table := availability.NewTable(time.Now)
			for i := range reported {
				table.Record(process.Server{Service: "shop", ID: fmt.Sprint("i", i)}, leaving)
			}
			b.ReportAllocs()
			for b.Loop() {
				moment := table.Now()
				moment.Of(server)
			}
		})
	}
}

// BenchmarkLearnNothing measures the handling of an answer without a report.
func BenchmarkLearnNothing(b *testing.B) {
	table := availability.NewTable(time.Now)
	table.Record(process.Server{Service: "shop", ID: "i9"}, leaving)
	b.ReportAllocs()
	for b.Loop() {
		table.Record(server, protocol.ServerState{})
	}
}

// A server whose rate limit is used up takes no requests for the given time. If all servers of a
// service rest or have used up their limits, UnavailabilityOf returns when the first one takes requests.
func TestUsedUpRateLimit(t *testing.T) {
	table, c := newTable()
	views := []world.BackendView{{ID: "i1"}, {ID: "i2"}}
	named := func(i int) process.Server { return availability.ServerOf("shop", &views[i]) }
	table.MarkRateLimited(named(0), time.Second)
	expect(t, table, named(0), availability.RateLimited)
	table.Record(named(1), rest(3*time.Second))
	if absence, none := table.Now().UnavailabilityOf("shop", views); !none || absence.Reason != availability.RateLimited || absence.Remaining != time.Second {
		t.Errorf("%+v %v", absence, none)
	}
	table.MarkRateLimited(named(0), 5*time.Second)
	if absence, none := table.Now().UnavailabilityOf("shop", views); !none || absence.Reason != availability.Resting || absence.Remaining != 3*time.Second {
		t.Errorf("%+v %v", absence, none)
	}
	c.now = c.now.Add(5 * time.Second)
	expect(t, table, named(0), availability.Available)
	newer := process.Server{Service: server.Service, ID: server.ID, Started: 2000}
	table.MarkRateLimited(server, time.Hour)
	expect(t, table, newer, availability.Available)
	table.MarkRateLimited(newer, time.Second)
	table.MarkRateLimited(server, time.Hour)
	c.now = c.now.Add(2 * time.Second)
	expect(t, table, newer, availability.Available)
}

// All hosts together check about once a second whether a server is still leaving, however many
// have received its report.
func TestRechecksOfAllHostsAreBounded(t *testing.T) {
	for _, hosts := range []int{1, 12, 40, 443} {
		table, c := newTable()
		table.Record(server, leaving)
		c.now = start.Add(time.Hour)
		checks := 0
		for c.now.Sub(start) < 2*time.Hour {
			checks += len(table.ClaimRechecks(hosts))
			c.now = c.now.Add(time.Second)
		}
		if together := checks * hosts; checks == 0 || together > 3600+hosts {
			t.Errorf("%d hosts check %d times in an hour", hosts, together)
		}
	}
}
