package replay

import (
	"fmt"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/content"
	"github.com/pearshelf/pearshelf/internal/quarantine"
)

// guard is a host's side of the quarantine of requests that end servers.
type guard struct {
	host    *host
	table   *quarantine.Table
	view    *quarantine.View
	off     bool // what the daemon's way is compared with
	ticking bool
}

func newGuard(h *host, off bool) *guard {
	return &guard{host: h, table: quarantine.NewTable(h.name), view: quarantine.NewView(nil), off: off}
}

func (g *guard) join() {
	g.host.watchFleet(func(v fleetView) {
		g.table.SetFleet(g.host.fleet.clock.Time(), quarantine.Fleet{Version: v.version, Homes: v.homes})
		g.flush()
	})
}

func (g *guard) setView(view *quarantine.View) {
	g.view = view
	g.table.SetView(g.host.fleet.clock.Time(), view)
	g.flush()
}

// refuses reports whether requests of a content are refused now; asked is set if the host has asked
// to try this one.
func (g *guard) refuses(id content.ID) (refused, asked bool) {
	held := g.view.Get(id)
	if held == nil {
		return false, false
	}
	tries, asked := g.table.RequestTrial(g.host.fleet.clock.Time(), held)
	g.flush()
	return !tries, asked
}

// ended takes that a server has ended while it had a request.
func (g *guard) ended(id content.ID, service, server string) {
	if g.off {
		return
	}
	now := g.host.fleet.clock.Time()
	g.table.RecordCrash(now, id, quarantine.Crash{Service: service, Server: server, At: now})
	g.flush()
}

// served takes that a server has answered a request.
func (g *guard) served(id content.ID) {
	g.table.RecordAnswer(g.host.fleet.clock.Time(), id)
	g.flush()
}

// flush sends what the table has to tell, carries out what it has decided, and sees to its next
// tick.
func (g *guard) flush() {
	for _, m := range g.table.Messages() {
		to := g.host.fleet.byName[m.To]
		datagram := &peerpb.Datagram{From: g.host.name, Ends: m.Ends, Served: m.Served, TrialAsks: m.TrialRequests, TrialGrants: m.GrantedTrials, AnsweredBefore: m.Answered}
		g.host.deliver(to, func() { to.guard.receive(datagram) })
	}
	for _, decision := range g.table.Decisions() {
		g.carryOut(decision)
	}
	g.tick()
}

func (g *guard) receive(datagram *peerpb.Datagram) {
	g.table.Receive(g.host.fleet.clock.Time(), datagram)
	g.flush()
}

func (g *guard) carryOut(decision quarantine.Decision) {
	if decision.Quarantine == nil {
		g.host.registers.announce(quarantine.Lift(decision.Cleared))
		return
	}
	if g.view.Supersedes(decision.Quarantine) {
		return
	}
	r, err := decision.Quarantine.Register(g.host.fleet.clock.Time())
	if err != nil {
		panic(fmt.Sprint("a quarantine that cannot be encoded: ", err))
	}
	g.host.registers.announce(r)
}

// tick does what the time calls for, as long as it calls for something.
func (g *guard) tick() {
	due := g.table.Due()
	if g.ticking || due.IsZero() {
		return
	}
	g.ticking = true
	f := g.host.fleet
	f.clock.After(max(due.Sub(f.clock.Time()), time.Millisecond), func() {
		g.ticking = false
		g.table.Tick(f.clock.Time())
		g.flush()
	})
}

// grantWait is how long a request waits to be granted a trial, as in the daemon.
const grantWait = 50 * time.Millisecond

// contents is how many contents the requests of a route have that end no servers.
const contents = 20

// drawContent draws what a request of a route is, and whether it ends the servers that run it;
// empty in patterns in which none does.
func (f *fleet) drawContent(route *Route) (content string, deadly bool) {
	if !f.pattern.endsServers() {
		return "", false
	}
	ends := route.Ends
	isTime := f.clock.Now >= time.Duration(ends.From) && f.clock.Now < time.Duration(ends.From+ends.For)
	if isTime && f.random.Float64() < ends.Share {
		return fmt.Sprint(route.Name, " ends ", f.random.IntN(ends.Contents)), true
	}
	return fmt.Sprint(route.Name, " ", f.random.IntN(contents)), false
}

func contentID(name string) content.ID { return content.NewID(content.Request{Target: name}) }

// EndedServers is what requests that end servers did.
type EndedServers struct {
	// Ends counts servers that ended, Most those that one content ended.
	Ends, Most int
	// Innocent counts requests of other contents that were refused for one that ends servers.
	Innocent  int
	byContent map[string]int
}

// ended counts a server that a content has ended.
func (e *EndedServers) ended(content string) {
	if e.byContent == nil {
		e.byContent = make(map[string]int)
	}
	e.byContent[content]++
	e.Ends++
	e.Most = max(e.Most, e.byContent[content])
}

func (e *EndedServers) add(other EndedServers) {
	e.Ends += other.Ends
	e.Most = max(e.Most, other.Most)
	e.Innocent += other.Innocent
}
