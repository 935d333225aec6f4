package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/hlc"
	"github.com/pearshelf/pearshelf/internal/register"
)

// A content that crashed three servers, each crash observed by a different host, is refused by all
// hosts, including one that starts afterwards.
func TestThreeCrashesSeenByThreeHosts(t *testing.T) {
	f := newFleet(t, 40)
	bad := contentID("bad")
	for i := range 3 {
		if n := f.refusingHosts(bad); n != 0 {
			t.Fatalf("%d hosts refuse the content after %d crashes", n, i)
		}
		f.serverCrashed(fmt.Sprintf("h%03d", 7*i), bad, fmt.Sprint("s", i))
	}
	f.advance(500 * time.Millisecond)
	if n := f.refusingHosts(bad); n != 40 {
		t.Errorf("%d of 40 hosts refuse the content", n)
	}
	if f.decisions != 1 {
		t.Errorf("%d decisions announced, want 1", f.decisions)
	}
	f.start("h999")
	f.syncHosts()
	if n := f.refusingHosts(bad); n != 41 {
		t.Errorf("%d of 41 hosts refuse the content after a host started", n)
	}
}

// A server's crash counts once, however many hosts lose a connection to it.
func TestOneServerCountsOnce(t *testing.T) {
	f := newFleet(t, 10)
	for i := range 10 {
		f.serverCrashed(fmt.Sprintf("h%03d", i), contentID("popular"), "s1")
	}
	f.advance(time.Second)
	if n := f.refusingHosts(contentID("popular")); n != 0 {
		t.Errorf("%d hosts refuse the content", n)
	}
}

// Repeated crashes of one server count separately: a service may have a single server, which restarts
// under the same ID each time.
func TestOneServerCrashesRepeatedly(t *testing.T) {
	f := newFleet(t, 10)
	for i := range 3 {
		f.serverCrashed(fmt.Sprintf("h%03d", i), contentID("bad"), "s1")
		f.serverCrashed(fmt.Sprintf("h%03d", i+3), contentID("bad"), "s1") // same crash, observed by another host
		f.advance(4 * time.Second)
	}
	if n := f.refusingHosts(contentID("bad")); n != 10 {
		t.Errorf("%d of 10 hosts refuse the content", n)
	}
}

// Half of all messages are lost; resending reports compensates for most of it.
func TestLostMessages(t *testing.T) {
	found := 0
	const contents = 200
	for i := range contents {
		f := newFleet(t, 12)
		f.rng = rand.New(rand.NewPCG(uint64(i), 3))
		f.lossRate = 0.5
		for j := range 3 {
			f.serverCrashed(fmt.Sprintf("h%03d", j), contentID("bad"), fmt.Sprint("s", j))
		}
		f.advance(time.Second)
		if f.refusingHosts(contentID("bad")) == 12 {
			found++
		}
	}
	// A home misses a crash with probability 1/4, and at least one of three homes must know of
	// all three crashes: 1-(1-(3/4)^3)^3 = 0.81, more if an observing host is a home.
	if found < contents*3/4 {
		t.Errorf("detected %d of %d contents", found, contents)
	}
}

// Partitioned hosts refuse the content as soon as they are connected again.
func TestPartitionedHostsLearnOfQuarantine(t *testing.T) {
	f := newFleet(t, 12)
	for i := range 4 {
		f.hosts[fmt.Sprintf("h%03d", i)].partition = 1
	}
	f.syncHosts()
	for j := range 3 {
		f.serverCrashed(fmt.Sprintf("h%03d", 4+j), contentID("bad"), fmt.Sprint("s", j))
	}
	f.advance(time.Second)
	if n := f.refusingHosts(contentID("bad")); n != 8 {
		t.Fatalf("%d of the 8 connected hosts refuse the content", n)
	}
	for _, h := range f.hosts {
		h.partition = 0
	}
	f.syncHosts()
	if n := f.refusingHosts(contentID("bad")); n != 12 {
		t.Errorf("%d of 12 hosts refuse the content", n)
	}
}

// The homes of a content are killed between its crashes. The hosts that observed the crashes report
// them to the new homes.
func TestHomesAreKilled(t *testing.T) {
	f := newFleet(t, 20)
	bad := contentID("bad")
	homesNow := f.hosts["h000"].table.homesOf(bad)
	var observers []string
	for name := range f.hosts {
		if name != homesNow[0] && name != homesNow[1] && name != homesNow[2] && len(observers) < 3 {
			observers = append(observers, name)
		}
	}
	f.serverCrashed(observers[0], bad, "s1")
	f.serverCrashed(observers[1], bad, "s2")
	f.advance(time.Second)
	for _, home := range homesNow {
		delete(f.hosts, home)
	}
	f.syncHosts()
	f.serverCrashed(observers[2], bad, "s3")
	f.advance(time.Second)
	if n := f.refusingHosts(bad); n != 17 {
		t.Errorf("%d of 17 hosts refuse the content", n)
	}
}

