package replay

import (
	"fmt"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/customer"
	"github.com/pearshelf/pearshelf/internal/process"
	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/internal/quota"
	"github.com/pearshelf/pearshelf/internal/ratelimit"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
	"github.com/pearshelf/pearshelf/internal/world"
)

// LimitWay is how hosts keep to the rate limits that servers name.
type LimitWay string

// Ways. All but LimitsByHome are what the daemon's way is compared with.
const (
	// LimitsByHome is the daemon's: one bucket a server at its home host.
	LimitsByHome LimitWay = "home"
	// LimitsNotKept leaves limits out.
	LimitsNotKept LimitWay = "none"
	// LimitsEqual gives each host an equal part of each limit.
	LimitsEqual LimitWay = "equal"
	// LimitsByHolders lets few hosts use a server that names a limit, with an equal part each.
	LimitsByHolders LimitWay = "holders"
)

const (
	// holders is how many hosts use a server with LimitsByHolders.
	holders = 4
	// mostAsked bounds the servers that one request asks for a token.
	mostAsked = 8
)

// limits is a host's side of the rate limits that servers name.
type limits struct {
	host     *host
	way      LimitWay
	listener *ratelimit.ChangeDetector
	view     *ratelimit.View
	table    *quota.Table
	parts    map[process.Key]*part
	ticking  bool
}

// part is a host's own bucket of a limit, where no home holds it.
type part struct {
	tokens float64
	at     time.Time
}

func newLimits(h *host, way LimitWay) *limits {
	l := &limits{host: h, way: way, listener: ratelimit.NewListener(), view: ratelimit.NewView(nil), parts: make(map[process.Key]*part)}
	l.table = quota.NewTable(h.name, quota.ServerRule(), func(name string) (customer.Limit, bool) {
		limit, known := l.view.Named(process.Key{Service: h.fleet.serviceOf(name), ID: name})
		return limit.Bound(), known
	})
	return l
}

// join tells the table of all hosts, and of what a cut changes.
func (l *limits) join() {
	l.host.watchFleet(func(v fleetView) {
		fleet := quota.Fleet{Version: v.version, PeakSize: len(l.host.fleet.hosts), Settled: true, Homes: v.homes}
		fleet.Live = func(name string) bool { return v.live[name] }
		l.table.SetFleet(l.host.fleet.clock.Time(), fleet)
	})
}

// hear takes what an answer says of its server's limit.
func (l *limits) hear(server process.Server, sentAt time.Duration, said protocol.RateLimit) {
	f := l.host.fleet
	if l.way == LimitsNotKept {
		return
	}
	report, isNew := l.listener.Observe(f.clock.Time(), l.view, server, f.timeAt(sentAt), said)
	if !isNew {
		return
	}
	r, err := report.Register(f.clock.Time())
	if err != nil {
		panic(fmt.Sprint("a report that cannot be encoded: ", err))
	}
	l.host.registers.write(r)
}

// take asks for a token to send to a server; decide is called at once or later.
func (l *limits) take(limit ratelimit.Limit, decide func(quota.Decision)) {
	now := l.host.fleet.clock.Time()
	switch l.way {
	case LimitsByHome:
		verdict, decided := l.table.Take(now, limit.Server.ID, limit.Bound(), decide)
		l.flush()
		if decided {
			decide(verdict)
		}
		l.tick()
	case LimitsEqual:
		decide(l.takePart(now, limit, len(l.host.fleet.hosts)))
	case LimitsByHolders:
		decide(l.takeAsHolder(now, limit))
	default:
		decide(quota.Decision{OK: true})
	}
}

// takePart takes a token of one of several equal parts.
func (l *limits) takePart(now time.Time, limit ratelimit.Limit, of int) quota.Decision {
	key := limit.Server.Key()
	p, known := l.parts[key]
	if !known {
		p = &part{tokens: 1, at: now}
		l.parts[key] = p
	}
	rate := limit.Allowed() / float64(of)
	p.tokens = min(p.tokens+now.Sub(p.at).Seconds()*rate, max(limit.Burst()/float64(of), 1))
	p.at = now
	if p.tokens < 1 {
		wait := time.Duration((1 - p.tokens) / rate * float64(time.Second))
		return quota.Decision{RetryAfter: wait, Backoff: wait}
	}
	p.tokens--
	return quota.Decision{OK: true}
}

