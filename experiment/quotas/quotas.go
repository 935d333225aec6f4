// Package quotas plays limits over a whole fleet, those of customers and the rate limits that
// servers name, in simulated time, by the
// daemon's own code (internal/quota) and by what it was weighed against, without sockets
// or processes. It measures how much of what a limit allows is refused, and how much of
// what the limit bounds is used.
package quotas

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pearshelf/pearshelf/experiment/simtime"
	"github.com/pearshelf/pearshelf/internal/customer"
	"github.com/pearshelf/pearshelf/internal/quota"
	"github.com/pearshelf/pearshelf/internal/ratelimit"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
)

// Way is how limits are held.
type Way int

// Ways.
const (
	// ByHome is the daemon's: a home host a customer.
	ByHome Way = iota
	// ByShare gives each host an equal share of each limit.
	ByShare
)

// Config of a run.
type Config struct {
	Way       Way
	Hosts     int
	Customers int
	// PerSecond is the requests of all customers; the first sends a fifth of them.
	PerSecond float64
	Callers   int
	// LimitOver is a customer's limit and burst as a multiple of its usual rate.
	LimitOver float64
	// ServerLimit makes the customers servers that name this limit, in requests a second; 0
	// for customers.
	ServerLimit float64
	Seed        uint64
	// Zones is the number of data centres that the hosts are spread over, 0 for a network in
	// which all hosts are equally far from each other.
	Zones int
	// RandomHosts makes a caller send each request to another host.
	RandomHosts bool
	// LargestPart is the first customer's part of all requests, 0 for a fifth.
	LargestPart float64
	// Tolerant lets hosts use the tolerance of the users' rule.
	Tolerant bool
	// Length of the run.
	Length time.Duration
	// Trouble is scheduled before the run.
	Trouble func(f *Fleet)
}

// Dispersed is a fleet of three data centres whose callers choose a host for each request, so that
// a host gets less than one request a second of even the largest customer.
func Dispersed(seed uint64) Config {
	return Config{Hosts: 120, Customers: 82, PerSecond: 688, Callers: 1000, LimitOver: 1.6, Zones: 3, RandomHosts: true, LargestPart: 0.1, Seed: seed, Length: 30 * time.Second}
}

// Shifted is the size of a deployment of the users'.
func Shifted(seed uint64) Config {
	return Config{Hosts: 113, Customers: 80, PerSecond: 1127, Callers: 1496, LimitOver: 1.6, Seed: seed, Length: 30 * time.Second}
}

const (
	// oneWay is the time of a datagram, with up to as much again on a busy host; one in
	// lossOneIn is lost.
	oneWay = 1500 * time.Microsecond
	// oneWayInZone and oneWayBetween are the times between hosts of one and of two data centres.
	oneWayInZone  = 200 * time.Microsecond
	oneWayBetween = 1400 * time.Microsecond
	lossOneIn     = 200
	// noticeDeath and noticeLife are when membership has told of a host.
	noticeDeath = 3 * time.Second
	noticeLife  = 500 * time.Millisecond
	settledIn   = time.Second
	restartIn   = 300 * time.Millisecond
	tickEvery   = 20 * time.Millisecond
)

// bound is the users' rule on a limit: in a window excess times what it allows, and slack more.
type bound struct {
	window time.Duration
	excess float64
	slack  float64
	bursts bool // whether the limit's burst counts as allowed
}

var (
	customerBound = bound{window: 5 * time.Second, excess: 1.25, slack: 20, bursts: true}
	serverBound   = bound{window: 4 * time.Second, excess: 1.5, slack: 5}
)

// of is the most requests in a window.
func (b bound) of(limit customer.Limit) float64 {
	allowed := b.excess*limit.PerSecond*b.window.Seconds() + b.slack
	if b.bursts {
		allowed += limit.Burst
	}
	return allowed
}

// Fleet is all hosts and callers of a run.
type Fleet struct {
	conf      Config
	rule      quota.Rule
	bound     bound
	clock     simtime.Clock
	random    *rand.Rand
	hosts     []*host
	customers []*account
	callers   []*caller
	Messages  int
	Bytes     int
	// CrossMessages and CrossBytes are those between data centres.
	CrossMessages int
	CrossBytes    int
	Waited        time.Duration
	asked         int
}

type host struct {
	fleet   *Fleet
	number  int
	name    string
	life    uint64
	started time.Duration
	down    bool
	side    int // hosts of different sides cannot hear each other
	table   *quota.Table
	shares  map[string]*bucketOf
	seen    map[string]time.Duration // since when a host is not heard
	live    map[string]bool
	version uint64
	size    int
}

