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
	start     = time.Unix(1_700_000_000, 0)
	server    = process.Server{Service: "shop", ID: "i1", Started: 1000}
	restarted = process.Server{Service: "shop", ID: "i1", Started: 2000}
)

func named(perSecond float64) protocol.RateLimit {
	return protocol.RateLimit{Named: true, PerSecond: perSecond}
}

// fleet models hosts whose stores of registers have converged.
type fleet struct {
	store *register.Store
	clock uint64
}

func newFleet() *fleet { return &fleet{store: register.NewStore()} }

func (f *fleet) view() *View { return ViewOf(f.store) }

func (f *fleet) merge(t *testing.T, now time.Time, report Report) {
	t.Helper()
	r, err := report.Register(now)
	if err != nil {
		t.Fatal(err)
	}
	f.clock++
	r.Stamp = &peerpb.Stamp{Clock: f.clock, Host: "h1"}
	if !f.store.Merge(now, r) {
		t.Fatal("the store did not accept the report")
	}
}

// hear passes an answer to a host without earlier reports, and merges its report into the store.
func (f *fleet) hear(t *testing.T, now time.Time, s process.Server, sentAt time.Time, announced protocol.RateLimit) (Kind, bool) {
	t.Helper()
	report, isNew := NewListener().Observe(now, f.view(), s, sentAt, announced)
	if isNew {
		f.merge(t, now, report)
	}
	return report.Kind, isNew
}

func (f *fleet) expect(t *testing.T, s process.Server, want float64) {
	t.Helper()
	limit, limited := f.view().Of(s)
	if got := limit.PerSecond; got != want || limited != (want > 0) {
		t.Errorf("%v has a limit of %v (limited: %v), want %v", s, got, limited, want)
	}
}

// A limit that one host receives applies at all hosts, with its age, and only to the process that
// announced it.
func TestLimitFromOneAnswerAppliesAtAllHosts(t *testing.T) {
	f := newFleet()
	if kind, isNew := f.hear(t, start, server, start, named(2.4)); !isNew || kind != Began {
		t.Fatalf("%v %v", kind, isNew)
	}
	f.expect(t, server, 2.4)
	f.expect(t, restarted, 0)
	f.expect(t, process.Server{Service: "shop", ID: "i1"}, 2.4)
	f.expect(t, process.Server{Service: "files", ID: "i1"}, 0)
	later := start.Add(30 * time.Second)
	f.hear(t, later, server, later, named(1))
	limit, _ := f.view().Of(server)
	if limit.PerSecond != 1 || !limit.Since.Equal(start) || limit.ReportedBy != "h1" {
		t.Errorf("%+v", limit)
	}
}

// An answer without a limit ends the limit only if its request was sent after the limit was
// learned: the server may have started an earlier answer before it had a limit.
func TestOnlyLaterAnswerEndsLimit(t *testing.T) {
	f := newFleet()
	f.hear(t, start, server, start, named(2))
	later := start.Add(6 * time.Second)
	if _, isNew := f.hear(t, later, server, start.Add(-time.Millisecond), protocol.RateLimit{}); isNew {
		t.Error("the answer to a request sent before the limit was learned ended the limit")
	}
	if _, isNew := f.hear(t, later, server, later, protocol.RateLimit{Invalid: `"x"`}); isNew {
		t.Error("an unreadable value was reported")
	}
	f.expect(t, server, 2)
	if kind, isNew := f.hear(t, later, server, start.Add(time.Second), protocol.RateLimit{}); !isNew || kind != Ended {
		t.Errorf("%v %v", kind, isNew)
	}
	f.expect(t, server, 0)
	f.hear(t, later.Add(time.Second), server, later, named(3))
	f.expect(t, server, 3)
}

