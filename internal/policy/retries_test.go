package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
)

const retryWindow = 10 * time.Second

var thirtyServers = view(30)

// retryTable returns the table of a host that was started a minute before now.
func retryTable(host string, share, reserve float64) (table *Table, now time.Time) {
	table, now = newTable()
	table.conf.Host = host
	table.conf.Retry = RetryRule{Share: share, Reserve: reserve, Window: retryWindow}
	return table, now.Add(time.Minute)
}

// spendAll retries until no retry is allowed, and returns how many there were.
func spendAll(t *testing.T, table *Table, now time.Time, fleetSize int) (retries int) {
	t.Helper()
	for ; table.AllowRetry(now, "s", fleetSize).Allowed; retries++ {
		sendRetry(t, table, now, fleetSize)
	}
	return retries
}

func sendRetry(t *testing.T, table *Table, now time.Time, fleetSize int) {
	t.Helper()
	table.Finish(now, mustPick(t, table, now, thirtyServers, Request{Service: "s", Retry: true, FleetSize: fleetSize}), Result{Outcome: Neutral})
}

func sendFirst(t *testing.T, table *Table, now time.Time, fleetSize int) {
	t.Helper()
	table.Finish(now, mustPick(t, table, now, thirtyServers, Request{Service: "s", FirstAttempt: true, FleetSize: fleetSize}), Result{Outcome: Neutral})
}

// A request that is picked for again, because a server could not be reached, is counted once: each
// count increases the retry allowance.
func TestRepeatedPickCountsOnce(t *testing.T) {
	table, now := newTable()
	v := view(3)
	table.Finish(now, mustPick(t, table, now, v, Request{FirstAttempt: true}), Result{Outcome: Unreachable})
	table.Finish(now, mustPick(t, table, now, v, Request{}), Result{Outcome: Shed})
	table.Finish(now, mustPick(t, table, now, v, Request{Retry: true}), Result{Outcome: Good})
	svc := table.service("s")
	if requests, retries := svc.ownSends.requests.sum(now, table.conf.Retry.Window), svc.ownSends.retries.sum(now, table.conf.Retry.Window); requests != 1 || retries != 1 {
		t.Errorf("%d requests and %d retries counted, want 1 and 1", requests, retries)
	}
}

// A host spends no more than its own part of the requests and of the reserve in a window, whatever
// the others have.
func TestHostSpendsItsOwnPart(t *testing.T) {
	table, now := retryTable("h1", 0.2, 400)
	table.Report(now, "h2", 7, []*peerpb.BackendLoad{{Service: "s", Requests: 1000}}, true)
	spent := 0
	for range 100 { // requests in a window
		sendFirst(t, table, now, 40)
		spent += spendAll(t, table, now, 40)
		now = now.Add(retryWindow / 100)
	}
	if most := matureShare * 30; float64(spent) > most || float64(spent) < most-2 {
		t.Errorf("%d retries in a window, want %.1f: of 0.2 of 100 requests and a fortieth of the reserve", spent, most)
	}
}

// A host that has just started does not know what its earlier process and the others spent. It
// spends a small part of what its requests bring, and of its part of the reserve as its window passes.
func TestNewHostSpendsLittle(t *testing.T) {
	table, now := newTable()
	table.conf.Retry = RetryRule{Share: 0.2, Reserve: 800, Window: retryWindow}
	table.Report(now, "h2", 7, []*peerpb.BackendLoad{{Service: "s", Requests: 500, Retries: 50}}, true)
	if got := spendAll(t, table, now, 40); got != 0 {
		t.Errorf("%d retries at the start, want none", got)
	}
	spent, half := 0, 0
	for i := range 100 {
		sendFirst(t, table, now, 40)
		spent += spendAll(t, table, now, 40)
		if i == 49 {
			half = spent
		}
		now = now.Add((retryWindow - time.Second) / 100)
	}
	if most := youngShare * (0.2*100 + 20); float64(spent) > most || spent == 0 || half > spent/2+1 {
		t.Errorf("%d retries in the first window, %d in its first half, want up to %.1f", spent, half, most)
	}
}

// However often hosts are killed and started in a window, their processes together keep to the
// allowance: each of them has a part of the reserve that grows with its age.
func TestAllowanceHoldsWithManyRestartsInAWindow(t *testing.T) {
	const hosts, reserve = 10, 300.0
	rule := RetryRule{Share: 0.2, Reserve: reserve, Window: retryWindow}
	for _, lifetime := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second} {
		spent := 0
		for range hosts {
			table, now := retryTable("h1", rule.Share, reserve)
			spent += spendAll(t, table, now, hosts)
			for end := now.Add(retryWindow); now.Before(end); now = now.Add(50 * time.Millisecond) {
				if now.Sub(table.started) >= lifetime {
					table = NewTable(now, Config{Host: "h1", Cost: DefaultCostRule(), Retry: rule, Random: table.conf.Random})
				}
				spent += spendAll(t, table, now, hosts)
			}
		}
		if spent > reserve {
			t.Errorf("lifetime %s: %d retries in a window, the reserve is %.0f", lifetime, spent, reserve)
		}
	}
}

