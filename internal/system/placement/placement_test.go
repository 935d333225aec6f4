package placement_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/pearshelf/pearshelf/internal/rendezvous"
	"github.com/pearshelf/pearshelf/internal/system/placement"
)

// Hosts that can bear more read the platform first; the others stand in for them, in an order that
// does not depend on small differences.
func TestLargeHostsRead(t *testing.T) {
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
		t.Errorf("%v read first, want the large hosts", first)
	}
	clear(capacity)
	alike := slices.DeleteFunc(placement.ReaderOrder(hosts, func(host string) uint32 { return capacity[host] }), func(host string) bool {
		return slices.Contains(first, host)
	})
	if !slices.Equal(alike, order[2:]) {
		t.Errorf("hosts of about one capacity: %v, want %v", order[2:], alike)
	}
}
