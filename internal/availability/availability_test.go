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

// clock is set by hand.
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

// A server's report that it leaves holds until its process is gone: also hours later, after
// answers of requests that were under way and say nothing, and where its start is no longer
// or not yet known. A new process under the same ID has said nothing.
func TestLeavingHoldsForTheProcess(t *testing.T) {
	table, c := newTable()
	if change := table.Learn(server, leaving); !change.BeganLeaving {
		t.Error("the first report is not told as a change")
	}
	if change := table.Learn(server, leaving); change.BeganLeaving {
		t.Error("a repeated report is told as a change")
	}
	c.now = c.now.Add(5 * time.Hour)
	table.Learn(server, protocol.ServerState{})
	expect(t, table, server, availability.Leaving)
	expect(t, table, process.Server{Service: "shop", ID: "i1"}, availability.Leaving)
	expect(t, table, process.Server{Service: "shop", ID: "i1", Started: 500}, availability.Leaving)
	expect(t, table, process.Server{Service: "shop", ID: "i1", Started: 2000}, availability.Available)
	expect(t, table, process.Server{Service: "files", ID: "i1", Started: 1000}, availability.Available)
	again := process.Server{Service: "shop", ID: "i1", Started: 2000}
	table.Learn(again, rest(time.Second))
	expect(t, table, again, availability.Resting)
	c.now = c.now.Add(time.Hour)
	expect(t, table, again, availability.Available)
}

// A late answer of a process that has ended says nothing of the one that has its ID now, and
// what an old process said is forgotten with the first answer of the new one.
func TestReportsOfOtherProcesses(t *testing.T) {
	table, _ := newTable()
	again := process.Server{Service: "shop", ID: "i1", Started: 2000}
	table.Learn(again, rest(time.Second))
	table.Learn(server, leaving)
	expect(t, table, again, availability.Resting)
	table, _ = newTable()
	table.Learn(server, leaving)
	table.Learn(again, protocol.ServerState{})
	if !table.Now().Nothing() {
		t.Error("the report of the old process is kept")
	}
}

// Of two rests the later end holds. After it a server is returning until it answers without
// asking for another rest, or for a short time.
func TestRestEnds(t *testing.T) {
	table, c := newTable()
	if change := table.Learn(server, rest(3*time.Second)); !change.BeganRest {
		t.Error("the first rest is not told as a change")
	}
	if change := table.Learn(server, rest(time.Second)); change.BeganRest {
		t.Error("a rest within a rest is told as a change")
	}
	c.now = start.Add(3*time.Second - 1)
	expect(t, table, server, availability.Resting)
	if change := table.Learn(server, protocol.ServerState{}); change.Returned {
		t.Error("an answer within the rest ends it")
	}
	expect(t, table, server, availability.Resting)
	c.now = start.Add(3 * time.Second)
	expect(t, table, server, availability.Returning)
	if change := table.Learn(server, protocol.ServerState{}); !change.Returned {
		t.Error("the return is not told as a change")
	}
	expect(t, table, server, availability.Available)
	table.Learn(server, rest(time.Second))
	c.now = c.now.Add(10 * time.Second)
	expect(t, table, server, availability.Available)
}

// A server that rests and then leaves does not return.
func TestLeavingOutlivesRest(t *testing.T) {
	table, c := newTable()
	table.Learn(server, rest(time.Second))
	table.Learn(server, leaving)
	c.now = c.now.Add(time.Second)
	table.Learn(server, protocol.ServerState{})
	expect(t, table, server, availability.Leaving)
	table.Forget(server)
	expect(t, table, server, availability.Available)
}

// What is kept is bounded: rests that are over go first, then what was said longest ago.
func TestTableIsBounded(t *testing.T) {
	const many = 3_000
	table, c := newTable()
	for i := range many {
		c.now = c.now.Add(time.Millisecond)
		table.Learn(process.Server{Service: "shop", ID: fmt.Sprint(i)}, leaving)
	}
	if kept := len(table.Now().All()); kept < 500 || kept > many/2 {
		t.Errorf("%d servers are kept", kept)
	}
	expect(t, table, process.Server{Service: "shop", ID: fmt.Sprint(many - 1)}, availability.Leaving)
	expect(t, table, process.Server{Service: "shop", ID: "0"}, availability.Available)
}