// A host whose part is less than one retry gets what it lacks from another one in its first window,
// and a request waits for it. Without that, no such host could retry at one request a second.
func TestPartsOfTwoNewHostsMakeARetry(t *testing.T) {
	poor, start := newTable()
	poor.conf.Retry = RetryRule{Share: 0.2, Reserve: 60, Window: retryWindow}
	rich := NewTable(start, poor.conf)
	poor.conf.Host, rich.conf.Host = "h1", "h2"
	rule, now := poor.conf.Retry, start.Add(9*time.Second)
	poor.Report(now, "h2", 1, []*peerpb.BackendLoad{{Service: "s"}}, true)
	rich.AllowRetry(start, "s", 10) // as the daemon does, both know the size of the fleet
	decision := poor.AllowRetry(now, "s", 10)
	if decision.Allowed || decision.Wait == 0 || decision.Allowance <= 0.5 || decision.Allowance >= 1 {
		t.Fatalf("%+v: want a wait with a part of one retry", decision)
	}
	want, _ := poor.Changes(now)
	if !rich.Report(now, "h1", 1, want, true) {
		t.Fatal("no part is given")
	}
	gift, _ := rich.Changes(now)
	poor.Report(now, "h2", 1, gift, true)
	if got := spendAll(t, poor, now, 10); got != 1 || poor.GiftsReceived() != 1 {
		t.Errorf("%d retries by %d gifts, want one", got, poor.GiftsReceived())
	}
	total := youngShare * rule.Reserve / 10 * 0.9 * 2
	if left := rich.AllowRetry(now, "s", 10); left.Allowance-left.Used > total-1+0.01 {
		t.Errorf("%.2f left of %.2f after one retry", left.Allowance-left.Used, total)
	}
}

// A gift counts from when it was asked for: one that was under way for long is not used, since its
// giver may count it no more. A host that nobody answers stops letting requests wait.
func TestLateGiftIsNotUsed(t *testing.T) {
	rich, now := retryTable("h1", 0, 400)
	poor, _ := retryTable("h2", 0, 0)
	rich.AllowRetry(now, "s", 10)
	poor.Report(now, "h1", 1, []*peerpb.BackendLoad{{Service: "s"}}, true)
	poor.AllowRetry(now, "s", 10)
	want, _ := poor.Changes(now)
	rich.Report(now, "h2", 1, want, true)
	gift, _ := rich.Changes(now)
	now = now.Add(giftTTL + time.Millisecond)
	poor.Report(now, "h1", 1, gift, true)
	if poor.AllowRetry(now, "s", 10).Allowed {
		t.Error("a gift that was under way for longer than it may be used is used")
	}
	waits := 0
	for poor.AllowRetry(now, "s", 10).Wait > 0 {
		poor.Changes(now)
		now = now.Add(askPeriod)
		waits++
	}
	if waits == 0 || waits > maxAsksInVain {
		t.Errorf("requests wait for %d hosts in vain, want up to %d", waits, maxAsksInVain)
	}
}

// A host that has retries left gives one to a host that asks it, and has one fewer. Neither a repeated
// report nor one that is for another host makes a second gift, and a gift that is not used expires.
func TestRetriesAreGivenOnce(t *testing.T) {
	rich, now := retryTable("h1", 0, 400)
	poor, _ := retryTable("h2", 0, 400)
	before := rich.AllowRetry(now, "s", 10)
	poor.Report(now, "h1", 1, []*peerpb.BackendLoad{{Service: "s"}}, true)
	spendAll(t, poor, now, 10)
	want, _ := poor.Changes(now)
	if !rich.Report(now, "h2", 1, want, true) {
		t.Fatal("no reply is due to a host that asks for a retry")
	}
	gift, _ := rich.Changes(now)
	if given := rich.AllowRetry(now, "s", 10).Used - before.Used; given != 1 {
		t.Fatalf("%g retries given to a host that asks for one", given)
	}
	for range 2 {
		poor.Report(now, "h1", 1, gift, true)
	}
	if got := poor.AllowRetry(now, "s", 10).Received; got != 1 {
		t.Errorf("%g retries received of one given", got)
	}
	if later := now.Add(giftTTL + 1); poor.AllowRetry(later, "s", 10).Allowed {
		t.Error("a gift is used after it has expired")
	}
	poor.Report(now, "h1", 2, gift, true) // after a restart of the giver
	if got := spendAll(t, poor, now, 10); got != 1 {
		t.Errorf("%d retries used of one given", got)
	}
	third, _ := retryTable("h3", 0, 400)
	third.Report(now, "h1", 1, gift, true)
	if got := third.AllowRetry(now, "s", 10).Received; got != 0 {
		t.Errorf("%g retries received by a host that the gift is not for", got)
	}
	rich.service("s").dirty = true
	if again, _ := rich.Changes(now); again[0].GiftTo != "" {
		t.Errorf("given again to a host that has not asked since: %v", again)
	}
}

