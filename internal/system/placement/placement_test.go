package placement_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/pearshelf/pearshelf/internal/rendezvous"
	"github.com/pearshelf/pearshelf/internal/system/placement"
)

// Hosts with a larger capacity are preferred as readers. The order of the others, which replace
// them on failure, does not depend on small differences in capacity.
func TestLargeHostsArePreferredAsReaders(t *testing.T) {
	var hosts []rendezvous.Node
	capacity := make(map[string]uint32)
	for n := range 30 {
		name := fmt.Sprint("h", n)
		hosts = append(hosts, rendezvous.NewNode(name, "dc1"))
		capacity[name] = uint32(160 + n)
	}
	capacity["h3"], capacity["h17"] = 800, 900
	order := placement.ReaderOrder(hosts, func(host string) uint32 { return capacity[host] })
	first := slices.Sorted(slices.Values(order[:2]))
	if !slices.Equal(first, []string{"h17", "h3"}) {
		t.Errorf("first readers are %v, want the large hosts", first)
	}
	clear(capacity)
	similar := slices.DeleteFunc(placement.ReaderOrder(hosts, func(host string) uint32 { return capacity[host] }), func(host string) bool {
		return slices.Contains(first, host)
	})
	if !slices.Equal(similar, order[2:]) {
		t.Errorf("order of hosts of similar capacity: %v, want %v", order[2:], similar)
	}
}
