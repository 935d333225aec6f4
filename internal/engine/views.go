package engine

import (
	"maps"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/customer"
	"github.com/pearshelf/pearshelf/internal/process"
	"github.com/pearshelf/pearshelf/internal/quarantine"
	"github.com/pearshelf/pearshelf/internal/ratelimit"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
	"github.com/pearshelf/pearshelf/internal/route"
	"github.com/pearshelf/pearshelf/internal/sharing"
	"github.com/pearshelf/pearshelf/internal/world"
)

// viewBuilder makes snapshots and rebuilds only what changed.
type viewBuilder struct {
	forwarding        bool
	routes            *route.Table
	services          map[string]*world.ServiceView
	customers         *customer.Table
	claimants         []rendezvous.Node
	claimantAddresses map[string]string
	hostListRevision  uint64
	hosts             int
	revisions         map[string]uint64
	sharing           *sharing.Fleet
	hostsVersion      uint64
	homes             []rendezvous.Node
	reachable         map[string]bool
	liveHosts         int
	fleetSize         int
	quarantine        *quarantine.View
	rateLimits        *ratelimit.View
	// coldChanges is when the next cold server is warm, zero for none.
	coldChanges time.Time
}

func newViewBuilder(forwarding bool) *viewBuilder {
	return &viewBuilder{
		forwarding: forwarding,
		routes:     route.Build(nil, nil),
		services:   make(map[string]*world.ServiceView),
		customers:  customer.Build(nil),
		quarantine: quarantine.NewView(nil),
		rateLimits: ratelimit.NewView(nil),
	}
}

func (v *viewBuilder) build(w *world.World, now time.Time, ready bool) *world.Snapshot {
	v.buildFleet(w)
	servicesChanged := v.buildServices(w)
	v.buildClaimants(w)
	v.buildRevisions(w)
	if w.QuarantineChanged {
		v.quarantine = quarantine.ViewOf(w.Registers)
		w.QuarantineChanged = false
	}
	if w.RateLimitsChanged {
		v.rateLimits = ratelimit.ViewOf(w.Registers)
	}
	isWarm := !v.coldChanges.IsZero() && !now.Before(v.coldChanges)
	if w.RateLimitsChanged || servicesChanged || isWarm {
		v.limitCold(w, now)
		w.RateLimitsChanged = false
	}
	return &world.Snapshot{
		Self:            w.Self,
		FreshUntil:      w.FreshUntil,
		Suspended:       w.Suspended,
		Revisions:       v.revisions,
		Ready:           ready,
		Leaving:         w.Leaving,
		Distrust:        w.Distrust,
		Routes:          v.routes,
		Services:        v.services,
		Customers:       v.customers,
		LiveHosts:       v.liveHosts,
		HostsVersion:    v.hostsVersion,
		Homes:           v.homes,
		Reachable:       v.reachable,
		Settled:         w.Settled,
		Sharing:         v.sharing,
		FleetSize:       v.fleetSize,
		Quarantine:      v.quarantine,
		RateLimits:      v.rateLimits,
		Claimants:       v.claimants,
		ClaimantAddress: v.claimantAddresses,
	}
}

// limitCold adds the limits of cold servers to those that servers name.
func (v *viewBuilder) limitCold(w *world.World, now time.Time) {
	var cold []ratelimit.Cold
	v.coldChanges = time.Time{}
	for name, svc := range w.Services {
		if svc.Config.ColdPerSecond <= 0 {
			continue
		}
		for _, b := range svc.Backends {
			if !now.Before(b.ColdUntil) {
				continue
			}
			server := process.Server{Service: name, ID: b.Config.ID, Started: b.Config.Started}
			cold = append(cold, ratelimit.Cold{Server: server, PerSecond: svc.Config.ColdPerSecond, Until: b.ColdUntil})
			if v.coldChanges.IsZero() || b.ColdUntil.Before(v.coldChanges) {
				v.coldChanges = b.ColdUntil
			}
		}
	}
	v.rateLimits = v.rateLimits.WithCold(cold)
}

