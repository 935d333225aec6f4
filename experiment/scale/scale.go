// Package scale measures how the cost of each control mechanism grows with the
// size of its tables, up to the project's target, and checks the growth
// against bounds that are ratios within the same run.
package scale

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/claims"
	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/customer"
	"github.com/pearshelf/pearshelf/internal/engine"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/hlc"
	"github.com/pearshelf/pearshelf/internal/membership"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
	"github.com/pearshelf/pearshelf/internal/route"
	"github.com/pearshelf/pearshelf/internal/world"
)

// The project's target.
const (
	TargetHosts     = 1100
	TargetServices  = 500
	TargetServers   = 14_000
	TargetRoutes    = 16_000
	TargetCustomers = 100_000

	perService    = TargetServers / TargetServices
	routesEach    = TargetRoutes / TargetServices
	shards        = 50
	dataCentres   = 5
	probeInterval = time.Second
)

// runs is how often each value is measured.
const runs = 3

// Point is the measurements at one size.
type Point struct {
	Size int
	// Value is the median, Spread the largest less the smallest as a share of it.
	Value  float64
	Spread float64
}

func newPoint(size int, values []float64) Point {
	slices.Sort(values)
	p := Point{Size: size, Value: values[len(values)/2]}
	if p.Value > 0 {
		p.Spread = (values[len(values)-1] - values[0]) / p.Value
	}
	return p
}

// Slope is one mechanism's cost at growing sizes.
type Slope struct {
	Name   string
	Of     string // what the size counts
	Unit   string
	Points []Point
	// Bound is the most that the last value may be, as a multiple of the first;
	// it is set below the growth of the size where the cost must not follow it.
	Bound float64
}

// Growth is the last value over the first.
func (s Slope) Growth() float64 {
	first, last := s.Points[0].Value, s.Points[len(s.Points)-1].Value
	if first == 0 {
		return 0
	}
	return last / first
}

// Exponent fits cost = c * size^exponent to all points by least squares over
// the logarithms: 0 is a cost that does not grow, 1 one that grows as the size.
func (s Slope) Exponent() float64 {
	var n, sx, sy, sxx, sxy float64
	for _, p := range s.Points {
		if p.Value <= 0 {
			continue
		}
		x, y := math.Log(float64(p.Size)), math.Log(p.Value)
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	return (n*sxy - sx*sy) / (n*sxx - sx*sx)
}

// Exceeded reports whether the slope breaks its bound.
func (s Slope) Exceeded() bool { return s.Growth() > s.Bound }

// measure runs one mechanism at each size.
func measure(name, of, unit string, bound float64, sizes []int, value func(size int) float64) Slope {
	s := Slope{Name: name, Of: of, Unit: unit, Bound: bound}
	for _, size := range sizes {
		var values []float64
		for range runs {
			values = append(values, value(size))
		}
		s.Points = append(s.Points, newPoint(size, values))
	}
	return s
}

// microseconds times one operation.
func microseconds(op func()) float64 {
	result := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			op()
		}
	})
	return float64(result.NsPerOp()) / 1000
}

// Run measures every slope.
func Run() []Slope {
	services := []int{50, 150, 500}
	hosts := []int{100, 300, TargetHosts}
	return []Slope{
		measure("tick, nothing changes", "services", "us", 20, services, idleTick),
		measure("tick, one service with a failing server", "services", "us", 20, services, activeTick),
		measure("placement after a host changed", "hosts", "us", 25, hosts, placementAfterChange),
		measure("applying one shard of ten services", "services", "us", 4, services, applyShard),
		measure("heap of tables, views and documents", "services", "MB", 15, services, heapOfTables),
		measure("route lookup", "routes", "us", 4, []int{1000, 4000, TargetRoutes}, routeLookup),
		measure("customer of a key", "customers", "us", 4, []int{10_000, 30_000, TargetCustomers}, customerLookup),
		measure("heap of the customer table", "customers", "MB", 15, []int{10_000, 30_000, TargetCustomers}, heapOfCustomers),
		measure("claimants of one key", "hosts", "us", 20, hosts, claimants),
		measure("membership tick", "hosts", "us", 25, hosts, membershipTick),
		measure("heap of the membership list", "hosts", "MB", 15, hosts, heapOfMembers),
		measure("full comparison, one side", "hosts", "KB", 15, hosts, comparisonBytes),
	}
}

var epoch = time.Unix(1_700_000_000, 0)

func shardKey(i int) string { return fmt.Sprintf("services/s%02d", i) }

// shardText is one shard with every shards-th service.
func shardText(shard, services int) []byte {
	text := "services:\n"
	for i := shard; i < services; i += shards {
		text += fmt.Sprintf("- name: svc%03d\n  floor: 10\n  slots: 3\n  detection: fast\n  routes:\n", i)
		for r := range routesEach {
			text += fmt.Sprintf("  - {path: /svc%03d/r%02d, idempotent: true}\n", i, r)
		}
		text += "  backends:\n"
		for b := range perService {
			text += fmt.Sprintf("  - {id: b%02d, address: '10.%d.%d.%d:80', data_centre: dc%d}\n", b, i/200+1, i%200, b+1, b%dataCentres)
		}
	}
	return []byte(text)
}

func hostRow(i int) *peerpb.Member {
	return &peerpb.Member{
		Host: fmt.Sprintf("host-%04d", i), Address: fmt.Sprintf("10.9.%d.%d:7946", i/250, i%250+1),
		DataCentre: fmt.Sprintf("dc%d", i%dataCentres), Incarnation: uint64(epoch.UnixMilli()),
	}
}

// discard is an engine's effects that do nothing.
type discard struct{}

