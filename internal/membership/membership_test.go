package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/gossip"
	"github.com/pearshelf/pearshelf/internal/membership"
)

const (
	tick          = 20 * time.Millisecond
	probeInterval = 200 * time.Millisecond
)

// network is a simulated network with its own clock. It delivers datagrams in memory, except over
// blocked paths and to paused hosts.
type network struct {
	now                time.Time
	lists              []*membership.List
	blocked            map[[2]int]bool
	paused             map[int]bool
	deaths, suspicions int
}

type delegate struct{ m *network }

func (d delegate) MemberChanged(_ time.Time, m, _ *peerpb.Member) {
	switch m.Liveness {
	case peerpb.Liveness_LIVENESS_DEAD:
		d.m.deaths++
	case peerpb.Liveness_LIVENESS_SUSPECT:
		d.m.suspicions++
	}
}

func (d delegate) Refuted(time.Time) {}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:1", i+1) }

var networks uint64 // number of networks created; seeds differ between them and repeat in every run

func newNetwork(n int) *network {
	networks++
	m := &network{now: time.Unix(1_700_000_000, 0), blocked: make(map[[2]int]bool), paused: make(map[int]bool)}
	var members []*peerpb.Member
	for i := range n {
		conf := membership.Config{
			Host: fmt.Sprintf("h%02d", i), Address: address(i), DataCentre: "dc",
			ProbeInterval: probeInterval, ProbeTimeout: 80 * time.Millisecond,
			GossipInterval: tick, Seed: networks*1000 + uint64(i),
		}
		l := membership.New(conf, delegate{m}, gossip.NewQueue(), m.now)
		m.lists = append(m.lists, l)
		members = append(members, l.Member(conf.Host))
	}
	for _, l := range m.lists {
		l.Merge(m.now, members)
	}
	return m
}

func (m *network) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(tick) {
		for i, l := range m.lists {
			if !m.paused[i] {
				m.send(i, l.Tick(m.now))
			}
		}
	}
}

func (m *network) send(from int, packets []membership.Packet) {
	for _, p := range packets {
		to := 0
		for to < len(m.lists) && address(to) != p.To {
			to++
		}
		if m.blocked[[2]int{from, to}] || m.paused[to] {
			continue
		}
		m.send(to, m.lists[to].Receive(m.now, address(from), p.Datagram))
	}
}

func TestDeadHostIsDetectedByAll(t *testing.T) {
	m := newNetwork(20)
	m.paused[7] = true
	m.run(20 * time.Second)
	for i, l := range m.lists {
		if i != 7 && l.LiveCount() != 19 {
			t.Errorf("host %d counts %d live hosts, want 19", i, l.LiveCount())
		}
	}
}

// A path between two hosts that is blocked in one or both directions does not lead to a
// declared death while other hosts reach both.
func TestBlockedPathIsNotADeath(t *testing.T) {
	m := newNetwork(10)
	m.blocked[[2]int{1, 2}] = true
	m.blocked[[2]int{3, 4}] = true
	m.blocked[[2]int{4, 3}] = true
	m.run(time.Minute)
	if m.deaths > 0 {
		t.Fatalf("%d live hosts declared dead", m.deaths)
	}
}

// A host that was suspended does not suspect others whose answers it could not receive meanwhile.
func TestSuspendedHostSuspectsNobody(t *testing.T) {
	m := newNetwork(2) // no third host for indirect probes
	for range 20 {
		m.run(time.Second)
		m.blocked[[2]int{1, 0}] = true // an answer is outstanding
		m.run(probeInterval / 2)
		clear(m.blocked)
		m.now = m.now.Add(4 * probeInterval) // all hosts stop, as in a suspend
	}
	if m.deaths+m.suspicions > 0 {
		t.Fatalf("%d deaths and %d suspicions after a pause", m.deaths, m.suspicions)
	}
}

// After a full partition ends, both sides merge through full-state comparisons with hosts
// that they consider dead.
func TestHealedPartitionMerges(t *testing.T) {
	m := newNetwork(6)
	for i := range 3 {
		for j := 3; j < 6; j++ {
			m.blocked[[2]int{i, j}], m.blocked[[2]int{j, i}] = true, true
		}
	}
	m.run(20 * time.Second)
	if m.lists[0].LiveCount() != 3 || m.lists[5].LiveCount() != 3 {
		t.Fatalf("want 3 live hosts on each side, got %d and %d", m.lists[0].LiveCount(), m.lists[5].LiveCount())
	}
	clear(m.blocked)
	for range 20 {
		m.run(time.Second)
		for i, l := range m.lists {
			for _, target := range l.SyncTargets(m.now, nil) {
				m.compare(i, target)
			}
		}
	}
	for i, l := range m.lists {
		if l.LiveCount() != 6 {
			t.Errorf("host %d counts %d live hosts after the partition, want 6", i, l.LiveCount())
		}
	}
}

func (m *network) compare(from int, target string) {
	for to, other := range m.lists {
		if address(to) == target {
			other.Merge(m.now, m.lists[from].Members())
			m.lists[from].Merge(m.now, other.Members())
		}
	}
}

// A new host compares its state with several known hosts at once, and with one of them again soon
// after: when all hosts start together, the first answers contain few rows.
func TestNewHostRepeatsBootstrapSync(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	conf := membership.Config{Host: "h0", Address: "10.0.0.1:1", DataCentre: "dc", ProbeInterval: time.Second, ProbeTimeout: time.Second / 2, GossipInterval: tick}
	l := membership.New(conf, delegate{&network{}}, gossip.NewQueue(), start)
	known := []string{"10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"}
	if first := l.SyncTargets(start, known); len(first) != len(known) {
		t.Fatalf("first comparisons are with %v, want all of %v", first, known)
	}
	for i, addr := range known {
		l.Merge(start, []*peerpb.Member{{Host: fmt.Sprint("h", i+1), Address: addr, DataCentre: "dc"}})
	}
	again := 0
	for age := tick; age < 2*time.Second; age += tick {
		again += len(l.SyncTargets(start.Add(age), known))
	}
	if again < 4 || again > 8 {
		t.Errorf("%d comparisons in the next 2 s, want 4 to 8", again)
	}
}
