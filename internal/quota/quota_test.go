package quota

import (
	"slices"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/customer"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
)

var (
	epoch = time.Unix(1_000_000_000, 0)
	limit = customer.Limit{PerSecond: 10, Burst: 10}
)

// twoHosts returns the tables of a customer's home and of another host.
func twoHosts(t *testing.T) (home, other *Table, name string) {
	t.Helper()
	nodes := []rendezvous.Node{rendezvous.NewNode("h1", ""), rendezvous.NewNode("h2", "")}
	fleet := Fleet{Version: 1, Homes: nodes, Live: func(string) bool { return true }, Size: 2, Settled: true}
	limits := func(string) (customer.Limit, bool) { return limit, true }
	tables := map[string]*Table{"h1": NewTable("h1", CustomerRule(), limits), "h2": NewTable("h2", CustomerRule(), limits)}
	for _, table := range tables {
		table.SetFleet(epoch, fleet)
	}
	name = "fan"
	at := rendezvous.Top(name, nodes, 1)[0]
	home = tables[at]
	delete(tables, at)
	for _, table := range tables {
		other = table
	}
	return home, other, name
}

// onlyUsage returns the one usage that a table wants to tell.
func onlyUsage(t *testing.T, table *Table) *peerpb.CustomerUsage {
	t.Helper()
	messages := table.Messages()
	if len(messages) != 1 || len(messages[0].Usages) != 1 {
		t.Fatalf("%d messages, want one usage", len(messages))
	}
	return messages[0].Usages[0]
}

// A question that comes twice, because its answer was lost, takes its tokens once.
func TestRepeatedQuestionIsGrantedOnce(t *testing.T) {
	home, other, name := twoHosts(t)
	var verdicts []Verdict
	if _, now := other.Take(epoch, name, limit, func(v Verdict) { verdicts = append(verdicts, v) }); now {
		t.Fatal("decided without the home")
	}
	first := onlyUsage(t, other)
	home.Usages(epoch, other.self, 1, []*peerpb.CustomerUsage{first})
	tokens := home.homes[name].tokens
	home.Messages() // lost
	later := epoch.Add(questionTimeout)
	other.Tick(later)
	again := onlyUsage(t, other)
	if again.Ask != first.Ask {
		t.Fatalf("the question is repeated as %d, was %d", again.Ask, first.Ask)
	}
	home.Usages(later, other.self, 1, []*peerpb.CustomerUsage{again})
	if spent := tokens - home.homes[name].tokens; spent > 0 {
		t.Errorf("the repeat took %.1f tokens", spent)
	}
	other.Grants(later, home.self, home.Messages()[0].Grants)
	if len(verdicts) != 1 || !verdicts[0].OK {
		t.Errorf("verdicts %v", verdicts)
	}
}

// A home that does not answer is waited for once, and then gone on without.
func TestHomeThatDoesNotAnswer(t *testing.T) {
	_, other, name := twoHosts(t)
	decided := 0
	take := func(now time.Time) bool {
		verdict, at := other.Take(now, name, limit, func(v Verdict) {
			if v.OK {
				decided++
			}
		})
		if at && verdict.OK {
			decided++
		}
		return at
	}
	if take(epoch) {
		t.Fatal("decided without the home")
	}
	now := epoch
	for range questionTries {
		now = now.Add(questionTimeout)
		other.Tick(now)
	}
	if decided != 1 {
		t.Errorf("%d decided after the tries", decided)
	}
	if !take(now) {
		t.Error("the next request waits for the home too")
	}
	if due := other.Due(); due.IsZero() || due.Sub(now) > probeEvery {
		t.Errorf("the home is asked again at %s", due.Sub(now))
	}
}

