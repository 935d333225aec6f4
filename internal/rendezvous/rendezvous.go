// Package rendezvous ranks nodes for a key by highest random weight (Thaler
// and Ravishankar, 1998): every host computes the same ranking from the same
// list, and removing a node moves only the keys that it held.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Node is a candidate with its precomputed hash.
type Node struct {
	// Name identifies the node.
	Name string
	// Zone groups nodes that fail together; Spread keeps within limits per zone.
	Zone string

	hash uint64
}

// NewNode returns a node with its hash.
func NewNode(name, zone string) Node {
	return Node{Name: name, Zone: zone, hash: xxhash.Sum64String(name)}
}

// weight mixes key and node hashes with the finalizer of SplitMix64.
func weight(key, node uint64) uint64 {
	x := key ^ node*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

type ranked struct {
	weight uint64
	index  int
}

func rank(key string, nodes []Node) []ranked {
	keyHash := xxhash.Sum64String(key)
	order := make([]ranked, len(nodes))
	for i := range nodes {
		order[i] = ranked{weight: weight(keyHash, nodes[i].hash), index: i}
	}
	return order
}

func before(nodes []Node) func(a, b ranked) int {
	return func(a, b ranked) int {
		if a.weight != b.weight {
			return cmp.Compare(b.weight, a.weight)
		}
		return cmp.Compare(nodes[a.index].Name, nodes[b.index].Name)
	}
}

// selectUpTo is the number of results from which sorting is cheaper than
// repeated selection.
const selectUpTo = 8

func names(nodes []Node, order []ranked) []string {
	found := make([]string, len(order))
	for i, r := range order {
		found[i] = nodes[r.index].Name
	}
	return found
}

// Top returns the names of the n highest-ranked nodes for the key.
func Top(key string, nodes []Node, n int) []string {
	order := rank(key, nodes)
	less := before(nodes)
	n = min(n, len(order))
	if n > selectUpTo {
		slices.SortFunc(order, less)
		return names(nodes, order[:n])
	}
	top := make([]string, 0, n)
	for range n {
		best := slices.MinFunc(order, less)
		top = append(top, nodes[best.index].Name)
		order = slices.DeleteFunc(order, func(r ranked) bool { return r.index == best.index })
	}
	return top
}

// Spread returns up to n names in rank order with as even a number per zone
// as the zones allow. Removing one node from the list changes the result in
// at most one place.
func Spread(key string, nodes []Node, n int) []string {
	order := rank(key, nodes)
	slices.SortFunc(order, before(nodes))
	zones := make(map[string]int)
	for i := range nodes {
		zones[nodes[i].Zone] = 0
	}
	if len(zones) == 0 {
		return nil
	}
	limit := (n + len(zones) - 1) / len(zones)
	chosen := make([]string, 0, n)
	for _, r := range order {
		node := nodes[r.index]
		if len(chosen) == n {
			break
		}
		if zones[node.Zone] >= limit {
			continue
		}
		zones[node.Zone]++
		chosen = append(chosen, node.Name)
	}
	return chosen
}