// A complete answer clears a content, even while it is in quarantine.
func TestAnswerClears(t *testing.T) {
	f := newFleet(t, 10)
	popular := contentID("popular")
	f.serverCrashed("h001", popular, "s1")
	f.serverCrashed("h002", popular, "s2")
	f.advance(10 * time.Millisecond)
	f.answered("h001", popular)
	f.advance(10 * time.Millisecond)
	f.serverCrashed("h003", popular, "s3")
	f.serverCrashed("h004", popular, "s4")
	f.advance(time.Second)
	if n := f.refusingHosts(popular); n != 0 {
		t.Fatalf("%d hosts refuse a content that was answered between its crashes", n)
	}
	f.serverCrashed("h005", popular, "s5")
	f.advance(time.Second)
	if n := f.refusingHosts(popular); n != 10 {
		t.Fatalf("%d of 10 hosts refuse the content after three crashes without an answer", n)
	}
	f.answered("h007", popular) // was in progress
	f.advance(time.Second)
	if n := f.refusingHosts(popular); n != 0 {
		t.Errorf("%d hosts refuse the content after an answer", n)
	}
}

// An answer that clears a content is reported once, and later ones are not: a popular read is answered
// often.
func TestAnswerIsReportedOnce(t *testing.T) {
	f := newFleet(t, 10)
	f.serverCrashed("h001", contentID("popular"), "s1")
	f.advance(200 * time.Millisecond)
	f.answered("h001", contentID("popular"))
	before := f.bytesSent
	for range 100 {
		f.answered("h001", contentID("popular"))
	}
	if f.bytesSent != before {
		t.Errorf("%d bytes sent for answers that clear nothing", f.bytesSent-before)
	}
	for _, h := range f.hosts {
		if h.table.HasEvidence() {
			t.Errorf("%s still holds evidence", h.name)
		}
	}
}

// After an operator has lifted a quarantine, a new one takes the full number of crashes again.
func TestLiftDiscardsEvidence(t *testing.T) {
	f := newFleet(t, 10)
	bad := contentID("bad")
	for i := range 3 {
		f.serverCrashed("h001", bad, fmt.Sprint("s", i))
	}
	f.advance(time.Second)
	f.announce(f.hosts["h002"], Decision{Cleared: bad})
	f.advance(time.Second)
	f.serverCrashed("h003", bad, "s7")
	f.serverCrashed("h004", bad, "s8")
	f.advance(time.Second)
	if n := f.refusingHosts(bad); n != 0 {
		t.Errorf("%d hosts refuse the content after two crashes", n)
	}
	f.serverCrashed("h005", bad, "s9")
	f.advance(time.Second)
	if n := f.refusingHosts(bad); n != 10 {
		t.Errorf("%d of 10 hosts refuse the content after three crashes", n)
	}
}

// A busy caller may have requests at many servers that crash for other reasons; the crashes kept for it
// are bounded.
func TestCrashesAreBounded(t *testing.T) {
	table := NewTable("h1")
	now := time.Unix(1000, 0)
	for i := range 1000 {
		now = now.Add(time.Second / 10)
		table.RecordCrash(now, contentID("caller"), Crash{Scope: ScopeCaller, Server: fmt.Sprint("s", i), At: now})
	}
	s := table.suspects[contentID("caller")]
	if len(s.crashes) > maxCrashes || len(s.observed) > maxCrashes {
		t.Errorf("%d crashes and %d observed crashes kept", len(s.crashes), len(s.observed))
	}
}

// After a hold, one host sends the content once. If another server crashes, the next hold is longer;
// if the content is answered, all hosts serve it.
func TestTrials(t *testing.T) {
	f := newFleet(t, 10)
	bad := contentID("bad")
	for i := range 3 {
		f.serverCrashed("h001", bad, fmt.Sprint("s", i))
	}
	f.advance(initialHold - time.Second)
	if n := f.trialCount(bad); n != 0 {
		t.Fatalf("%d hosts allowed a trial during the hold", n)
	}
	f.advance(2 * time.Second)
	tried := f.hostsAllowedTrial(bad)
	if len(tried) != 1 || f.trialCount(bad) != 0 {
		t.Fatalf("trial allowed at %v, and again at %d hosts; want one trial", tried, f.trialCount(bad))
	}
	f.serverCrashed(tried[0], bad, "s7")
	f.advance(initialHold + time.Second)
	if n := f.refusingHosts(bad); n != 10 {
		t.Fatalf("%d of 10 hosts refuse the content in the second hold", n)
	}
	f.advance(initialHold * holdFactor)
	tried = f.hostsAllowedTrial(bad)
	if len(tried) != 1 {
		t.Fatalf("trial allowed at %v after the second hold, want one host", tried)
	}
	f.answered(tried[0], bad)
	for _, h := range f.hosts {
		if h.table.view.Get(bad) != nil {
			t.Errorf("%s refuses a content that was answered on trial", h.name)
		}
	}
}

