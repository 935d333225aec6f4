package replay

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/hlc"
	"github.com/pearshelf/pearshelf/internal/quarantine"
	"github.com/pearshelf/pearshelf/internal/ratelimit"
	"github.com/pearshelf/pearshelf/internal/register"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
)

const (
	// gossipFrom and gossipFor are when other hosts learn of a register: gossip passes some
	// hosts, each of which waits for its next datagram.
	gossipFrom = 50 * time.Millisecond
	gossipFor  = 500 * time.Millisecond
	// cutNoticed is when hosts take others for dead that they do not hear.
	cutNoticed = 3 * time.Second
)

// registers is a host's copy of what all hosts hold.
type registers struct {
	host  *host
	store *register.Store
	stamp uint64
}

func newRegisters(h *host) *registers { return &registers{host: h, store: register.NewStore()} }

// join schedules that all is told again after a cut.
func (r *registers) join() {
	cut := r.host.fleet.pattern.Network.Cut
	if cut.For > 0 {
		r.host.fleet.clock.After(time.Duration(cut.From+cut.For)+gossipFor, r.spreadAll)
	}
}

// write stamps a register and spreads it.
func (r *registers) write(reg *peerpb.Register) {
	r.stamp = max(r.stamp+1, uint64(hlc.FromTime(r.host.fleet.clock.Time())))
	reg.Stamp = &peerpb.Stamp{Clock: r.stamp, Host: r.host.name}
	r.merge(reg)
	r.spread(reg)
}

// announce is write for what other hosts are told at once, and by gossip besides.
func (r *registers) announce(reg *peerpb.Register) {
	r.write(reg)
	f := r.host.fleet
	for _, other := range f.hosts {
		if f.random.Float64() >= f.pattern.Network.Loss {
			f.clock.After(f.delay(r.host.dataCentre, other.dataCentre), func() { r.tell(other, reg) })
		}
	}
}

func (r *registers) merge(reg *peerpb.Register) {
	h := r.host
	if h.registers.store.Merge(h.fleet.clock.Time(), reg) {
		h.limits.view = ratelimit.ViewOf(r.store)
		h.guard.setView(quarantine.ViewOf(r.store))
	}
}

// spread tells all other hosts, as gossip would.
func (r *registers) spread(reg *peerpb.Register) {
	f := r.host.fleet
	for _, other := range f.hosts {
		delay := gossipFrom + time.Duration(f.random.Float64()*float64(gossipFor-gossipFrom))
		f.clock.After(delay, func() { r.tell(other, reg) })
	}
}

func (r *registers) tell(other *host, reg *peerpb.Register) {
	if other != r.host && !r.host.isCut() && !other.isCut() {
		other.registers.merge(reg)
	}
}

func (r *registers) spreadAll() {
	for _, reg := range r.store.All(r.host.fleet.clock.Time()) {
		r.spread(reg)
	}
}

// fleetView is what a host knows of the others.
type fleetView struct {
	version uint64
	live    map[string]bool
	homes   []rendezvous.Node
}

// watchFleet calls set now, and when a cut or its end has been noticed.
func (h *host) watchFleet(set func(fleetView)) {
	set(h.seen(1))
	cut := h.fleet.pattern.Network.Cut
	if cut.For == 0 {
		return
	}
	h.fleet.clock.After(time.Duration(cut.From)+cutNoticed, func() { set(h.seen(2)) })
	h.fleet.clock.After(time.Duration(cut.From+cut.For)+gossipFor, func() { set(h.seen(3)) })
}

// seen is the hosts that this one hears now, itself included.
func (h *host) seen(version uint64) fleetView {
	v := fleetView{version: version, live: make(map[string]bool)}
	for _, other := range h.fleet.hosts {
		if other == h || !other.isCut() && !h.isCut() {
			v.live[other.name] = true
			v.homes = append(v.homes, rendezvous.NewNode(other.name, ""))
		}
	}
	return v
}
