package engine

import (
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/process"
	"github.com/pearshelf/pearshelf/internal/ratelimit"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
	"github.com/pearshelf/pearshelf/internal/sharing"
	"github.com/pearshelf/pearshelf/internal/world"
)

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
			view.Backends = append(view.Backends, backendView(b, slotShare(b.Config.Slots, i, position, len(active))))
		}
	}
	v.addOwners(w, svc, view)
	if !v.forwarding {
		view.Sharing = updateRings(v.services[svc.Config.Name], view.Backends)
		v.chooseSubset(view)
	}
	return view
}

// updateRings returns the hash rings of the servers in rotation, derived from those of the
// previous view by adding and removing the servers that changed. previous may be nil.
func updateRings(previous *world.ServiceView, backends []world.BackendView) *sharing.Service {
	var previousBackends []world.BackendView
	rings := &sharing.Service{}
	if previous != nil && previous.Sharing != nil {
		previousBackends, rings = previous.Backends, previous.Sharing
	}
	var joined, left []sharing.Server
	for len(previousBackends) > 0 || len(backends) > 0 {
		switch {
		case len(previousBackends) == 0 || len(backends) > 0 && backends[0].ID < previousBackends[0].ID:
			joined = append(joined, ringServer(&backends[0]))
			backends = backends[1:]
		case len(backends) == 0 || previousBackends[0].ID < backends[0].ID:
			left = append(left, ringServer(&previousBackends[0]))
			previousBackends = previousBackends[1:]
		default:
			if previousBackends[0].DataCentre != backends[0].DataCentre {
				left = append(left, ringServer(&previousBackends[0]))
				joined = append(joined, ringServer(&backends[0]))
			}
			previousBackends, backends = previousBackends[1:], backends[1:]
		}
	}
	if len(joined)+len(left) == 0 {
		return rings
	}
	return rings.Updated(joined, left)
}

func ringServer(b *world.BackendView) sharing.Server {
	return sharing.Server{Name: b.ID, DataCentre: b.DataCentre}
}

func backendView(b *world.BackendServer, share int) world.BackendView {
	return world.BackendView{
		ID:             b.Config.ID,
		Address:        b.Config.Address,
		DataCentre:     b.Config.DataCentre,
		Warmup:         time.Duration(b.Config.Warmup),
		Started:        b.Config.Started,
		JoinedAt:       b.JoinedAt,
		Slots:          b.Config.Slots,
		SlotShare:      share,
		IdempotentOnly: b.Rotation.IdempotentOnly,
		Weight:         b.Rotation.Weight,
		Node:           rendezvous.NewNode(b.Config.ID, ""),
	}
}

// slotShare returns an owner's share of a server's slots, which are divided evenly
// among the active owners. The remainder rotates over the owners from server to
// server, so that totals stay balanced. All owners compute the same shares from
// the same list.
func slotShare(slots, server, owner, owners int) int {
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

// chooseSubsets recomputes the subsets of all services after the set of hosts has changed.
func (v *viewBuilder) chooseSubsets() {
	if v.forwarding {
		return
	}
	next := make(map[string]*world.ServiceView, len(v.services))
	for name, view := range v.services {
		updated := *view
		v.chooseSubset(&updated)
		next[name] = &updated
	}
	v.services = next
}

// chooseSubset selects the servers of a service that this host uses.
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

// applyColdLimits adds the rate limits for cold servers to the limits set by the servers
// themselves.
func (v *viewBuilder) applyColdLimits(w *world.World, now time.Time) {
	var cold []ratelimit.ColdServer
	v.nextWarmAt = time.Time{}
	for name, svc := range w.Services {
		if svc.Config.ColdPerSecond <= 0 {
			continue
		}
		for _, b := range svc.Backends {
			if !now.Before(b.ColdUntil) {
				continue
			}
			server := process.Server{Service: name, ID: b.Config.ID, Started: b.Config.Started}
			cold = append(cold, ratelimit.ColdServer{Server: server, PerSecond: svc.Config.ColdPerSecond, Until: b.ColdUntil})
			if v.nextWarmAt.IsZero() || b.ColdUntil.Before(v.nextWarmAt) {
				v.nextWarmAt = b.ColdUntil
			}
		}
	}
	v.rateLimits = v.rateLimits.WithCold(cold)
}