// Callers that are refused are told to come back one after another.
func TestRefusedCallersComeBackInOrder(t *testing.T) {
	home, _, name := twoHosts(t)
	var last time.Duration
	refused := 0
	for range 60 {
		verdict, now := home.Take(epoch, name, limit, nil)
		if !now {
			t.Fatal("the home asks itself")
		}
		if verdict.OK {
			continue
		}
		refused++
		if verdict.RetryAfter < last || verdict.RetryAfter <= 0 || verdict.RetryAfter > mostRetryAfter {
			t.Errorf("refused after %s, the one before after %s", verdict.RetryAfter, last)
		}
		last = verdict.RetryAfter
	}
	if refused < 45 {
		t.Errorf("%d of 60 refused at once, of a burst of 10", refused)
	}
	if wait := time.Duration(float64(refused) / limit.PerSecond * float64(time.Second)); last < wait/2 {
		t.Errorf("the last is told %s; %d come at %.0f a second", last, refused, limit.PerSecond)
	}
}

// A home keeps back the part of a host that it no longer hears, however much the others
// ask for: that host goes on at its part.
func TestPartOfAHostOutOfReachIsKeptBack(t *testing.T) {
	home, other, name := twoHosts(t)
	now := epoch
	grant := func(from string, wanted uint32) uint32 {
		usage := &peerpb.CustomerUsage{Customer: name, Use: 3, Ask: uint64(now.Sub(epoch)), Wanted: wanted, Again: true}
		home.Usages(now, from, 1, []*peerpb.CustomerUsage{usage})
		granted := home.Messages()[0].Grants[0].Granted
		return granted
	}
	step := func(froms ...string) (granted uint32) {
		now = now.Add(500 * time.Millisecond)
		for _, from := range froms {
			granted += grant(from, 20)
		}
		return granted
	}
	for now.Sub(epoch) < keptFor+10*time.Second {
		step(other.self, "h3")
	}
	fleet := home.fleet
	fleet.Live = func(host string) bool { return host != "h3" }
	home.SetFleet(now, fleet)
	for range 8 { // until h3 counts as silent
		step(other.self)
	}
	var granted uint32
	const seconds = 10
	for range 2 * seconds {
		granted += step(other.self)
	}
	if most := uint32(0.6 * seconds * limit.PerSecond); granted > most || granted < most/2 {
		t.Errorf("%d requests in %d s went to the half that is heard, of %.0f a second", granted, seconds, limit.PerSecond)
	}
}

// rareLimit is the rate limit of a server in need.
var rareLimit = customer.Limit{PerSecond: 1.4, Burst: 1.7}

// What was allowed and not sent goes to the host's next request, once and not for long.
func TestReturnedTokenIsSpentOnce(t *testing.T) {
	table := NewTable("h1", ServerRule(), nil)
	table.SetFleet(epoch, Fleet{Version: 1, Homes: []rendezvous.Node{rendezvous.NewNode("h1", "")}, Live: func(string) bool { return true }, Size: 1, Settled: true})
	now := epoch.Add(time.Minute)
	take := func() bool {
		verdict, decided := table.Take(now, "shop/i1", rareLimit, nil)
		return decided && verdict.OK
	}
	for take() { // until the bucket is empty
	}
	if take() {
		t.Fatal("the bucket never empties")
	}
	table.Return(now, "shop/i1")
	if !take() || take() {
		t.Error("what was returned is not spent once")
	}
	table.Return(now, "shop/i1")
	before := now
	now = now.Add(creditLife + time.Millisecond)
	spent := 0
	for take() {
		spent++
	}
	if most := int(rareLimit.PerSecond*now.Sub(before).Seconds()+1) + 1; spent > most {
		t.Errorf("%d spent after %s", spent, now.Sub(before))
	}
}