type bucketOf struct {
	tokens float64
	at     time.Duration
}

// account is a customer with what became of its requests.
type account struct {
	name  string
	usual float64
	limit customer.Limit
	// times are how much more often than usual the callers send.
	times float64
	ideal bucketOf
	sent  []time.Duration
	// due are the requests within the limit by an ideal bucket, served all that were let
	// through, by window.
	due, served map[int]int
	lowered     time.Duration
}

type caller struct {
	customer *account
	host     int
}

// New returns a fleet.
func New(conf Config) *Fleet {
	f := &Fleet{conf: conf, rule: quota.CustomerRule(), bound: customerBound, random: rand.New(rand.NewPCG(conf.Seed, 7))}
	if conf.ServerLimit > 0 {
		f.rule, f.bound = quota.ServerRule(), serverBound
	}
	if conf.Tolerant {
		f.rule.Tolerance = quota.Tolerance{Excess: f.bound.excess - 1, Slack: f.bound.slack, Window: f.bound.window}
	}
	f.makeCustomers()
	for n := range conf.Hosts {
		h := &host{fleet: f, number: n, name: fmt.Sprintf("host-%03d", n)}
		f.hosts = append(f.hosts, h)
		h.start()
		h.started = -time.Minute // the fleet has been up for long
		h.size = conf.Hosts
	}
	for i := range conf.Callers {
		c := &caller{customer: f.drawCustomer(i), host: f.random.IntN(conf.Hosts)}
		f.callers = append(f.callers, c)
		f.clock.After(f.gap(c), func() { f.send(c) })
	}
	return f
}

// makeCustomers gives the first a fifth of all requests and the others parts that fall as
// one over their rank.
func (f *Fleet) makeCustomers() {
	rest := 0.0
	for i := 1; i < f.conf.Customers; i++ {
		rest += 1 / float64(i+1)
	}
	for i := range f.conf.Customers {
		largest := 0.2
		if f.conf.LargestPart > 0 {
			largest = f.conf.LargestPart
		}
		part := largest
		if i > 0 {
			part = (1 - largest) / float64(i+1) / rest
		}
		usual := part * f.conf.PerSecond
		limit := customer.Limit{PerSecond: f.conf.LimitOver * usual, Burst: math.Ceil(f.conf.LimitOver * usual)}
		if f.conf.ServerLimit > 0 {
			usual = f.conf.PerSecond / float64(f.conf.Customers)
			limit = ratelimit.Limit{PerSecond: f.conf.ServerLimit}.Bound()
		}
		f.customers = append(f.customers, &account{name: fmt.Sprintf("customer-%02d", i), usual: usual, limit: limit, times: 1, ideal: bucketOf{tokens: limit.Burst}, due: make(map[int]int), served: make(map[int]int)})
	}
}

// drawCustomer gives each customer callers in proportion to its requests, one at least.
func (f *Fleet) drawCustomer(i int) *account {
	if i < len(f.customers) {
		return f.customers[i]
	}
	left := f.random.Float64() * f.conf.PerSecond
	for _, c := range f.customers {
		if left -= c.usual; left < 0 {
			return c
		}
	}
	return f.customers[0]
}

// gap is the time to a caller's next request.
func (f *Fleet) gap(c *caller) time.Duration {
	each := c.customer.usual / (f.conf.PerSecond / float64(f.conf.Callers)) // callers expected
	perSecond := c.customer.times * c.customer.usual / math.Max(each, 1)
	return time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second))
}

func (f *Fleet) send(c *caller) {
	f.clock.After(f.gap(c), func() { f.send(c) })
	if f.conf.RandomHosts {
		c.host = f.random.IntN(len(f.hosts))
	}
	h := f.hosts[c.host]
	if !f.anyUp() {
		return // no connection: the request is nobody's to refuse
	}
	for h.down {
		c.host = f.random.IntN(len(f.hosts))
		h = f.hosts[c.host]
	}
	a := c.customer
	f.asked++
	at := f.clock.Now
	window := int(at / f.bound.window)
	if a.ideal.take(at, a.limit, 1) {
		a.due[window]++
	}
	decide := func(ok bool) {
		f.Waited += f.clock.Now - at
		if ok {
			a.sent = append(a.sent, f.clock.Now)
			a.served[window]++
		}
	}
	h.take(a, decide)
}

func (f *Fleet) anyUp() bool {
	return slices.ContainsFunc(f.hosts, func(h *host) bool { return !h.down })
}