// A host that lacks retries asks one other host at a time, and not one that lacks them too.
func TestOneHostIsAskedAtATime(t *testing.T) {
	poor, now := retryTable("h1", 0, 400)
	for _, host := range []string{"h2", "h3", "h4"} {
		poor.Report(now, host, 1, []*peerpb.BackendLoad{{Service: "s"}}, true)
	}
	poor.Report(now, "h5", 1, []*peerpb.BackendLoad{{Service: "s", WantedFrom: "h2"}}, true)
	spendAll(t, poor, now, 10)
	svc, asked := poor.service("s"), make(map[string]bool)
	for range 50 {
		first := poor.reportTotals(now, "s", svc).WantedFrom
		if second := poor.reportTotals(now.Add(askPeriod/2), "s", svc).WantedFrom; second != first {
			t.Fatalf("%s asked while %s may still reply", second, first)
		}
		asked[first] = true
		now = now.Add(askPeriod)
		poor.AllowRetry(now, "s", 10)
	}
	if len(asked) != 3 || asked["h5"] {
		t.Errorf("asked %v, want the three hosts that have retries", asked)
	}
}

// In calm, no host asks for retries and none is given any: reports are as long as without.
func TestNoGiftsInCalm(t *testing.T) {
	rich, now := retryTable("h1", 0.2, 400)
	sendFirst(t, rich, now, 10)
	rich.Report(now, "h2", 1, []*peerpb.BackendLoad{{Service: "s", Requests: 1}}, true)
	rows, _ := rich.Changes(now)
	for _, row := range rows {
		if row.WantedFrom != "" || row.GiftNumber != 0 || row.GiftTo != "" {
			t.Errorf("report in calm: %v", row)
		}
	}
	if rich.Refresh(now) {
		t.Error("something to send in calm")
	}
}

// An idempotent request that fails can be retried on another server while the retry allowance
// lasts. Once it is spent, a failure costs as much as a lost request, so that the request avoids failing
// servers.
func TestSpentAllowanceAvoidsFailingServers(t *testing.T) {
	table, now := retryTable("h1", 0, 40)
	req := Request{Service: "s", Idempotent: true, FleetSize: 1}
	cost := func(now time.Time) float64 { return table.failureCost(now, req, table.spentAllowance(now, "s", 1)) }
	if unspent := cost(now); unspent >= table.conf.Cost.Failure {
		t.Fatalf("a failure costs %.2f with the allowance unspent, want less than for a lost request", unspent)
	}
	spendAll(t, table, now, 1)
	if spent := cost(now); spent < 0.95*table.conf.Cost.Failure {
		t.Errorf("a failure costs %.2f with the allowance spent, want a lost request", spent)
	}
	req.LastAttempt = true
	if last := cost(now.Add(time.Minute)); last != table.conf.Cost.Failure {
		t.Errorf("a failure of the last try costs %.2f, want a lost request", last)
	}
}

// The sum over all hosts keeps to the allowance in every window, whichever hosts are killed, cut off,
// started or added at random times, and whichever messages are lost, repeated or late. Hosts retry
// whenever they may, but for times of calm.
func TestAllowanceHoldsInRandomSeries(t *testing.T) {
	for seed := range uint64(24) {
		f := newRetryFleet(seed)
		for range 300 {
			f.step(t)
		}
		if worst := f.worst(); worst > 1 {
			t.Errorf("seed %d: %.2f of the allowance was spent with %d hosts, reserve %.0f, %.2f requests a step", seed, worst, len(f.tables), f.rule.Reserve, f.load)
		}
	}
}

// retryFleet is a fleet whose hosts retry whenever they may.
type retryFleet struct {
	random *rand.Rand
	rule   RetryRule
	now    time.Time
	tables []*Table
	starts []uint64 // incarnations
	cut    []bool
	// rows are messages under way, which may arrive repeatedly and late.
	rows []retryMessage
	// load is the number of requests a step, at random hosts. requests and retries count them by step.
	load float64
	// trouble is the chance of a disturbance at a step.
	trouble           float64
	requests, retries []int
	// calm is set while no request needs a retry, so that hosts have spent none.
	calm bool
}

type retryMessage struct {
	from        int
	incarnation uint64
	rows        []*peerpb.BackendLoad
}

const (
	retryStep     = 100 * time.Millisecond
	maxRetryHosts = 40
)

