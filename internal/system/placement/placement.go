// Package placement computes, from the live hosts, which hosts own and watch
// each service and which read the platform. Hosts with the same list compute
// the same placement; nothing is negotiated.
package placement

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/rendezvous"
	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	// SlotsPerOwner adds an active owner for each so many slots of a service.
	// Few owners hold large shares of the slots, which serve a queue better.
	SlotsPerOwner = 64
	// StandbyOwners stand behind the active ones in each data centre: one may
	// fail or freeze.
	StandbyOwners = 1
	// WatchersPerService must be odd, so that a majority is clear.
	WatchersPerService = 3
)

// System is the placement step.
type System struct{}

// Run recomputes the placement after a change of hosts or services.
func (System) Run(w *world.World, _ time.Time) {
	if !w.HostsChanged && !w.ServicesChanged {
		return
	}
	nodes := eligible(w)
	w.ReaderOrder = ReaderOrder(nodes[w.Self.DataCentre], func(host string) uint32 { return w.Hosts[host].Capacity })
	w.Readers = w.ReaderOrder[:min(w.ActiveReaders, len(w.ReaderOrder))]
	for _, svc := range w.Services {
		place(svc, nodes)
	}
	w.HostsChanged = false
}

// ReaderOrder returns the hosts of a data centre, those that are to read the platform first:
// each server's heartbeat comes to a reader, which takes a good part of a small host. Hosts of
// about one capacity are in an order of their own.
func ReaderOrder(hosts []rendezvous.Node, capacity func(host string) uint32) []string {
	order := rendezvous.Top("platform-reader", hosts, len(hosts))
	slices.SortStableFunc(order, func(a, b string) int {
		return cmp.Compare(magnitude(capacity(b)), magnitude(capacity(a)))
	})
	return order
}

// magnitude is the binary order of magnitude: capacities within a factor of two count alike.
func magnitude(capacity uint32) int { return bits.Len32(capacity) }

func eligible(w *world.World) map[string][]rendezvous.Node {
	nodes := make(map[string][]rendezvous.Node)
	for _, name := range w.HostNames() {
		h := w.Hosts[name]
		if h.Eligible() {
			nodes[h.DataCentre] = append(nodes[h.DataCentre], rendezvous.NewNode(h.Name, h.DataCentre))
		}
	}
	return nodes
}

func place(svc *world.Service, nodes map[string][]rendezvous.Node) {
	active := 1 + svc.Config.TotalSlots()/SlotsPerOwner
	owners := make(map[string][]string, len(nodes))
	var candidates, standby []rendezvous.Node
	for dataCentre, inCentre := range nodes {
		owners[dataCentre] = rendezvous.Top("owner/"+svc.Config.Name, inCentre, active+StandbyOwners)
		for i, host := range owners[dataCentre] {
			node := rendezvous.NewNode(host, dataCentre)
			if i < active {
				candidates = append(candidates, node)
			} else {
				standby = append(standby, node)
			}
		}
	}
	if len(candidates) < WatchersPerService {
		candidates = append(candidates, standby...)
	}
	watchers := rendezvous.Spread("watcher/"+svc.Config.Name, candidates, WatchersPerService)
	if !slices.Equal(watchers, svc.Watchers) || !sameOwners(owners, svc.Owners) {
		svc.Dirty = true
	}
	svc.Owners = owners
	svc.ActiveOwners = active
	svc.Watchers = watchers
}

func sameOwners(a, b map[string][]string) bool {
	if len(a) != len(b) {
		return false
	}
	for dataCentre, hosts := range a {
		if !slices.Equal(hosts, b[dataCentre]) {
			return false
		}
	}
	return true
}

// Interface guard.
var _ world.System = System{}
