package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/process"
	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/internal/register"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	server = process.Server{Service: "shop", ID: "i1", Started: 1000}
	again  = process.Server{Service: "shop", ID: "i1", Started: 2000}
)

func named(perSecond float64) protocol.RateLimit {
	return protocol.RateLimit{Named: true, PerSecond: perSecond}
}

// fleet is hosts that share one store of registers, as after all gossip.
type fleet struct {
	store *register.Store
	clock uint64
}

func newFleet() *fleet { return &fleet{store: register.NewStore()} }

func (f *fleet) view() *View { return ViewOf(f.store) }

func (f *fleet) tell(t *testing.T, now time.Time, report Report) {
	t.Helper()
	r, err := report.Register(now)
	if err != nil {
		t.Fatal(err)
	}
	f.clock++
	r.Stamp = &peerpb.Stamp{Clock: f.clock, Host: "h1"}
	if !f.store.Merge(now, r) {
		t.Fatal("the report was not taken")
	}
}

// hear lets a host that has heard nothing yet take an answer, and tells what it reports.
func (f *fleet) hear(t *testing.T, now time.Time, s process.Server, sentAt time.Time, said protocol.RateLimit) (Kind, bool) {
	t.Helper()
	report, isNew := NewListener().Hear(now, f.view(), s, sentAt, said)
	if isNew {
		f.tell(t, now, report)
	}
	return report.Kind, isNew
}

func (f *fleet) expect(t *testing.T, s process.Server, want float64) {
	t.Helper()
	limit, limited := f.view().Of(s)
	if got := limit.PerSecond; got != want || limited != (want > 0) {
		t.Errorf("%v has a limit of %v (%v), want %v", s, got, limited, want)
	}
}

// A limit that one host hears is known to all, with its age, and holds for that process only.
func TestOneAnswerIsEnoughForAllHosts(t *testing.T) {
	f := newFleet()
	if kind, isNew := f.hear(t, start, server, start, named(2.4)); !isNew || kind != Began {
		t.Fatalf("%v %v", kind, isNew)
	}
	f.expect(t, server, 2.4)
	f.expect(t, again, 0)
	f.expect(t, process.Server{Service: "shop", ID: "i1"}, 2.4)
	f.expect(t, process.Server{Service: "files", ID: "i1"}, 0)
	later := start.Add(30 * time.Second)
	f.hear(t, later, server, later, named(1))
	limit, _ := f.view().Of(server)
	if limit.PerSecond != 1 || !limit.Since.Equal(start) || limit.HeardBy != "h1" {
		t.Errorf("%+v", limit)
	}
}

// An answer without a limit ends one if its request was sent after the limit was known: the
// server may have begun an earlier one before it had a limit.
func TestOnlyALaterAnswerEndsALimit(t *testing.T) {
	f := newFleet()
	f.hear(t, start, server, start, named(2))
	later := start.Add(6 * time.Second)
	if _, isNew := f.hear(t, later, server, start.Add(-time.Millisecond), protocol.RateLimit{}); isNew {
		t.Error("an answer that was begun before the limit ends it")
	}
	if _, isNew := f.hear(t, later, server, later, protocol.RateLimit{Unreadable: `"x"`}); isNew {
		t.Error("a value that cannot be read says something")
	}
	f.expect(t, server, 2)
	if kind, isNew := f.hear(t, later, server, start.Add(time.Second), protocol.RateLimit{}); !isNew || kind != Ended {
		t.Errorf("%v %v", kind, isNew)
	}
	f.expect(t, server, 0)
	f.hear(t, later.Add(time.Second), server, later, named(3))
	f.expect(t, server, 3)
}

// A lower value counts at once, a higher one or none after a while: with a server that says
// something else in each answer the lowest holds.
func TestLimitThatChangesWithEachAnswer(t *testing.T) {
	f := newFleet()
	now := start
	said := []protocol.RateLimit{named(6), {}, named(1), named(6)}
	const answers = 100 // in 2 s
	reports, higher := 0, 0
	for i := range answers {
		now = now.Add(20 * time.Millisecond)
		if _, isNew := f.hear(t, now, server, now, said[i%len(said)]); isNew {
			reports++
		}
		if limit, limited := f.view().Of(server); !limited || limit.PerSecond > 1 {
			higher++
		}
	}
	if reports > 8 || higher > answers/10 {
		t.Errorf("%d reports of %d answers; the lowest did not hold at %d", reports, answers, higher)
	}
}