func (b *bucketOf) take(now time.Duration, limit customer.Limit, part float64) bool {
	b.tokens = math.Min(b.tokens+(now-b.at).Seconds()*limit.PerSecond*part, math.Max(limit.Burst*part, 1))
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Run plays the whole length.
func (f *Fleet) Run() {
	if f.conf.Trouble != nil {
		f.conf.Trouble(f)
	}
	f.clock.Run(f.conf.Length)
}

// At schedules something.
func (f *Fleet) At(at time.Duration, do func()) { f.clock.After(at-f.clock.Now, do) }

// Hot makes a customer send many times its usual for a time.
func (f *Fleet) Hot(at time.Duration, rank int, times float64, length time.Duration) {
	f.At(at, func() { f.customers[rank].times = times })
	f.At(at+length, func() { f.customers[rank].times = 1 })
}

// Lower sets a customer's limit to a part of its usual rate.
func (f *Fleet) Lower(at time.Duration, rank int, part float64) {
	f.At(at, func() {
		a := f.customers[rank]
		a.limit = customer.Limit{PerSecond: part * a.usual, Burst: math.Ceil(part * a.usual)}
		a.lowered = f.clock.Now
	})
}

// Cut keeps a share of the hosts from hearing any other, or, together, from hearing the
// rest, and heals after length.
func (f *Fleet) Cut(at time.Duration, share float64, together bool, length time.Duration) {
	cut := f.random.Perm(len(f.hosts))[:int(share*float64(len(f.hosts)))]
	f.At(at, func() {
		for i, n := range cut {
			f.hosts[n].side = i + 1
			if together {
				f.hosts[n].side = 1
			}
		}
	})
	f.At(at+length, func() {
		for _, n := range cut {
			f.hosts[n].side = 0
		}
	})
}

// Kill ends a share of the hosts, which start again after down.
func (f *Fleet) Kill(at time.Duration, share float64, down time.Duration) {
	for _, n := range f.random.Perm(len(f.hosts))[:int(share*float64(len(f.hosts)))] {
		f.killHost(at, f.hosts[n], down)
	}
}

// KillHome ends the home host of a customer.
func (f *Fleet) KillHome(at time.Duration, rank int, down time.Duration) {
	name := rendezvous.Top(f.customers[rank].name, f.nodes(), 1)[0]
	for _, h := range f.hosts {
		if h.name == name {
			f.killHost(at, h, down)
		}
	}
}

func (f *Fleet) nodes() []rendezvous.Node {
	var nodes []rendezvous.Node
	for _, h := range f.hosts {
		nodes = append(nodes, rendezvous.NewNode(h.name, ""))
	}
	return nodes
}

func (f *Fleet) killHost(at time.Duration, h *host, down time.Duration) {
	f.At(at, func() { h.down = true })
	f.At(at+down+restartIn, h.start)
}

func (h *host) start() {
	h.down = false
	h.life++
	h.started = h.fleet.clock.Now
	h.size = 1
	h.shares = make(map[string]*bucketOf)
	h.seen = make(map[string]time.Duration)
	h.table = quota.NewTable(h.name, h.fleet.rule, h.fleet.limitOf)
	if h.fleet.conf.Way != ByShare {
		h.tick(h.life)
	}
}

func (f *Fleet) limitOf(name string) (customer.Limit, bool) {
	for _, a := range f.customers {
		if a.name == name {
			return a.limit, true
		}
	}
	return customer.Limit{}, false
}

func (h *host) zone() int { return h.number % h.fleet.conf.Zones }

// reaches reports whether datagrams pass between two hosts.
func (h *host) reaches(other *host) bool {
	return !h.down && !other.down && (h == other || h.side == other.side)
}

// look brings this host's list of live hosts up to date, as late as membership would.
func (h *host) look() {
	now := h.fleet.clock.Now
	fleet := quota.Fleet{Version: h.version}
	live := make(map[string]bool)
	for _, other := range h.fleet.hosts {
		if h.reaches(other) {
			delete(h.seen, other.name)
		} else if _, noted := h.seen[other.name]; !noted {
			h.seen[other.name] = now
		}
		since, lost := h.seen[other.name]
		young := other.started > 0 && now-other.started < noticeLife && other != h
		if (!lost || now-since < noticeDeath) && !young {
			live[other.name] = true
			fleet.Homes = append(fleet.Homes, rendezvous.NewNode(other.name, ""))
		}
	}
	if !maps.Equal(live, h.live) {
		h.live = live
		h.version++
	}
	h.size = max(h.size, len(fleet.Homes))
	fleet.Version = h.version
	fleet.Live = func(name string) bool { return live[name] }
	fleet.PeakSize = h.size
	fleet.Settled = now-h.started >= settledIn
	h.table.SetFleet(h.fleet.clock.Time(), fleet)
}

func (h *host) tick(life uint64) {
	if h.down || h.life != life {
		return
	}
	if h.fleet.clock.Now-h.started >= 0 && (h.version == 0 || h.fleet.random.IntN(5) == 0) {
		h.look()
	}
	h.table.Tick(h.fleet.clock.Time())
	h.flush()
	h.fleet.clock.After(tickEvery, func() { h.tick(life) })
}

// take asks for one request.
func (h *host) take(a *account, decide func(bool)) {
	if h.fleet.conf.Way == ByShare {
		b, ok := h.shares[a.name]
		if !ok {
			b = &bucketOf{tokens: 1, at: h.fleet.clock.Now}
			h.shares[a.name] = b
		}
		decide(b.take(h.fleet.clock.Now, a.limit, 1/float64(len(h.fleet.hosts))))
		return
	}
	verdict, decided := h.table.Take(h.fleet.clock.Time(), a.name, a.limit, func(v quota.Decision) { decide(v.OK) })
	if decided {
		decide(verdict.OK)
	}
	h.flush()
}

// flush sends what the table has to tell.
func (h *host) flush() {
	for _, m := range h.table.TakeMessages() {
		for _, other := range h.fleet.hosts {
			if other.name == m.To {
				h.deliver(other, m)
			}
		}
	}
}

func (h *host) deliver(to *host, m quota.Message) {
	f := h.fleet
	bytes := 0
	for _, u := range m.Usages {
		bytes += proto.Size(u)
	}
	for _, g := range m.Grants {
		bytes += proto.Size(g)
	}
	f.Messages++
	f.Bytes += bytes
	delay := oneWay
	if f.conf.Zones > 0 && h.zone() == to.zone() {
		delay = oneWayInZone
	} else if f.conf.Zones > 0 {
		delay = oneWayBetween
		f.CrossMessages++
		f.CrossBytes += bytes
	}
	if f.random.IntN(lossOneIn) == 0 || !h.reaches(to) {
		return
	}
	life, from := to.life, h.life
	f.clock.After(delay+time.Duration(f.random.Float64()*float64(delay)), func() {
		if to.down || to.life != life {
			return
		}
		now := f.clock.Time()
		if m.Usages != nil {
			to.table.Usages(now, h.name, from, m.Usages)
		}
		if m.Grants != nil {
			to.table.Grants(now, h.name, m.Grants)
		}
		to.flush()
	})
}

// Result of a run.
type Result struct {
	// Refused is by how much less was served than the limits allow, as a share of it, by
	// customer and window, after the first one: then homes know what is used.
	Refused float64
	// Used is the most that any customer used of what the rule allows in a window.
	Used float64
	// MessagesPerHost is a second, WaitPerRequest on average.
	MessagesPerHost, BytesPerHost float64
	WaitPerRequest                time.Duration
}

// Result of the run.
func (f *Fleet) Result() Result {
	due, refused := 0, 0
	var used float64
	for _, a := range f.customers {
		ofDue, ofRefused := a.shortfall()
		due += ofDue
		refused += ofRefused
		used = math.Max(used, a.used(f.bound))
	}
	perHost := float64(len(f.hosts)) * f.conf.Length.Seconds()
	return Result{
		Refused:         float64(refused) / float64(max(due, 1)),
		Used:            used,
		MessagesPerHost: float64(f.Messages) / perHost,
		BytesPerHost:    float64(f.Bytes) / perHost,
		WaitPerRequest:  f.Waited / time.Duration(max(f.asked, 1)),
	}
}

// RefusedOf is the share of one customer's requests within its limit that was refused.
func (f *Fleet) RefusedOf(rank int) float64 {
	due, refused := f.customers[rank].shortfall()
	return float64(refused) / float64(max(due, 1))
}

func (a *account) shortfall() (due, refused int) {
	for window, n := range a.due {
		if window > 0 {
			due += n
			refused += max(n-a.served[window], 0)
		}
	}
	return due, refused
}

// used is the most that was sent in any window over what the rule allows there. A lower
// limit binds one window after it was set.
func (a *account) used(rule bound) float64 {
	allowed := rule.of(a.limit)
	most, first := 0, 0
	for i, at := range a.sent {
		for a.sent[first] < at-rule.window {
			first++
		}
		if a.lowered > 0 && a.sent[first] < a.lowered+rule.window {
			continue
		}
		most = max(most, i-first+1)
	}
	return float64(most) / allowed
}