// A service without servers that take requests says when the first of them does.
func TestAbsence(t *testing.T) {
	table, c := newTable()
	views := []world.BackendView{{ID: "i1"}, {ID: "i2"}, {ID: "i3"}}
	named := func(i int) process.Server { return availability.ServerOf("shop", &views[i]) }
	if _, none := table.Now().AbsenceOf("shop", views); none {
		t.Error("nothing was said, and none takes requests")
	}
	table.Learn(named(0), leaving)
	table.Learn(named(1), rest(5*time.Second))
	if _, none := table.Now().AbsenceOf("shop", views); none {
		t.Error("i3 takes requests")
	}
	table.Learn(named(2), rest(3*time.Second))
	if absence, none := table.Now().AbsenceOf("shop", views); !none || absence.Reason != availability.Resting || absence.Left != 3*time.Second {
		t.Errorf("%+v %v", absence, none)
	}
	c.now = c.now.Add(3 * time.Second)
	if _, none := table.Now().AbsenceOf("shop", views); none {
		t.Error("i3 is back")
	}
	if absence, none := table.Now().AbsenceOf("shop", views[:1]); !none || absence.Reason != availability.Leaving {
		t.Errorf("%+v %v", absence, none)
	}
	if _, none := table.Now().AbsenceOf("shop", nil); none {
		t.Error("a service without servers is another matter")
	}
}

// What a request pays at each pick for one server, and for an answer.
func BenchmarkOf(b *testing.B) {
	for _, said := range []int{0, 1, 100} {
		b.Run(fmt.Sprint(said, "-said"), func(b *testing.B) {
			table := availability.NewTable(time.Now)
			for i := range said {
				table.Learn(process.Server{Service: "shop", ID: fmt.Sprint("i", i)}, leaving)
			}
			b.ReportAllocs()
			for b.Loop() {
				moment := table.Now()
				moment.Of(server)
			}
		})
	}
}

func BenchmarkLearnNothing(b *testing.B) {
	table := availability.NewTable(time.Now)
	table.Learn(process.Server{Service: "shop", ID: "i9"}, leaving)
	b.ReportAllocs()
	for b.Loop() {
		table.Learn(server, protocol.ServerState{})
	}
}

// A server whose rate limit has no room takes no requests until then; a service all of whose
// servers rest or have no room says when the first takes some.
func TestNoRoomInARateLimit(t *testing.T) {
	table, c := newTable()
	views := []world.BackendView{{ID: "i1"}, {ID: "i2"}}
	named := func(i int) process.Server { return availability.ServerOf("shop", &views[i]) }
	table.NoteNoRoom(named(0), time.Second)
	expect(t, table, named(0), availability.NoRoom)
	table.Learn(named(1), rest(3*time.Second))
	if absence, none := table.Now().AbsenceOf("shop", views); !none || absence.Reason != availability.NoRoom || absence.Left != time.Second {
		t.Errorf("%+v %v", absence, none)
	}
	table.NoteNoRoom(named(0), 5*time.Second)
	if absence, none := table.Now().AbsenceOf("shop", views); !none || absence.Reason != availability.Resting || absence.Left != 3*time.Second {
		t.Errorf("%+v %v", absence, none)
	}
	c.now = c.now.Add(5 * time.Second)
	expect(t, table, named(0), availability.Available)
	newer := process.Server{Service: server.Service, ID: server.ID, Started: 2000}
	table.NoteNoRoom(server, time.Hour)
	expect(t, table, newer, availability.Available)
	table.NoteNoRoom(newer, time.Second)
	table.NoteNoRoom(server, time.Hour)
	c.now = c.now.Add(2 * time.Second)
	expect(t, table, newer, availability.Available)
}

// However many hosts have been told that a server leaves, together they ask it about once a
// second whether it still does.
func TestQuestionsOfAllHostsAreBounded(t *testing.T) {
	for _, hosts := range []int{1, 12, 40, 443} {
		table, c := newTable()
		table.Learn(server, leaving)
		c.now = start.Add(time.Hour)
		asked := 0
		for c.now.Sub(start) < 2*time.Hour {
			asked += len(table.TakeRechecks(hosts))
			c.now = c.now.Add(time.Second)
		}
		if together := asked * hosts; asked == 0 || together > 3600+hosts {
			t.Errorf("%d hosts ask %d times in an hour", hosts, together)
		}
	}
}