func (l *limits) takeAsHolder(now time.Time, limit ratelimit.Limit) quota.Decision {
	f := l.host.fleet
	nodes := make([]rendezvous.Node, 0, len(f.hosts))
	for _, h := range f.hosts {
		nodes = append(nodes, rendezvous.NewNode(h.name, ""))
	}
	if !slices.Contains(rendezvous.Top(limit.Server.ID, nodes, holders), l.host.name) {
		return quota.Decision{RetryAfter: time.Second, Backoff: time.Minute}
	}
	return l.takePart(now, limit, holders)
}

// promise is when a request may come back that any server of a service would do for.
func (l *limits) promise(view *world.ServiceView) time.Duration {
	names := make([]string, 0, len(view.Backends))
	for i := range view.Backends {
		names = append(names, view.Backends[i].ID)
	}
	return l.table.ReserveRetry(l.host.fleet.clock.Time(), names)
}

// flush sends what the table has to tell.
func (l *limits) flush() {
	for _, m := range l.table.TakeMessages() {
		to := l.host.fleet.byName[m.To]
		l.host.deliver(to, func() { to.limits.receive(l.host.name, m) })
	}
}

func (l *limits) receive(from string, m quota.Message) {
	now := l.host.fleet.clock.Time()
	l.table.Usages(now, from, 1, m.Usages)
	l.table.Grants(now, from, m.Grants)
	l.flush()
}

// tick does what the time calls for, as long as it calls for something.
func (l *limits) tick() {
	due := l.table.Due()
	if l.ticking || due.IsZero() {
		return
	}
	l.ticking = true
	f := l.host.fleet
	f.clock.After(max(due.Sub(f.clock.Time()), time.Millisecond), func() {
		l.ticking = false
		l.table.Tick(f.clock.Time())
		l.flush()
		l.tick()
	})
}

// The users' rule on rate limits.
const (
	// limitCounts is from when on a limit counts, after the server first named it, and
	// toldCounts after a host first passed on such an answer.
	limitCounts = 3 * time.Second
	toldCounts  = 500 * time.Millisecond
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
)

// limitCheck holds what reaches a server against the limits that it names.
type limitCheck struct {
	server   *server
	since    time.Duration
	told     map[string]time.Duration // by host, when it first passed on an answer
	fromTold []time.Duration          // arrivals from hosts that it had told
	// arrivals counts requests of all hosts, from limitCounts on.
	arrivals int
	last     time.Duration
}

// limitChecks are by server.
type limitChecks map[string]*limitCheck

func (c limitChecks) answered(now time.Duration, host string, server *server, said protocol.RateLimit) {
	if !said.Named {
		return
	}
	check, known := c[server.id]
	if !known {
		check = &limitCheck{server: server, since: now, told: make(map[string]time.Duration)}
		c[server.id] = check
	}
	if _, told := check.told[host]; !told {
		check.told[host] = now
	}
	check.last = now
}

// arrived takes a request that has come to a server.
func (c limitChecks) arrived(now time.Duration, host string, server *server) {
	check, known := c[server.id]
	if !known || !server.namesLimit() || now < check.since+limitCounts {
		return
	}
	check.arrivals++
	if told, known := check.told[host]; known && now >= told+toldCounts {
		check.fromTold = append(check.fromTold, now)
	}
}

// allowed is how many requests the rule allows in the window that ends at a time. The server had
// named its limit for limitCounts then.
func (c *limitCheck) allowed(to time.Duration) float64 {
	from := to - limitWindow
	beforeNamed := max(c.since-from, 0)
	limit := c.server.limitAllows(from, to)
	return limitExcess*limit*float64(limitWindow)/float64(limitWindow-beforeNamed) + limitSlack
}

// LimitUse is how rate limits of servers were kept.
type LimitUse struct {
	// Worst is the most requests of any server in any window, from hosts that it had told, by
	// what the rule allows: over 1 it is broken.
	Worst float64
	// Sent and Room are the requests of all hosts and what the limits allowed meanwhile.
	Sent, Room float64
}

func (c limitChecks) use() LimitUse {
	var use LimitUse
	for _, check := range c {
		first := 0
		for i, at := range check.fromTold {
			for check.fromTold[first] < at-limitWindow {
				first++
			}
			use.Worst = max(use.Worst, float64(i-first+1)/check.allowed(at))
		}
		use.Sent += float64(check.arrivals)
		use.Room += check.server.limitAllows(check.since+limitCounts, check.last)
	}
	return use
}

func (u *LimitUse) add(other LimitUse) {
	u.Worst = max(u.Worst, other.Worst)
	u.Sent += other.Sent
	u.Room += other.Room
}