// A content that arrives only at one host gets its trial there, and no other host is allowed one.
func TestTrialAtAnyHost(t *testing.T) {
	f := newFleet(t, 10)
	bad := contentID("bad")
	for i := range 3 {
		f.serverCrashed("h001", bad, fmt.Sprint("s", i))
	}
	f.advance(initialHold + time.Second)
	homesNow := f.hosts["h000"].table.homesOf(bad)
	var at *host
	for _, h := range f.hosts {
		if h.name != homesNow[0] {
			at = h
		}
	}
	q := at.table.view.Get(bad)
	if tries, _ := at.table.RequestTrial(f.now, q); tries {
		t.Fatal("trial allowed without a grant")
	}
	f.deliver()
	if tries, _ := at.table.RequestTrial(f.now, q); !tries {
		t.Fatal("no trial granted")
	}
	if tried := f.hostsAllowedTrial(bad); len(tried) != 0 {
		t.Errorf("trial also allowed at %v", tried)
	}
}

// A caller whose requests differ each time is refused after six crashes without an answer.
func TestCallerWhoseRequestsDiffer(t *testing.T) {
	f := newFleet(t, 10)
	for i := range 2 * callerThreshold {
		host := f.hosts[fmt.Sprintf("h%03d", i%10)]
		if n := f.refusingHosts(contentID("caller")); i < callerThreshold && n > 0 || i == callerThreshold && n != 10 {
			t.Fatalf("%d of 10 hosts refuse the caller after %d crashes", n, i)
		}
		if i >= callerThreshold {
			f.advance(time.Second)
			continue
		}
		server := fmt.Sprint("s", i)
		host.table.RecordCrash(f.now, contentID(fmt.Sprint("request", i)), Crash{Server: server, At: f.now})
		host.table.RecordCrash(f.now, contentID("caller"), Crash{Scope: ScopeCaller, Server: server, At: f.now})
		f.deliver()
		f.advance(time.Second)
	}
	if n := f.trialCount(contentID("caller")); n != 1 {
		t.Errorf("%d trials of the caller after its hold, want 1", n)
	}
}

// Memory and the rate of announcements are bounded, however many contents there are.
func TestBounds(t *testing.T) {
	f := newFleet(t, 1)
	for i := range 2 * maxSuspects {
		for j := range 3 {
			f.serverCrashed("h000", contentID(fmt.Sprint(i)), fmt.Sprintf("s%d-%d", i, j))
		}
	}
	if n := len(f.hosts["h000"].table.suspects); n > maxSuspects {
		t.Errorf("%d contents kept", n)
	}
	if f.decisions > maxDecisionsPerSecond {
		t.Errorf("%d decisions at once", f.decisions)
	}
	f.advance(3 * time.Second)
	if f.decisions <= maxDecisionsPerSecond || f.decisions > 4*maxDecisionsPerSecond {
		t.Errorf("%d decisions after 3 s", f.decisions)
	}
}

// A quarantine survives encoding to a register and decoding on another host.
func TestRegisterRoundTrip(t *testing.T) {
	now := time.Unix(1000, 0)
	q := &Quarantine{Content: contentID("bad"), Service: "shop", Until: now.Add(ScopeContent.holdDuration(2)), Trials: 2, Ends: []Crash{{Service: "shop", Server: "s1", At: now.Add(-time.Second), Host: "h1"}}}
	r, err := q.Register(now)
	if err != nil {
		t.Fatal(err)
	}
	r.Stamp = &peerpb.Stamp{Clock: 1, Host: "h1"}
	store := register.NewStore()
	store.Merge(now, r)
	got := InForce(store)
	if len(got) != 1 || fmt.Sprint(*got[0]) != fmt.Sprint(*q) {
		t.Errorf("got %v, want %v", got, *q)
	}
}

