package replay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pearshelf/pearshelf/experiment/simtime"
	"github.com/pearshelf/pearshelf/internal/availability"
	"github.com/pearshelf/pearshelf/internal/policy"
	"github.com/pearshelf/pearshelf/internal/sharing"
	"github.com/pearshelf/pearshelf/internal/waitqueue"
	"github.com/pearshelf/pearshelf/internal/world"
)

// tellAfter is how long a host gathers what it tells others, as the daemon does.
const tellAfter = 2 * time.Millisecond

// host runs the policy as the daemon does, in simulated time.
type host struct {
	name       string
	number     int
	dataCentre int
	fleet      *fleet
	table      *policy.Table
	servers    *availability.Table
	registers  *registers
	limits     *limits
	guard      *guard
	sharing    *sharing.Fleet
	views      map[string]*world.ServiceView // of this host: each has its own subsets
	telling    bool
	cuttable   bool // one of those that a cut takes
	// kept is when this host last sent to a server, by the server's ID: its connection there.
	kept map[string]time.Duration
	// idle is for how long that connection had not been used before its last use.
	idle map[string]time.Duration
	// losesPath is set for a host that Paths concerns. hung are the servers to which its kept
	// connection has been used up since.
	losesPath bool
	hung      map[string]bool
	// requests are all that callers brought.
	requests []*request
	// pathReview is the next call of checkPaths, nil if none is due.
	pathReview *simtime.Timer
	// waits are its requests that wait for a free slot, queueReview the next call of reviewQueue.
	waits       *waitqueue.Set
	waiting     map[uint64]*request
	queueReview *simtime.Timer
	// conf is the policy's configuration, which a host that starts again gets anew.
	conf policy.Config
	// awaiting are requests that wait for a retry from another host.
	awaiting []*retryWait
	// incarnation counts the starts of the host.
	incarnation uint64
	isDown      bool
}

func newHost(f *fleet, number int, conf policy.Config) *host {
	h := &host{name: fmt.Sprint("h", number), number: number, dataCentre: number % f.pattern.DataCentres, fleet: f, kept: make(map[string]time.Duration), idle: make(map[string]time.Duration), hung: make(map[string]bool)}
	h.cuttable = f.random.Float64() < f.pattern.Network.Cut.Share
	conf.Random = rand.New(rand.NewPCG(f.seed, uint64(number)+1000))
	h.losesPath = f.losesPath(pathStreamHosts+uint64(number), f.pattern.Network.Paths.Hosts)
	if f.pattern.Network.Paths.WholeDataCentre {
		h.losesPath = h.dataCentre == 0
	}
	h.servers = availability.NewTable(f.clock.Time)
	conf.Host = h.name
	h.conf, h.incarnation = conf, 1
	h.table = policy.NewTable(simtime.Epoch.Add(-hostAge), conf)
	h.newQueue()
	h.registers = newRegisters(h)
	h.limits = newLimits(h, f.limitWay)
	h.guard = newGuard(h, f.withoutQuarantine)
	return h
}

// hostAge is how old hosts are when traffic starts, beyond any window of theirs.
const hostAge = time.Minute

// join gives the host its place among all hosts, and its subsets of the servers.
func (h *host) join() {
	var others []sharing.Host
	for _, other := range h.fleet.hosts {
		if other != h {
			others = append(others, other.shared())
		}
	}
	h.sharing = sharing.NewFleet(h.fleet.sharing, h.shared(), others)
	h.views = make(map[string]*world.ServiceView, len(h.fleet.views))
	for name, all := range h.fleet.views {
		view := *all
		used := make(map[string]bool)
		for _, id := range h.sharing.Subset(all.Sharing) {
			used[id] = true
		}
		for _, b := range all.Backends {
			if used[b.ID] {
				view.Subset = append(view.Subset, b)
			}
		}
		h.views[name] = &view
	}
}

func (h *host) shared() sharing.Host {
	return sharing.Host{Name: h.name, Address: h.name, DataCentre: dataCentreName(h.dataCentre)}
}

// tell tells other hosts what changed, a little later.
func (h *host) tell() {
	if h.telling {
		return
	}
	h.telling = true
	h.fleet.clock.After(tellAfter, func() {
		h.telling = false
		near, failing := h.table.Changes(h.fleet.clock.Time())
		h.sendAll(h.sharing.Local(near, h.fleet.sharedService))
		h.sendAll(h.sharing.Remote(failing, h.fleet.sharedService))
	})
}

func (h *host) sendAll(messages []sharing.Message) {
	for _, m := range messages {
		for _, address := range m.To {
			h.send(h.fleet.byName[address], m)
		}
	}
}

// send delivers a message after its way, unless it is lost.
func (h *host) send(other *host, m sharing.Message) {
	incarnation := h.incarnation
	h.deliver(other, func() {
		if other.isDown {
			return
		}
		defer other.loadReported()
		gifts := other.table.GiftsReceived()
		if other.table.Report(h.fleet.clock.Time(), h.name, incarnation, m.Loads, m.Local) {
			other.tell()
		}
		if other.table.GiftsReceived() != gifts {
			other.useGift()
		}
	})
}

// deliver does something at another host after a message's way, unless it is lost.
func (h *host) deliver(to *host, do func()) {
	f := h.fleet
	f.result.Messages++
	if h.isCut() || to.isCut() || f.random.Float64() < f.pattern.Network.Loss {
		return
	}
	f.clock.After(f.delay(h.dataCentre, to.dataCentre), do)
}

// isCut reports whether the host hears of no other now.
func (h *host) isCut() bool {
	cut := h.fleet.pattern.Network.Cut
	now := h.fleet.clock.Now
	return h.cuttable && now >= time.Duration(cut.From) && now < time.Duration(cut.From+cut.For)
}

func (h *host) refresh() {
	if h.table.Refresh(h.fleet.clock.Time()) {
		h.tell()
	}
	h.fleet.clock.After(policy.RefreshInterval, h.refresh)
}

// serve takes a request from a caller.
func (h *host) serve(route *Route) {
	r := &request{host: h, entry: h, route: route, asked: h.fleet.clock.Now}
	r.expiry = h.fleet.clock.After(time.Duration(route.Timeout), r.expire)
	h.requests = append(h.requests, r)
	r.content, r.deadly = h.fleet.drawContent(route)
	r.enter()
}

// connects reports whether a send to a server leaves: its connection there has not been closed, or
// is new.
func (h *host) connects(server string) bool {
	idle := h.fleet.pattern.Network.Idle
	now := h.fleet.clock.Now
	last, kept := h.kept[server]
	h.kept[server] = now
	h.idle[server] = now - last
	isTime := now >= time.Duration(idle.From) && now < time.Duration(idle.From+idle.For)
	return !kept || !isTime || now-last <= time.Duration(idle.After)
}

func dataCentreName(n int) string { return fmt.Sprint("dc", n) }

func backendView(s *server) world.BackendView {
	return world.BackendView{ID: s.id, DataCentre: dataCentreName(s.dataCentre), Slots: s.service.Slots, Weight: 1}
}