// buildServices renews the views of services that have changed, and reports whether any has.
func (v *viewBuilder) buildServices(w *world.World) bool {
	changed := make(map[string]*world.ServiceView)
	for name, svc := range w.Services {
		if svc.Dirty {
			changed[name] = v.serviceView(w, svc)
			svc.Dirty = false
		}
	}
	if len(changed) == 0 && !w.ServicesChanged {
		return false
	}
	next := make(map[string]*world.ServiceView, len(w.Services))
	for name := range w.Services {
		next[name] = v.services[name]
	}
	maps.Copy(next, changed)
	v.services = next
	if w.ServicesChanged {
		v.buildRoutes(w)
		v.buildCustomers(w)
	}
	w.ServicesChanged = false
	return true
}

func (v *viewBuilder) buildRoutes(w *world.World) {
	configs := make([]*config.Service, 0, len(w.Services))
	for _, name := range w.ServiceNames() {
		configs = append(configs, w.Services[name].Config)
	}
	var shared []config.Route
	for _, key := range slices.Sorted(maps.Keys(w.SharedRoutes)) {
		shared = append(shared, w.SharedRoutes[key]...)
	}
	v.routes = route.Build(configs, shared)
}

func (v *viewBuilder) buildCustomers(w *world.World) {
	var entries []customer.Entry
	for _, customers := range w.Customers {
		for i := range customers {
			entries = append(entries, customers[i].Entry())
		}
	}
	v.customers = customer.Build(entries)
}

func (v *viewBuilder) serviceView(w *world.World, svc *world.Service) *world.ServiceView {
	active := svc.Active()
	position := slices.Index(active, w.Self.Host)
	view := &world.ServiceView{
		Config:      svc.Config,
		SelfOwner:   position >= 0,
		OwnerCount:  max(len(active), 1),
		SharesSlots: position >= 0 && v.forwarding,
	}
	view.Backends = make([]world.BackendView, 0, len(svc.Backends))
	for i, b := range svc.Backends {
		if b.Rotation.In {
			view.Backends = append(view.Backends, backendView(b, shareOf(b.Config.Slots, i, position, len(active))))
		}
	}
	v.addOwners(w, svc, view)
	if !v.forwarding {
		view.Sharing = shareAmong(v.services[svc.Config.Name], view.Backends)
		v.chooseSubset(view)
	}
	return view
}

// shareAmong places the servers in rotation on rings, by what has changed since the view
// before; that may be nil.
func shareAmong(before *world.ServiceView, backends []world.BackendView) *sharing.Service {
	var held []world.BackendView
	rings := &sharing.Service{}
	if before != nil && before.Sharing != nil {
		held, rings = before.Backends, before.Sharing
	}
	var joined, left []sharing.Server
	for len(held) > 0 || len(backends) > 0 {
		switch {
		case len(held) == 0 || len(backends) > 0 && backends[0].ID < held[0].ID:
			joined = append(joined, serverOnRing(&backends[0]))
			backends = backends[1:]
		case len(backends) == 0 || held[0].ID < backends[0].ID:
			left = append(left, serverOnRing(&held[0]))
			held = held[1:]
		default:
			if held[0].DataCentre != backends[0].DataCentre {
				left = append(left, serverOnRing(&held[0]))
				joined = append(joined, serverOnRing(&backends[0]))
			}
			held, backends = held[1:], backends[1:]
		}
	}
	if len(joined)+len(left) == 0 {
		return rings
	}
	return rings.With(joined, left)
}

func serverOnRing(b *world.BackendView) sharing.Server {
	return sharing.Server{Name: b.ID, DataCentre: b.DataCentre}
}

func backendView(b *world.BackendServer, share int) world.BackendView {
	return world.BackendView{
		ID:             b.Config.ID,
		Address:        b.Config.Address,
		DataCentre:     b.Config.DataCentre,
		Warmup:         time.Duration(b.Config.Warmup),
		Started:        b.Config.Started,
		Slots:          b.Config.Slots,
		Share:          share,
		IdempotentOnly: b.Rotation.IdempotentOnly,
		Weight:         b.Rotation.Weight,
		Node:           rendezvous.NewNode(b.Config.ID, ""),
	}
}

// shareOf divides a server's slots among the active owners. The rest of the
// division goes to other owners at each server, so that totals are even. All
// owners compute the same shares from the same list.
func shareOf(slots, server, owner, owners int) int {
	if owner < 0 || owners == 0 {
		return 0
	}
	share := slots / owners
	if (owner+server)%owners < slots%owners {
		share++
	}
	return share
}

