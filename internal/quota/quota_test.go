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

// twoHosts returns the tables of a customer's home and of another host, and the customer's name.
func twoHosts(t *testing.T) (home, other *Table, name string) {
	t.Helper()
	nodes := []rendezvous.Node{rendezvous.NewNode("h1", ""), rendezvous.NewNode("h2", "")}
	fleet := Fleet{Version: 1, Homes: nodes, Live: func(string) bool { return true }, PeakSize: 2, Settled: true}
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

// onlyUsage returns the queued usage report of a table, and fails unless there is exactly one.
func onlyUsage(t *testing.T, table *Table) *peerpb.CustomerUsage {
	t.Helper()
	messages := table.TakeMessages()
	if len(messages) != 1 || len(messages[0].Usages) != 1 {
		t.Fatalf("%d messages queued, want one with one usage report", len(messages))
	}
	return messages[0].Usages[0]
}

// A token request that is repeated because its answer was lost must not take tokens twice.
func TestRepeatedTokenRequestIsGrantedOnce(t *testing.T) {
	home, other, name := twoHosts(t)
	var verdicts []Decision
	if _, now := other.Take(epoch, name, limit, func(v Decision) { verdicts = append(verdicts, v) }); now {
		t.Fatal("decided without asking the home")
	}
	first := onlyUsage(t, other)
	home.Usages(epoch, other.self, 1, []*peerpb.CustomerUsage{first})
	tokens := home.homes[name].tokens
	home.TakeMessages() // discarded: the answer is lost
	later := epoch.Add(requestTimeout)
	other.Tick(later)
	repeated := onlyUsage(t, other)
	if repeated.Ask != first.Ask {
		t.Fatalf("token request repeated with ID %d, want %d", repeated.Ask, first.Ask)
	}
	home.Usages(later, other.self, 1, []*peerpb.CustomerUsage{repeated})
	if spent := tokens - home.homes[name].tokens; spent > 0 {
		t.Errorf("the repeated token request took %.1f tokens, want 0", spent)
	}
	other.Grants(later, home.self, home.TakeMessages()[0].Grants)
	if len(verdicts) != 1 || !verdicts[0].OK {
		t.Errorf("verdicts %v, want one that allows the request", verdicts)
	}
}

// If the home does not answer, the host decides by itself, and later requests must not wait
// for the home again.
func TestFallbackWhenHomeDoesNotAnswer(t *testing.T) {
	_, other, name := twoHosts(t)
	decided := 0
	take := func(now time.Time) bool {
		verdict, at := other.Take(now, name, limit, func(v Decision) {
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
		t.Fatal("decided without asking the home")
	}
	now := epoch
	for range maxRequestAttempts {
		now = now.Add(requestTimeout)
		other.Tick(now)
	}
	if decided != 1 {
		t.Errorf("%d requests allowed after the last attempt, want 1", decided)
	}
	if !take(now) {
		t.Error("the next request waits for the home")
	}
	if due := other.Due(); due.IsZero() || due.Sub(now) > probeInterval {
		t.Errorf("the next usage report is due in %s, later than the probe interval", due.Sub(now))
	}
}

// Refused callers get increasing retry times, spaced by the rate of the limit.
func TestRetryTimesOfRefusedCallersIncrease(t *testing.T) {
	home, _, name := twoHosts(t)
	var last time.Duration
	refused := 0
	for range 60 {
		verdict, now := home.Take(epoch, name, limit, nil)
		if !now {
			t.Fatal("the home has to ask for tokens")
		}
		if verdict.OK {
			continue
		}
		refused++
		if verdict.RetryAfter < last || verdict.RetryAfter <= 0 || verdict.RetryAfter > maxRetryAfter {
			t.Errorf("retry after %s, the previous caller after %s", verdict.RetryAfter, last)
		}
		last = verdict.RetryAfter
	}
	if refused < 45 {
		t.Errorf("%d of 60 simultaneous requests refused with a burst of 10, want at least 45", refused)
	}
	if wait := time.Duration(float64(refused) / limit.PerSecond * float64(time.Second)); last < wait/2 {
		t.Errorf("the last caller is to retry after %s, with %d refused at a limit of %.0f a second", last, refused, limit.PerSecond)
	}
}

// A home reserves the share of an unreachable host, however much the others request: that host
// continues with its share.
func TestShareOfUnreachableHostIsReserved(t *testing.T) {
	home, other, name := twoHosts(t)
	now := epoch
	grant := func(from string, wanted uint32) uint32 {
		usage := &peerpb.CustomerUsage{Customer: name, Use: 3, Ask: uint64(now.Sub(epoch)), Wanted: wanted, Again: true}
		home.Usages(now, from, 1, []*peerpb.CustomerUsage{usage})
		granted := home.TakeMessages()[0].Grants[0].Granted
		return granted
	}
	step := func(hosts ...string) (granted uint32) {
		now = now.Add(500 * time.Millisecond)
		for _, from := range hosts {
			granted += grant(from, 20)
		}
		return granted
	}
	for now.Sub(epoch) < shareRetention+10*time.Second {
		step(other.self, "h3")
	}
	fleet := home.fleet
	fleet.Live = func(host string) bool { return host != "h3" }
	home.SetFleet(now, fleet)
	for range 8 { // until h3 is considered silent
		step(other.self)
	}
	var granted uint32
	const seconds = 10
	for range 2 * seconds {
		granted += step(other.self)
	}
	if most := uint32(0.6 * seconds * limit.PerSecond); granted > most || granted < most/2 {
		t.Errorf("%d requests granted in %d s to the reachable half, at a limit of %.0f a second", granted, seconds, limit.PerSecond)
	}
}

// smallLimit is the rate limit of an overloaded backend server.
var smallLimit = customer.Limit{PerSecond: 1.4, Burst: 1.7}

// The token of a request that was allowed but not sent goes to the host's next request, once and
// only within creditTTL.
func TestReturnedTokenIsSpentOnce(t *testing.T) {
	table := NewTable("h1", ServerRule(), nil)
	table.SetFleet(epoch, Fleet{Version: 1, Homes: []rendezvous.Node{rendezvous.NewNode("h1", "")}, Live: func(string) bool { return true }, PeakSize: 1, Settled: true})
	now := epoch.Add(time.Minute)
	take := func() bool {
		verdict, decided := table.Take(now, "shop/i1", smallLimit, nil)
		return decided && verdict.OK
	}
	for take() { // until the bucket is empty
	}
	if take() {
		t.Fatal("a request was allowed by an empty bucket")
	}
	table.ReturnToken(now, "shop/i1")
	if !take() || take() {
		t.Error("the returned token was not spent exactly once")
	}
	table.ReturnToken(now, "shop/i1")
	before := now
	now = now.Add(creditTTL + time.Millisecond)
	spent := 0
	for take() {
		spent++
	}
	if most := int(smallLimit.PerSecond*now.Sub(before).Seconds()+1) + 1; spent > most {
		t.Errorf("%d tokens spent after %s, more than the rate allows", spent, now.Sub(before))
	}
}

// Hosts that cannot reach the home of a small limit must not start with accrued tokens: together
// they would exceed the limit.
func TestFallbackDoesNotExceedSmallLimit(t *testing.T) {
	const hosts = 40
	fleet := Fleet{Version: 1, PeakSize: hosts, Settled: true, Live: func(string) bool { return true }}
	for n := range hosts {
		fleet.Homes = append(fleet.Homes, rendezvous.NewNode(string(rune('a'+n)), ""))
	}
	sent := 0
	for _, node := range fleet.Homes {
		table := NewTable(node.Name, ServerRule(), func(string) (customer.Limit, bool) { return smallLimit, true })
		table.SetFleet(epoch, fleet)
		if table.homeName("shop/i1") == node.Name {
			continue // the unreachable home
		}
		// The home answered some time ago, without a grant.
		table.Take(epoch.Add(-50*time.Second), "shop/i1", smallLimit, func(Decision) {})
		ask := onlyUsage(t, table).Ask
		table.Grants(epoch.Add(-50*time.Second), table.homeName("shop/i1"), []*peerpb.CustomerGrant{{Customer: "shop/i1", Ask: ask}})
		for now := epoch; now.Sub(epoch) < 4*time.Second; now = now.Add(10 * time.Millisecond) {
			table.Tick(now)
			verdict, decided := table.Take(now, "shop/i1", smallLimit, func(v Decision) {
				if v.OK {
					sent++
				}
			})
			if decided && verdict.OK {
				sent++
			}
			table.TakeMessages() // discarded: the home is unreachable
		}
	}
	if most := int(1.5*4*smallLimit.PerSecond) + 5; sent > most {
		t.Errorf("%d requests sent in 4 s, want at most %d", sent, most)
	}
}

// A caller that any of several servers could serve gets the retry time of the first that has
// capacity, and each further caller a later time.
func TestRetryTimesOverSeveralServersAreSpread(t *testing.T) {
	table := NewTable("h1", ServerRule(), nil)
	table.SetFleet(epoch, Fleet{Version: 1, Homes: []rendezvous.Node{rendezvous.NewNode("h1", "")}, Live: func(string) bool { return true }, PeakSize: 1, Settled: true})
	names := []string{"shop/i1", "shop/i2"}
	for _, name := range names {
		for {
			if verdict, _ := table.Take(epoch, name, smallLimit, nil); !verdict.OK {
				break
			}
		}
	}
	var last time.Duration
	const callers = 10
	for range callers {
		after := table.ReserveRetry(epoch, names)
		if after <= 0 || after < last {
			t.Errorf("retry after %s, the previous caller after %s", after, last)
		}
		last = after
	}
	expected := time.Duration(callers / (2 * smallLimit.PerSecond) * float64(time.Second))
	if last < expected/2 || last > 2*expected {
		t.Errorf("the last of %d callers is to retry after %s; the servers take that many in %s", callers, last, expected)
	}
	if after := table.ReserveRetry(epoch, []string{"shop/i9"}); after != 0 {
		t.Errorf("an unknown server has a retry time of %s, want 0", after)
	}
}

// With a small limit, hosts request tokens seldom, and each remembers the share that it had when
// few hosts had asked. These shares add up to more than the limit and must not be used in
// fallback.
func TestRememberedSharesDoNotExceedLimit(t *testing.T) {
	const hosts = 40
	fleet := Fleet{Version: 1, PeakSize: hosts, Settled: true, Live: func(string) bool { return true }}
	tables := make(map[string]*Table)
	for n := range hosts {
		name := string(rune('a' + n))
		fleet.Homes = append(fleet.Homes, rendezvous.NewNode(name, ""))
		tables[name] = NewTable(name, ServerRule(), func(string) (customer.Limit, bool) { return smallLimit, true })
	}
	for _, table := range tables {
		table.SetFleet(epoch, fleet)
	}
	home := tables[rendezvous.Top("shop/i1", fleet.Homes, 1)[0]]
	now := epoch
	for _, node := range slices.Concat(fleet.Homes, fleet.Homes) { // each host asks twice, in turn
		table := tables[node.Name]
		table.Take(now, "shop/i1", smallLimit, func(Decision) {})
		for _, m := range table.TakeMessages() {
			home.Usages(now, table.self, 1, m.Usages)
		}
		for _, m := range home.TakeMessages() {
			table.Grants(now, home.self, m.Grants)
		}
		now = now.Add(time.Second) // long enough to accrue a token
	}
	sum := 0.0
	for _, table := range tables {
		sum += table.fallbackShare(now, table.customers["shop/i1"])
	}
	if sum > 1.05 {
		t.Errorf("hosts in fallback use %.2f of the limit, want at most 1.05", sum)
	}
}