// Hosts that do not hear the home of a limit of few requests must not each have some saved up:
// together they would break it.
func TestHostsThatGoOnAloneKeepASmallLimit(t *testing.T) {
	const hosts = 40
	fleet := Fleet{Version: 1, Size: hosts, Settled: true, Live: func(string) bool { return true }}
	for n := range hosts {
		fleet.Homes = append(fleet.Homes, rendezvous.NewNode(string(rune('a'+n)), ""))
	}
	sent := 0
	for _, node := range fleet.Homes {
		table := NewTable(node.Name, ServerRule(), func(string) (customer.Limit, bool) { return rareLimit, true })
		table.SetFleet(epoch, fleet)
		if table.homeName("shop/i1") == node.Name {
			continue // the one that no other hears
		}
		// Some time ago the home was heard: it had no room.
		table.Take(epoch.Add(-50*time.Second), "shop/i1", rareLimit, func(Verdict) {})
		ask := onlyUsage(t, table).Ask
		table.Grants(epoch.Add(-50*time.Second), table.homeName("shop/i1"), []*peerpb.CustomerGrant{{Customer: "shop/i1", Ask: ask}})
		for now := epoch; now.Sub(epoch) < 4*time.Second; now = now.Add(10 * time.Millisecond) {
			table.Tick(now)
			verdict, decided := table.Take(now, "shop/i1", rareLimit, func(v Verdict) {
				if v.OK {
					sent++
				}
			})
			if decided && verdict.OK {
				sent++
			}
			table.Messages() // lost
		}
	}
	if most := int(1.5*4*rareLimit.PerSecond) + 5; sent > most {
		t.Errorf("%d requests in 4 s, of %d at most", sent, most)
	}
}

// A request that would do with any of several servers is told when the first has room for it,
// and the next one a later time.
func TestPromisesOfSeveralServersAreSpread(t *testing.T) {
	table := NewTable("h1", ServerRule(), nil)
	table.SetFleet(epoch, Fleet{Version: 1, Homes: []rendezvous.Node{rendezvous.NewNode("h1", "")}, Live: func(string) bool { return true }, Size: 1, Settled: true})
	names := []string{"shop/i1", "shop/i2"}
	for _, name := range names {
		for {
			if verdict, _ := table.Take(epoch, name, rareLimit, nil); !verdict.OK {
				break
			}
		}
	}
	var last time.Duration
	const callers = 10
	for range callers {
		after := table.Promise(epoch, names)
		if after <= 0 || after < last {
			t.Errorf("told %s after %s", after, last)
		}
		last = after
	}
	room := time.Duration(callers / (2 * rareLimit.PerSecond) * float64(time.Second))
	if last < room/2 || last > 2*room {
		t.Errorf("the last of %d callers is told %s; there is room for them in %s", callers, last, room)
	}
	if after := table.Promise(epoch, []string{"shop/i9"}); after != 0 {
		t.Errorf("a server that was never asked for promises %s", after)
	}
}

// Hosts that ask for a limit of few requests seldom each remember the part that they had when
// few had asked. Alone they must not go on at these parts, which add up to more than the limit.
func TestPartsThatHostsRememberDoNotAddUp(t *testing.T) {
	const hosts = 40
	fleet := Fleet{Version: 1, Size: hosts, Settled: true, Live: func(string) bool { return true }}
	tables := make(map[string]*Table)
	for n := range hosts {
		name := string(rune('a' + n))
		fleet.Homes = append(fleet.Homes, rendezvous.NewNode(name, ""))
		tables[name] = NewTable(name, ServerRule(), func(string) (customer.Limit, bool) { return rareLimit, true })
	}
	for _, table := range tables {
		table.SetFleet(epoch, fleet)
	}
	home := tables[rendezvous.Top("shop/i1", fleet.Homes, 1)[0]]
	now := epoch
	for _, node := range slices.Concat(fleet.Homes, fleet.Homes) { // one after another asks, twice
		table := tables[node.Name]
		table.Take(now, "shop/i1", rareLimit, func(Verdict) {})
		for _, m := range table.Messages() {
			home.Usages(now, table.self, 1, m.Usages)
		}
		for _, m := range home.Messages() {
			table.Grants(now, home.self, m.Grants)
		}
		now = now.Add(time.Second) // there is room for each
	}
	sum := 0.0
	for _, table := range tables {
		sum += table.partAlone(now, table.served["shop/i1"])
	}
	if sum > 1.05 {
		t.Errorf("hosts that go on alone use %.2f of the limit", sum)
	}
}