func (v *viewBuilder) addOwners(w *world.World, svc *world.Service, view *world.ServiceView) {
	for i, host := range svc.Owners[w.Self.DataCentre] {
		h, ok := w.Hosts[host]
		if !ok || host == w.Self.Host {
			continue
		}
		view.Owners = append(view.Owners, world.OwnerView{Host: host, Address: h.Address})
		if i < svc.ActiveOwners {
			view.ActiveOwners++
		}
	}
}

// buildRevisions copies the documents' revisions where one has changed.
func (v *viewBuilder) buildRevisions(w *world.World) {
	same := len(v.revisions) == len(w.Documents)
	for key, doc := range w.Documents {
		same = same && v.revisions[key] == doc.Revision
	}
	if same {
		return
	}
	v.revisions = make(map[string]uint64, len(w.Documents))
	for key, doc := range w.Documents {
		v.revisions[key] = doc.Revision
	}
}

// buildFleet places the live hosts, and this host's subsets among them.
func (v *viewBuilder) buildFleet(w *world.World) {
	if v.hostsVersion == w.HostsVersion && v.fleetSize > 0 {
		return
	}
	v.hostsVersion = w.HostsVersion
	var others []sharing.Host
	for name, h := range w.Hosts {
		if h.Live() && name != w.Self.Host {
			others = append(others, sharing.Host{Name: name, Address: h.Address, DataCentre: h.DataCentre})
		}
	}
	self := sharing.Host{Name: w.Self.Host, Address: w.Self.Address, DataCentre: w.Self.DataCentre}
	v.sharing = sharing.NewFleet(sharing.DefaultRule(), self, others)
	v.liveHosts = len(others) + 1
	v.fleetSize = max(v.fleetSize, v.liveHosts)
	v.chooseSubsets()
	v.chooseHomes(w)
}

// chooseHomes lists the hosts that may hold customers' limits.
func (v *viewBuilder) chooseHomes(w *world.World) {
	v.homes = nil
	v.reachable = make(map[string]bool, len(w.Hosts))
	for _, name := range w.HostNames() {
		h := w.Hosts[name]
		v.reachable[name] = name == w.Self.Host || h.Liveness == peerpb.Liveness_LIVENESS_ALIVE
		if h.Eligible() || name == w.Self.Host {
			v.homes = append(v.homes, rendezvous.NewNode(name, h.DataCentre))
		}
	}
}

// chooseSubsets renews the subsets after a change of hosts.
func (v *viewBuilder) chooseSubsets() {
	if v.forwarding {
		return
	}
	next := make(map[string]*world.ServiceView, len(v.services))
	for name, view := range v.services {
		renewed := *view
		v.chooseSubset(&renewed)
		next[name] = &renewed
	}
	v.services = next
}

// chooseSubset picks the servers that this host uses.
func (v *viewBuilder) chooseSubset(view *world.ServiceView) {
	names := v.sharing.Subset(view.Sharing)
	slices.Sort(names)
	view.Subset = make([]world.BackendView, 0, len(names))
	for _, name := range names {
		if b := view.Backend(name); b != nil {
			view.Subset = append(view.Subset, *b)
		}
	}
}

// buildClaimants lists the hosts that keep idempotency keys: the platform's
// list, or without one every host ever heard of.
func (v *viewBuilder) buildClaimants(w *world.World) {
	revision := w.Document(world.KeyHosts).Revision
	if v.claimants != nil && revision == v.hostListRevision && (revision > 0 || len(w.Hosts) == v.hosts) {
		return
	}
	v.hostListRevision = revision
	v.hosts = len(w.Hosts)
	v.claimants = nil
	v.claimantAddresses = make(map[string]string)
	for _, h := range w.HostList.Hosts {
		v.addClaimant(h.Name, h.DataCentre, h.Address)
	}
	if revision > 0 {
		return
	}
	for _, name := range w.HostNames() {
		h := w.Hosts[name]
		v.addClaimant(h.Name, h.DataCentre, h.Address)
	}
}

func (v *viewBuilder) addClaimant(name, dataCentre, address string) {
	v.claimants = append(v.claimants, rendezvous.NewNode(name, dataCentre))
	v.claimantAddresses[name] = address
}