func (discard) Send([]membership.Packet)           {}
func (discard) Fetch(world.Fetch)                  {}
func (discard) Probe(world.Probe)                  {}
func (discard) SyncWith(string)                    {}
func (discard) Event(event.Event)                  {}
func (discard) SetReading(bool)                    {}
func (discard) StopRequested()                     {}
func (discard) Ticked(time.Duration, *world.World) {}

// loaded is an engine with hosts and services, after its first ticks.
type loaded struct {
	e   *engine.Engine
	now time.Time
}

func newLoaded(services, hosts int) *loaded {
	self := hostRow(0)
	conf := engine.Config{
		Self: world.Identity{Host: self.Host, Address: self.Address, DataCentre: self.DataCentre},
		Tick: 100 * time.Millisecond, Freshness: time.Second,
		Membership: membership.Config{
			Host: self.Host, Address: self.Address, DataCentre: self.DataCentre,
			ProbeInterval: probeInterval, ProbeTimeout: 400 * time.Millisecond, GossipInterval: 100 * time.Millisecond,
		},
	}
	l := &loaded{e: engine.New(conf, &hlc.Clock{}, discard{}, epoch), now: epoch}
	var members []*peerpb.Member
	for i := 1; i < hosts; i++ {
		members = append(members, hostRow(i))
	}
	l.e.Merge(l.now, members, nil, 0)
	for i := range shards {
		if raw := shardText(i, services); len(raw) > len("services:\n") {
			l.e.HandleDocument(l.now, shardKey(i), 1, raw)
		}
	}
	for range 50 {
		l.step()
	}
	return l
}

func (l *loaded) step() {
	l.now = l.now.Add(10 * time.Millisecond) // probes of silent hosts stay rare
	l.e.Step(l.now)
}

func idleTick(services int) float64 {
	l := newLoaded(services, 10)
	return microseconds(l.step)
}

func activeTick(services int) float64 {
	l := newLoaded(services, 10)
	return microseconds(func() {
		l.e.Observe(l.now, []*peerpb.Observation{
			{Service: "svc000", Backend: "b00", Kind: peerpb.Observation_KIND_FAILED},
			{Service: "svc000", Backend: "b01", Kind: peerpb.Observation_KIND_GOOD, FirstByteUs: 25_000},
		})
		l.step()
	})
}

// placementAfterChange is a tick in which one host left or came back.
func placementAfterChange(hosts int) float64 {
	l := newLoaded(TargetServices, hosts)
	incarnation := uint64(epoch.UnixMilli())
	return microseconds(func() {
		incarnation++
		m := hostRow(hosts - 1)
		m.Incarnation = incarnation
		m.Leaving = incarnation%2 == 0
		l.e.Merge(l.now, []*peerpb.Member{m}, nil, 0)
		l.step()
	})
}

func applyShard(services int) float64 {
	l := newLoaded(services, 10)
	raw := shardText(0, TargetServices)
	revision := uint64(1)
	return microseconds(func() {
		revision++
		l.e.HandleDocument(l.now, shardKey(0), revision, raw)
		l.step()
	})
}

// heap returns the megabytes that what make returns keeps alive.
func heap(make func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return max(0, float64(after.HeapAlloc)-float64(before.HeapAlloc)) / (1 << 20)
}

func heapOfTables(services int) float64 {
	return heap(func() any { return newLoaded(services, 10) })
}

func heapOfMembers(hosts int) float64 {
	return heap(func() any { return newLoaded(1, hosts) })
}

func routeLookup(routes int) float64 {
	var services []*config.Service
	for i := range routes / routesEach {
		svc := &config.Service{Name: fmt.Sprintf("svc%03d", i)}
		for r := range routesEach {
			svc.Routes = append(svc.Routes, config.Route{Path: fmt.Sprintf("/svc%03d/r%02d", i, r)})
		}
		services = append(services, svc)
	}
	table := route.Build(services, nil)
	n := 0
	return microseconds(func() {
		n++
		path := services[n%len(services)].Routes[n%routesEach].Path
		table.Lookup("example.org", "GET", path+"/a/b")
	})
}

// customerTable has two keys for each customer.
func customerTable(customers int) *customer.Table {
	entries := make([]customer.Entry, customers)
	for i := range entries {
		entries[i] = customer.Entry{
			Customer: customer.Customer{Name: fmt.Sprintf("customer-%06d", i), Limit: customer.Limit{PerSecond: 100, Burst: 100}},
			Keys:     []customer.Digest{customer.DigestOf(customerKey(i, 0)), customer.DigestOf(customerKey(i, 1))},
		}
	}
	return customer.Build(entries)
}

func customerKey(number, key int) string { return fmt.Sprintf("key-%06d-%d-0123456789", number, key) }

func customerLookup(customers int) float64 {
	table := customerTable(customers)
	n := 0
	return microseconds(func() {
		n++
		table.ByKey(customerKey(n*7919%customers, n%2))
	})
}

func heapOfCustomers(customers int) float64 {
	return heap(func() any { return customerTable(customers) })
}

func claimants(hosts int) float64 {
	var nodes []rendezvous.Node
	for i := range hosts {
		m := hostRow(i)
		nodes = append(nodes, rendezvous.NewNode(m.Host, m.DataCentre))
	}
	n := 0
	return microseconds(func() {
		n++
		rendezvous.Spread(fmt.Sprint("key-", n), nodes, claims.MaxVoters)
	})
}

func membershipTick(hosts int) float64 {
	l := newLoaded(1, hosts)
	return microseconds(l.step)
}

func comparisonBytes(hosts int) float64 {
	l := newLoaded(TargetServices, hosts)
	return float64(proto.Size(l.e.State(l.now))) / 1024
}
