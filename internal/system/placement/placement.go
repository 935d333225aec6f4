// Package placement assigns the owners and watchers of each service and the
// platform readers among the live hosts. The assignment is deterministic: hosts
// with the same host list compute the same placement without coordination.
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
	// SlotsPerOwner is the number of slots of a service per active owner. With
	// few owners each holds a large share of the slots, which is more efficient
	// for queueing.
	SlotsPerOwner = 64
	// StandbyOwners is the number of standby owners per data centre, in case an
	// active owner fails or freezes.
	StandbyOwners = 1
	// WatchersPerService must be odd, so that votes cannot tie.
	WatchersPerService = 3
)

// System is the placement step of a tick.
type System struct{}

// Run recomputes the placement if the hosts or services have changed.
func (System) Run(w *world.World, _ time.Time) {
	if !w.HostsChanged && !w.ServicesChanged {
		return
	}
	nodes := eligibleNodes(w)
	w.ReaderOrder = ReaderOrder(nodes[w.Self.DataCentre], func(host string) uint32 { return w.Hosts[host].Capacity })
	w.Readers = w.ReaderOrder[:min(w.ActiveReaders, len(w.ReaderOrder))]
	for _, svc := range w.Services {
		placeService(svc, nodes)
	}
	w.HostsChanged = false
}

// ReaderOrder returns the hosts of a data centre in order of preference as platform readers,
// hosts with a larger capacity first: a reader receives the heartbeats of all backend servers,
// which takes a considerable part of a small host. Hosts of similar capacity are ordered by
// rendezvous hashing.
func ReaderOrder(hosts []rendezvous.Node, capacity func(host string) uint32) []string {
	order := rendezvous.Top("platform-reader", hosts, len(hosts))
	slices.SortStableFunc(order, func(a, b string) int {
		return cmp.Compare(magnitude(capacity(b)), magnitude(capacity(a)))
	})
	return order
}

// magnitude returns the binary order of magnitude, which groups capacities that differ by less
// than a factor of two.
func magnitude(capacity uint32) int { return bits.Len32(capacity) }

func eligibleNodes(w *world.World) map[string][]rendezvous.Node {
	nodes := make(map[string][]rendezvous.Node)
	for _, name := range w.HostNames() {
		h := w.Hosts[name]
		if h.Eligible() {
			nodes[h.DataCentre] = append(nodes[h.DataCentre], rendezvous.NewNode(h.Name, h.DataCentre))
		}
	}
	return nodes
}

func placeService(svc *world.Service, nodes map[string][]rendezvous.Node) {
	active := 1 + svc.Config.TotalSlots()/SlotsPerOwner
	owners := make(map[string][]string, len(nodes))
	var candidates, standby []rendezvous.Node
	for dataCentre, centreNodes := range nodes {
		owners[dataCentre] = rendezvous.Top("owner/"+svc.Config.Name, centreNodes, active+StandbyOwners)
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

var _ world.System = System{}