// A limit is told again before it is forgotten as long as hosts hear it, and not more often.
func TestLimitIsRenewed(t *testing.T) {
	f := newFleet()
	now := start
	reports := 0
	for now.Sub(start) < 10*time.Minute {
		if _, isNew := f.hear(t, now, server, now, named(2)); isNew {
			reports++
		}
		f.store.Expire(now)
		f.expect(t, server, 2)
		now = now.Add(time.Second)
	}
	if reports > 12 {
		t.Errorf("%d reports in 10 minutes", reports)
	}
	f.store.Expire(now.Add(heldFor))
	f.expect(t, server, 0)
}

// A new process under the same ID has named nothing, and a late answer of the old one names
// nothing of the new one.
func TestLimitsOfOtherProcesses(t *testing.T) {
	f := newFleet()
	f.hear(t, start, again, start, named(2))
	if _, isNew := f.hear(t, start.Add(time.Minute), server, start.Add(time.Minute), named(1)); isNew {
		t.Error("an answer of an ended process counts")
	}
	newest := process.Server{Service: "shop", ID: "i1", Started: 3000}
	f.expect(t, newest, 0)
	f.hear(t, start.Add(time.Minute), newest, start.Add(time.Minute), named(5))
	f.expect(t, newest, 5)
}

// One host tells a report once while it is on its way into the view, but a lower value at once.
func TestReportOnItsWay(t *testing.T) {
	l := NewListener()
	hear := func(now time.Time, perSecond float64) bool {
		_, isNew := l.Hear(now, nil, server, now, named(perSecond))
		return isNew
	}
	if !hear(start, 2) || hear(start.Add(time.Millisecond), 2) || hear(start.Add(2*time.Millisecond), 3) {
		t.Error("the report is told more than once")
	}
	if !hear(start.Add(3*time.Millisecond), 1) {
		t.Error("a lower value is not told")
	}
	if !hear(start.Add(onItsWay+3*time.Millisecond), 1) {
		t.Error("a report that was lost is not told again")
	}
}

// What is kept is bounded, and so is what is remembered of values that cannot be read.
func TestBounds(t *testing.T) {
	limits := make([]Limit, maxLimits)
	for i := range limits {
		limits[i].Server = process.Server{Service: "shop", ID: fmt.Sprint("b", i)}
	}
	l := NewListener()
	if _, isNew := l.Hear(start, NewView(limits), server, start, named(2)); isNew {
		t.Error("one more limit is told")
	}
	for i := range 3 * maxRemembered {
		l.Hear(start, nil, process.Server{Service: "shop", ID: fmt.Sprint(i)}, start, named(2))
		l.FirstUnreadable(process.Server{Service: "shop", ID: fmt.Sprint(i)})
	}
	if len(l.told) > maxRemembered || len(l.unreadable) > maxRemembered {
		t.Errorf("%d and %d are remembered", len(l.told), len(l.unreadable))
	}
	if l.FirstUnreadable(process.Server{Service: "shop", ID: fmt.Sprint(3*maxRemembered - 1)}) {
		t.Error("the same value is told twice")
	}
}

// Of a limit of none a server still gets a request now and then: its answer ends the limit.
func TestLimitOfNone(t *testing.T) {
	limit := Limit{PerSecond: 0}
	if got := limit.Allowed(); got != leastPerSecond {
		t.Errorf("%v requests a second are sent", got)
	}
	if most := 5.0; 4*limit.Allowed()+limit.Burst() > most {
		t.Errorf("%v requests may come in 4 s", 4*limit.Allowed()+limit.Burst())
	}
}

// What every send pays where no server has a limit, and where some have.
func BenchmarkOf(b *testing.B) {
	for _, n := range []int{0, 1, 100} {
		b.Run(fmt.Sprint(n, "-limited"), func(b *testing.B) {
			var limits []Limit
			for i := range n {
				limits = append(limits, Limit{Server: process.Server{Service: "shop", ID: fmt.Sprint("b", i)}})
			}
			view := NewView(limits)
			b.ReportAllocs()
			for b.Loop() {
				view.Of(server)
			}
		})
	}
}
