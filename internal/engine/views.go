package engine

import (
	"maps"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/customer"
	"github.com/pearshelf/pearshelf/internal/quarantine"
	"github.com/pearshelf/pearshelf/internal/ratelimit"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
	"github.com/pearshelf/pearshelf/internal/route"
	"github.com/pearshelf/pearshelf/internal/sharing"
	"github.com/pearshelf/pearshelf/internal/world"
)

// viewBuilder builds snapshots, rebuilding only the parts that have changed.
type viewBuilder struct {
	forwarding              bool
	routes                  *route.Table
	services                map[string]*world.ServiceView
	customers               *customer.Table
	claimCandidates         []rendezvous.Node
	claimCandidateAddresses map[string]string
	hostListRevision        uint64
	hostCount               int
	revisions               map[string]uint64
	sharing                 *sharing.Fleet
	hostsVersion            uint64
	homes                   []rendezvous.Node
	reachable               map[string]bool
	liveHosts               int
	relays                  []world.RelayHost
	hostsWithoutPath        int
	hostsRelay              bool
	farHosts                map[string]bool
	farHostNames            map[string]bool
	fleetSize               int
	quarantine              *quarantine.View
	rateLimits              *ratelimit.View
	// nextWarmAt is when the next cold server will be warm, zero if there is none.
	nextWarmAt time.Time
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
	v.buildClaimCandidates(w)
	v.buildRevisions(w)
	if w.QuarantineChanged {
		v.quarantine = quarantine.ViewOf(w.Registers)
		w.QuarantineChanged = false
	}
	if w.RateLimitsChanged {
		v.rateLimits = ratelimit.ViewOf(w.Registers)
	}
	isWarm := !v.nextWarmAt.IsZero() && !now.Before(v.nextWarmAt)
	if w.RateLimitsChanged || servicesChanged || isWarm {
		v.applyColdLimits(w, now)
		w.RateLimitsChanged = false
	}
	return &world.Snapshot{
		Self:                    w.Self,
		FreshUntil:              w.FreshUntil,
		Suspended:               w.Suspended,
		Revisions:               v.revisions,
		Ready:                   ready,
		Leaving:                 w.Leaving,
		NetworkSuspect:          w.NetworkSuspect,
		Routes:                  v.routes,
		Services:                v.services,
		Customers:               v.customers,
		LiveHosts:               v.liveHosts,
		Relays:                  v.relays,
		HostsWithoutPath:        v.hostsWithoutPath,
		HostsRelay:              v.hostsRelay,
		FarHosts:                v.farHosts,
		FarHostNames:            v.farHostNames,
		HostsVersion:            v.hostsVersion,
		Homes:                   v.homes,
		Reachable:               v.reachable,
		Settled:                 w.Settled,
		Sharing:                 v.sharing,
		FleetSize:               v.fleetSize,
		Quarantine:              v.quarantine,
		RateLimits:              v.rateLimits,
		ClaimCandidates:         v.claimCandidates,
		ClaimCandidateAddresses: v.claimCandidateAddresses,
	}
}

// buildServices rebuilds the views of changed services and reports whether any has changed.
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
	v.setObjectives()
	return true
}

// setObjectives adds the latency objectives of the routes to the views that lack them.
func (v *viewBuilder) setObjectives() {
	for name, view := range v.services {
		if o := v.routes.Objectives(name); view.ShortestObjective != o.Shortest || view.LongestObjective != o.Longest {
			updated := *view
			updated.ShortestObjective, updated.LongestObjective = o.Shortest, o.Longest
			v.services[name] = &updated
		}
	}
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

// buildRevisions copies the revisions of all documents if any of them has changed.
func (v *viewBuilder) buildRevisions(w *world.World) {
	unchanged := len(v.revisions) == len(w.Documents)
	for key, doc := range w.Documents {
		unchanged = unchanged && v.revisions[key] == doc.Revision
	}
	if unchanged {
		return
	}
	v.revisions = make(map[string]uint64, len(w.Documents))
	for key, doc := range w.Documents {
		v.revisions[key] = doc.Revision
	}
}

// buildFleet rebuilds everything that depends on the set of live hosts, including this
// host's subsets.
func (v *viewBuilder) buildFleet(w *world.World) {
	if v.hostsVersion == w.HostsVersion && v.fleetSize > 0 {
		return
	}
	v.hostsVersion = w.HostsVersion
	var others []sharing.Host
	for name, h := range w.Hosts {
		if h.Live() && name != w.Self.Host {
			others = append(others, sharing.Host{Name: name, Address: h.Address, DataCentre: h.DataCentre, RelaysLoads: h.RelaysLoads && h.Liveness == peerpb.Liveness_LIVENESS_ALIVE})
		}
	}
	v.farHosts, v.farHostNames = make(map[string]bool), make(map[string]bool)
	for name, h := range w.Hosts {
		far := h.DataCentre != w.Self.DataCentre
		v.farHosts[h.Address], v.farHostNames[name] = far, far
	}
	self := sharing.Host{Name: w.Self.Host, Address: w.Self.Address, DataCentre: w.Self.DataCentre}
	v.sharing = sharing.NewFleet(sharing.DefaultRule(), self, others)
	v.liveHosts = len(others) + 1
	v.fleetSize = max(v.fleetSize, v.liveHosts)
	v.chooseSubsets()
	v.chooseHomes(w)
	v.chooseRelays(w)
}

// chooseRelays lists the hosts that requests may be relayed through.
func (v *viewBuilder) chooseRelays(w *world.World) {
	v.relays, v.hostsWithoutPath, v.hostsRelay = nil, 0, false
	for _, name := range w.HostNames() {
		h := w.Hosts[name]
		if h.Path == peerpb.PathState_PATH_STATE_LOST && h.DataCentre == w.Self.DataCentre && h.Live() {
			v.hostsWithoutPath++
		}
		if name != w.Self.Host && h.Live() && h.Path != peerpb.PathState_PATH_STATE_UNKNOWN {
			v.hostsRelay = true
		}
		isAlive := h.Liveness == peerpb.Liveness_LIVENESS_ALIVE && !h.Leaving
		if name != w.Self.Host && isAlive && h.Path == peerpb.PathState_PATH_STATE_WORKING {
			v.relays = append(v.relays, world.RelayHost{OwnerView: world.OwnerView{Host: name, Address: h.Address}, DataCentre: h.DataCentre})
		}
	}
}

// chooseHomes lists the hosts that may keep the rate limits of customers.
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

// buildClaimCandidates lists the hosts that store idempotency keys: the platform's host
// list or, without one, every host that this one has known.
func (v *viewBuilder) buildClaimCandidates(w *world.World) {
	revision := w.Document(world.KeyHosts).Revision
	if v.claimCandidates != nil && revision == v.hostListRevision && (revision > 0 || len(w.Hosts) == v.hostCount) {
		return
	}
	v.hostListRevision = revision
	v.hostCount = len(w.Hosts)
	v.claimCandidates = nil
	v.claimCandidateAddresses = make(map[string]string)
	for _, h := range w.HostList.Hosts {
		v.addClaimCandidate(h.Name, h.DataCentre, h.Address)
	}
	if revision > 0 {
		return
	}
	for _, name := range w.HostNames() {
		h := w.Hosts[name]
		v.addClaimCandidate(h.Name, h.DataCentre, h.Address)
	}
}

func (v *viewBuilder) addClaimCandidate(name, dataCentre, address string) {
	v.claimCandidates = append(v.claimCandidates, rendezvous.NewNode(name, dataCentre))
	v.claimCandidateAddresses[name] = address
}