// The traffic per crash does not grow with the number of hosts, and there is none without crashes.
// With 100 contents at once, 241 bytes are sent per crash among 36 hosts and 246 among 1,100, and
// each host receives 10 KB of decisions.
func TestTrafficDoesNotGrowWithHosts(t *testing.T) {
	const contents = 20
	first := 0
	for _, n := range []int{36, 113, 443} {
		f := newFleet(t, n)
		f.advance(time.Second)
		if f.bytesSent+f.decisionBytes != 0 {
			t.Errorf("%d hosts: %d bytes sent without crashes", n, f.bytesSent+f.decisionBytes)
		}
		for i := range contents {
			for j := range 3 {
				f.serverCrashed(f.names[f.rng.IntN(n)], contentID(fmt.Sprint("bad", i)), fmt.Sprintf("s%d-%d", i, j))
			}
		}
		f.advance(200 * time.Millisecond) // includes the resends
		perEnd := f.bytesSent / (3 * contents)
		t.Logf("%d hosts, %d contents at once: %d bytes sent per crash, %d bytes of decisions to each host", n, contents, perEnd, f.decisionBytes)
		if first == 0 {
			first = perEnd
		}
		if perEnd > first*5/4 {
			t.Errorf("%d hosts: %d bytes per crash, %d with 36 hosts", n, perEnd, first)
		}
	}
}

// FuzzMessages checks that no datagram from another host causes a panic.
func FuzzMessages(f *testing.F) {
	f.Add([]byte("0123456789abcdef"), "s", uint32(1))
	f.Add([]byte{}, "", uint32(0))
	f.Fuzz(func(t *testing.T, raw []byte, server string, age uint32) {
		table := NewTable("h1")
		now := time.Unix(1000, 0)
		ids := [][]byte{raw, nil}
		table.Receive(now, &peerpb.Datagram{
			From:        "h2",
			Ends:        []*peerpb.ServerEnd{{Content: raw, Server: server, AgeMs: age, Scope: peerpb.QuarantineScope(age)}},
			Served:      ids,
			TrialAsks:   ids,
			TrialGrants: ids,
		})
		table.Tick(now.Add(time.Second))
	})
}

// A lower-ranked home must not decide after an operator has lifted the first home's quarantine, of
// which it may not have learned in between. On a busy machine, a lifted content was refused again
// 0.15 s later.
func TestLateHomeDoesNotDecideAgain(t *testing.T) {
	f := newFleet(t, 10)
	bad := contentID("bad")
	second := f.hosts[f.hosts["h000"].table.homesOf(bad)[1]].table
	for i := range 3 {
		second.Receive(f.now, &peerpb.Datagram{From: "h9", Ends: []*peerpb.ServerEnd{{Content: bad[:], Server: fmt.Sprint("s", i)}}})
	}
	store := register.NewStore()
	lift := Lift(bad)
	lift.Stamp = &peerpb.Stamp{Clock: uint64(hlc.FromTime(f.now.Add(100 * time.Millisecond))), Host: "h1"}
	store.Merge(f.now, lift)
	second.SetView(f.now, ViewOf(store))
	second.Tick(f.now.Add(time.Second))
	if decisions := second.Decisions(); len(decisions) != 0 {
		t.Errorf("%d decisions after the lift", len(decisions))
	}
}

// Between a decision and its execution by the control loop, the quarantine may be lifted or another
// home's decision may arrive.
func TestSupersededDecisions(t *testing.T) {
	now := time.Unix(1000, 0)
	bad := contentID("bad")
	decided := &Quarantine{Content: bad, Ends: []Crash{{Server: "s1", At: now}, {Server: "s2", At: now.Add(time.Second)}}}
	lifted := func(at time.Time) *View {
		store := register.NewStore()
		lift := Lift(bad)
		lift.Stamp = &peerpb.Stamp{Clock: uint64(hlc.FromTime(at)), Host: "h1"}
		store.Merge(now, lift)
		return ViewOf(store)
	}
	for name, c := range map[string]struct {
		view *View
		want bool
	}{
		"no registers":                   {NewView(nil), false},
		"lifted before the newest crash": {lifted(now.Add(500 * time.Millisecond)), false},
		"lifted after all crashes":       {lifted(now.Add(2 * time.Second)), true},
		"decided by another home":        {NewView([]*Quarantine{{Content: bad}}), true},
		"another trial has failed":       {NewView([]*Quarantine{{Content: bad, Trials: 1}}), true},
		"another content in quarantine":  {NewView([]*Quarantine{{Content: contentID("x")}}), false},
	} {
		if got := c.view.Supersedes(decided); got != c.want {
			t.Errorf("%s: got %t", name, got)
		}
	}
}