// A lower value applies at once, a higher one or none only after minHold. If a server announces a
// different value with each answer, the lowest applies.
func TestLowestOfChangingLimitsApplies(t *testing.T) {
	f := newFleet()
	now := start
	announced := []protocol.RateLimit{named(6), {}, named(1), named(6)}
	const answers = 100 // in 2 s
	reports, higher := 0, 0
	for i := range answers {
		now = now.Add(20 * time.Millisecond)
		if _, isNew := f.hear(t, now, server, now, announced[i%len(announced)]); isNew {
			reports++
		}
		if limit, limited := f.view().Of(server); !limited || limit.PerSecond > 1 {
			higher++
		}
	}
	if reports > 8 || higher > answers/10 {
		t.Errorf("%d reports for %d answers; the lowest limit did not apply after %d of them", reports, answers, higher)
	}
}

// A limit is renewed before it expires as long as hosts receive it, and not more often than needed.
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
	f.store.Expire(now.Add(limitTTL))
	f.expect(t, server, 0)
}

// A limit does not apply to a new process under the same ID, and a late answer of the old process
// does not change the limit of the new one.
func TestLimitsOfOtherProcesses(t *testing.T) {
	f := newFleet()
	f.hear(t, start, restarted, start, named(2))
	if _, isNew := f.hear(t, start.Add(time.Minute), server, start.Add(time.Minute), named(1)); isNew {
		t.Error("the answer of an ended process was reported")
	}
	newest := process.Server{Service: "shop", ID: "i1", Started: 3000}
	f.expect(t, newest, 0)
	f.hear(t, start.Add(time.Minute), newest, start.Add(time.Minute), named(5))
	f.expect(t, newest, 5)
}

// A host does not repeat a report while it propagates into the view, but reports a lower value at
// once.
func TestPropagatingReportIsNotRepeated(t *testing.T) {
	l := NewListener()
	hear := func(now time.Time, perSecond float64) bool {
		_, isNew := l.Observe(now, nil, server, now, named(perSecond))
		return isNew
	}
	if !hear(start, 2) || hear(start.Add(time.Millisecond), 2) || hear(start.Add(2*time.Millisecond), 3) {
		t.Error("the change was not reported exactly once")
	}
	if !hear(start.Add(3*time.Millisecond), 1) {
		t.Error("a lower value was not reported")
	}
	if !hear(start.Add(propagationTime+3*time.Millisecond), 1) {
		t.Error("a lost report was not repeated")
	}
}

// The numbers of limits, of last reports and of servers with unreadable values are bounded.
func TestBounds(t *testing.T) {
	limits := make([]Limit, maxLimits)
	for i := range limits {
		limits[i].Server = process.Server{Service: "shop", ID: fmt.Sprint("b", i)}
	}
	l := NewListener()
	if _, isNew := l.Observe(start, NewView(limits), server, start, named(2)); isNew {
		t.Error("a limit beyond maxLimits was reported")
	}
	for i := range 3 * maxTracked {
		l.Observe(start, nil, process.Server{Service: "shop", ID: fmt.Sprint(i)}, start, named(2))
		l.FirstUnreadable(process.Server{Service: "shop", ID: fmt.Sprint(i)})
	}
	if len(l.lastReport) > maxTracked || len(l.unreadable) > maxTracked {
		t.Errorf("%d last reports and %d unreadable values are tracked", len(l.lastReport), len(l.unreadable))
	}
	if l.FirstUnreadable(process.Server{Service: "shop", ID: fmt.Sprint(3*maxTracked - 1)}) {
		t.Error("an unreadable value of the same server is reported as the first twice")
	}
}

// A server with a limit of 0 still gets occasional requests, so that an answer can end the limit.
func TestLimitOfZero(t *testing.T) {
	limit := Limit{PerSecond: 0}
	if got := limit.Allowed(); got != minPerSecond {
		t.Errorf("%v requests a second are sent, want minPerSecond", got)
	}
	if most := 5.0; 4*limit.Allowed()+limit.Burst() > most {
		t.Errorf("%v requests may be sent in 4 s", 4*limit.Allowed()+limit.Burst())
	}
}

// BenchmarkOf measures the look-up for each send, with and without limits.
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