func newRetryFleet(seed uint64) *retryFleet {
	random := rand.New(rand.NewPCG(seed, 77))
	f := &retryFleet{random: random, load: 40 * random.Float64() * random.Float64(), trouble: 0.06 * random.Float64() * random.Float64()}
	hosts := 1 + random.IntN(30)
	f.rule = RetryRule{Share: 0.2, Reserve: 60 * random.Float64(), Window: retryWindow}
	_, f.now = newTable()
	for range hosts {
		f.addHost()
	}
	f.now = f.now.Add(time.Minute)
	return f
}

func (f *retryFleet) addHost() {
	f.tables = append(f.tables, nil)
	f.starts = append(f.starts, 0)
	f.cut = append(f.cut, false)
	f.start(len(f.tables) - 1)
}

func (f *retryFleet) start(host int) {
	f.starts[host]++
	f.tables[host] = NewTable(f.now, Config{Host: fmt.Sprint("h", host), Cost: DefaultCostRule(), Retry: f.rule, Random: f.random})
}

// step is a moment of the fleet: a disturbance, messages, requests, and all retries that are allowed.
func (f *retryFleet) step(t *testing.T) {
	f.disturb()
	requests, retries := 0, 0
	for range int(f.load) + f.chance(f.load-float64(int(f.load))) {
		table := f.tables[f.random.IntN(len(f.tables))]
		sendFirst(t, table, f.now, len(f.tables))
		requests++
	}
	if f.random.Float64() < 0.03 {
		f.calm = !f.calm
	}
	for _, table := range f.tables {
		if !f.calm {
			retries += spendAll(t, table, f.now, len(f.tables))
		}
	}
	f.requests, f.retries = append(f.requests, requests), append(f.retries, retries)
	f.exchange()
	f.now = f.now.Add(retryStep)
}

func (f *retryFleet) chance(share float64) int {
	if f.random.Float64() < share {
		return 1
	}
	return 0
}

// disturb kills, cuts, heals or enlarges a random part of the fleet now and then.
func (f *retryFleet) disturb() {
	if f.random.Float64() > f.trouble {
		return
	}
	share, kind := f.random.Float64(), f.random.IntN(4)
	if f.random.Float64() < 0.3 {
		share = 1
	}
	for host := range f.tables {
		if f.random.Float64() > share {
			continue
		}
		switch kind {
		case 3:
			if len(f.tables) < maxRetryHosts {
				f.addHost()
			}
		case 0:
			f.start(host)
		case 1:
			f.cut[host] = true
		case 2:
			f.cut[host] = false
		}
	}
}

// exchange sends the reports of all hosts to each other. Some are lost, some arrive twice or late.
func (f *retryFleet) exchange() {
	for host, table := range f.tables {
		table.Refresh(f.now)
		rows, _ := table.Changes(f.now)
		f.rows = append(f.rows, retryMessage{host, f.starts[host], rows})
	}
	late := f.rows[:0:0]
	for _, m := range f.rows {
		if m.incarnation != f.starts[m.from] {
			continue
		}
		if f.random.Float64() < 0.1 {
			late = append(late, m)
		}
		for host, table := range f.tables {
			if host != m.from && !f.cut[host] && !f.cut[m.from] && f.random.Float64() > 0.05 {
				table.Report(f.now, fmt.Sprint("h", m.from), m.incarnation, m.rows, true)
			}
		}
	}
	f.rows = late
}

// worst is the largest part of the allowance that was spent in a window, with the requests counted in
// that window, the one before it or the one half a window before it, whichever has most.
func (f *retryFleet) worst() float64 {
	length := int(retryWindow / retryStep)
	worst := 0.0
	for end := length; end <= len(f.retries); end++ {
		begin := end - length
		requests := 0
		for _, back := range []int{0, length / 2, length} {
			requests = max(requests, sum(f.requests, begin-back, end-back))
		}
		allowance := f.rule.Share*float64(requests) + f.rule.Reserve
		worst = max(worst, float64(sum(f.retries, begin, end))/allowance)
	}
	return worst
}

func sum(counts []int, begin, end int) (total int) {
	for i := max(begin, 0); i < max(end, 0); i++ {
		total += counts[i]
	}
	return total
}

// A request that another host has counted, and relayed here, earns no retry a second time.
func TestCountedRequestEarnsOnce(t *testing.T) {
	table, now := retryTable("h1", 1, 0)
	for _, counted := range []bool{true, false} {
		table.Finish(now, mustPick(t, table, now, thirtyServers, Request{Service: "s", FirstAttempt: true, Counted: counted}), Result{Outcome: Neutral})
	}
	if got := table.AllowRetry(now, "s", 1).Allowance; got != matureShare {
		t.Errorf("an allowance of %.2f from two requests of which one is counted elsewhere, want %.2f", got, matureShare)
	}
}
