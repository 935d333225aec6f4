package loops

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/world"
)

func newFleet(hosts int, seed uint64) *Fleet {
	return New(Config{
		Hosts: hosts, DataCentres: 5, Near: 200 * time.Microsecond, Far: 1400 * time.Microsecond,
		StartWithin: 300 * time.Millisecond, Loss: 0.002, Seed: seed,
		Documents: map[string][]byte{"services/published": []byte("services: []\n"), "backends": []byte("backends: []\n")},
	})
}

const step = 100 * time.Millisecond

// agree fails the test unless all running hosts know each other in time.
func agree(t *testing.T, f *Fleet, what string, limit time.Duration) {
	t.Helper()
	begin := f.Now()
	if !f.RunUntil(limit, step, f.Agreed) {
		t.Fatalf("%s: hosts do not agree within %s", what, limit)
	}
	t.Logf("%s: %d hosts agree after %s", what, len(f.Hosts()), f.Now()-begin)
}

// Hundreds of hosts that start at once know each other and have a configuration within
// seconds, and what that costs each does not grow faster than the hosts.
func TestAllStartAtOnce(t *testing.T) {
	perHost := make(map[int]float64)
	for _, hosts := range []int{60, 240} {
		f := newFleet(hosts, 1)
		agree(t, f, "start", 2500*time.Millisecond)
		f.Run(time.Second)
		if ready := f.Ready(); ready != hosts {
			t.Errorf("%d of %d hosts are ready", ready, hosts)
		}
		f.Run(6 * time.Second)
		perHost[hosts] = float64(f.Sent().Bytes) / float64(hosts)
		t.Logf("%d hosts: %.0f bytes each, %d reads of the platform", hosts, perHost[hosts], f.Fetches)
	}
	if perHost[240] > 1.5*4*perHost[60] {
		t.Errorf("the start costs a host %.0f bytes at 60 hosts and %.0f at 240", perHost[60], perHost[240])
	}
}

// A fleet at rest sends the same a host whatever its size.
func TestRestDoesNotGrow(t *testing.T) {
	rest := make(map[int]float64)
	for _, hosts := range []int{60, 240} {
		f := newFleet(hosts, 2)
		agree(t, f, "start", 2500*time.Millisecond)
		f.Run(15 * time.Second)
		before := f.Sent()
		f.Run(20 * time.Second)
		rest[hosts] = float64(f.Sent().Bytes-before.Bytes) / 20 / float64(hosts)
	}
	t.Logf("bytes a host and second: %.0f and %.0f", rest[60], rest[240])
	if rest[240] > 1.5*rest[60] {
		t.Errorf("at rest a host sends %.0f bytes a second at 60 hosts and %.0f at 240", rest[60], rest[240])
	}
}

// All hosts lose power and start again.
func TestAllRestart(t *testing.T) {
	f := newFleet(200, 3)
	agree(t, f, "start", 2500*time.Millisecond)
	for _, h := range f.Hosts() {
		h.Stop()
	}
	f.Run(2 * time.Second)
	for _, h := range f.Hosts() {
		h.Start()
	}
	agree(t, f, "restart", 2500*time.Millisecond)
}

// A third of the hosts is stopped without notice and replaced.
func TestThirdReplaced(t *testing.T) {
	f := newFleet(200, 4)
	agree(t, f, "start", 2500*time.Millisecond)
	f.Run(5 * time.Second)
	third := f.Hosts()[len(f.Hosts())*2/3:]
	for _, h := range third {
		h.Stop()
	}
	f.Run(2 * time.Second)
	for _, h := range third {
		h.Start()
	}
	agree(t, f, "replaced", 3*time.Second)
}

// A data centre that is cut off is held for dead, serves on by itself, and is known
// again after the heal.
func TestDataCentreCut(t *testing.T) {
	f := newFleet(100, 5)
	agree(t, f, "start", 2500*time.Millisecond)
	f.Run(5 * time.Second)
	cut := func(is bool) {
		for _, h := range f.Hosts() {
			if h.DataCentre() == 4 {
				h.Cut = is
			}
		}
	}
	cut(true)
	f.Run(30 * time.Second)
	for _, h := range f.Hosts() {
		if h.DataCentre() != 4 && h.Snapshot().LiveHosts > 82 {
			t.Fatalf("a host holds %d for live while 20 of 100 are cut off", h.Snapshot().LiveHosts)
		}
	}
	cut(false)
	agree(t, f, "healed", 40*time.Second)
}

// restart stops all hosts and starts those that come back within 300 ms.
func restart(f *Fleet, comesBack func(h *Host) bool) (hosts int) {
	for _, h := range f.Hosts() {
		h.Stop()
	}
	f.Run(500 * time.Millisecond)
	for i, h := range f.Hosts() {
		if comesBack(h) {
			hosts++
			f.clock.After(time.Duration(i%7)*50*time.Millisecond, h.Start)
		}
	}
	return hosts
}

// All hosts are killed and start again within 0.3 s: they are ready 0.1 s later, and few
// of them ask the platform, whatever their number. Where the hosts that all know from
// their settings do not come back, others ask in their place.
func TestFewAskThePlatform(t *testing.T) {
	for _, hosts := range []int{36, 240} {
		for _, knownComeBack := range []bool{true, false} {
			f := newFleet(hosts, 6)
			agree(t, f, "start", 2500*time.Millisecond)
			back := restart(f, func(h *Host) bool { return knownComeBack || h.number >= seeds })
			before, begin := f.Fetches, f.Now()
			f.RunUntil(2*time.Second, 10*time.Millisecond, func() bool { return f.Ready() == back })
			took, reads := f.Now()-begin, f.Fetches-before
			t.Logf("%d hosts, known ones back %v: %d ready after %s, %d reads", hosts, knownComeBack, f.Ready(), took, reads)
			limit := 450 * time.Millisecond
			if !knownComeBack {
				limit = 900 * time.Millisecond
			}
			if took > limit {
				t.Errorf("%d hosts, known ones back %v: %d of %d ready after %s", hosts, knownComeBack, f.Ready(), back, took)
			}
			if knownComeBack && reads > 12 {
				t.Errorf("%d hosts: %d reads of the platform", hosts, reads)
			}
		}
	}
}

// A configuration is in force soon on all hosts that are neither slow nor cut off, while
// the platform turns a third of the hosts away and one in eight is so slow that it hardly
// answers: among these are hosts on the way to others, and soon the host that announced
// the revision.
func TestConfigurationDespiteSlowHosts(t *testing.T) {
	const hardlyAnswers = 5 * time.Second
	for seed := range uint64(3) {
		f := newFleet(240, 10+seed)
		agree(t, f, "start", 2500*time.Millisecond)
		f.Run(5 * time.Second)
		for _, h := range f.Hosts() {
			h.TurnedAway = f.random.Float64() < 0.35
			if f.random.Float64() < 0.12 {
				h.Slow = hardlyAnswers
			}
		}
		f.Run(5 * time.Second)
		revision := f.Publish(world.KeyPublished, []byte("services: []\nroutes: []\n"))
		f.Run(40 * time.Millisecond)
		for _, h := range f.Hosts() {
			if h.reading {
				h.Slow = hardlyAnswers
			}
		}
		lacking := func() (count int) {
			for _, h := range f.Hosts() {
				if h.Slow == 0 && h.Snapshot().Revisions[world.KeyPublished] < revision {
					count++
				}
			}
			return count
		}
		begin := f.Now()
		f.RunUntil(10*time.Second, step, func() bool { return lacking() == 0 })
		took := f.Now() - begin
		t.Logf("seed %d: in force after %s", seed, took)
		if took > 900*time.Millisecond {
			t.Errorf("seed %d: in force on all sound hosts after %s", seed, took)
		}
	}
}

// manyServers is a list of backend servers of which one is marked by n.
func manyServers(servers, n int) []byte {
	var list strings.Builder
	list.WriteString(`{"backends":[`)
	for i := range servers {
		if i > 0 {
			list.WriteByte(',')
		}
		slots := 3
		if i == n%servers {
			slots = 4
		}
		fmt.Fprintf(&list, `{"service":"shop","id":"i-%010d","address":"10.1.%d.%d:8080","data_centre":"dc%d","slots":%d}`, i, i/250, i%250+1, i%3, slots)
	}
	list.WriteString("]}")
	return []byte(list.String())
}

// While servers register or change, ten times a second, their list goes through each data
// centre by itself: what goes between data centres does not grow faster than the hosts. With
// ten servers a host and three seconds of changes a host sent 0.05 lists to other data
// centres among 60 hosts and 0.04 among 300; within its own, 13 and 14.
func TestChangesOfServersStayInTheirDataCentre(t *testing.T) {
	first := 0.0
	for _, hosts := range []int{60, 120} {
		f := newFleet(hosts, 7)
		f.documents[world.KeyDiscovered] = document{revision: 1, raw: manyServers(2*hosts, 0)}
		agree(t, f, "start", 2500*time.Millisecond)
		f.Run(3 * time.Second)
		before := f.Sent()
		const changes = 10
		for n := range changes {
			f.Publish(world.KeyDiscovered, manyServers(2*hosts, n))
			f.Run(100 * time.Millisecond)
		}
		revision, begin := f.documents[world.KeyDiscovered].revision, f.Now()
		f.RunUntil(10*time.Second, step, func() bool { return lackingServers(f, revision) == 0 })
		after := f.Sent()
		far := float64(after.FarBytes-before.FarBytes) / float64(hosts)
		all := float64(after.Bytes-before.Bytes) / float64(hosts)
		document := float64(len(f.documents[world.KeyDiscovered].raw))
		t.Logf("%d hosts: the last in force after %s; a host sent %.0f kB, %.1f lists, of it %.1f kB, %.2f lists, between data centres", hosts, f.Now()-begin, all/1000, all/document, far/1000, far/document)
		if first == 0 {
			first = far / document
		}
		if far/document > 1.5*first {
			t.Errorf("%d hosts: %.2f lists a host between data centres, %.2f with fewer", hosts, far/document, first)
		}
	}
}

// lackingServers counts the hosts without the newest list.
func lackingServers(f *Fleet, revision uint64) (count int) {
	for _, h := range f.Hosts() {
		if h.Snapshot().Revisions[world.KeyDiscovered] < revision {
			count++
		}
	}
	return count
}

// With ten servers a host, a change of one server costs a host the same bytes whatever the size of
// the fleet: hosts pass on what changed, not the list.
func TestBytesOfAChangeDoNotGrow(t *testing.T) {
	perChange := make(map[int]float64)
	for _, hosts := range []int{60, 300} {
		f := newFleet(hosts, 8)
		servers := 10 * hosts
		f.documents[world.KeyDiscovered] = document{revision: 1, raw: manyServers(servers, 0)}
		agree(t, f, "start", 2500*time.Millisecond)
		f.Run(10 * time.Second)
		const changes, pause = 10, 400 * time.Millisecond
		atRest := f.Sent().Bytes
		f.Run(changes * pause)
		before, reads := f.Sent().Bytes, f.Fetches
		for n := range changes {
			f.Publish(world.KeyDiscovered, manyServers(servers, n))
			f.Run(pause)
		}
		if lacking := lackingServers(f, f.documents[world.KeyDiscovered].revision); lacking > 0 {
			t.Errorf("%d of %d hosts lack the last change %s later", lacking, hosts, pause)
		}
		if more := f.Fetches - reads; more > 0 {
			t.Errorf("%d hosts: %d reads of the platform beside the readers' watches", hosts, more)
		}
		extra := (f.Sent().Bytes - before) - (before - atRest)
		perChange[hosts] = float64(extra) / changes / float64(hosts)
	}
	t.Logf("bytes a host and change: %.0f among 60 hosts, %.0f among 300", perChange[60], perChange[300])
	if perChange[300] > 1.5*perChange[60] {
		t.Errorf("a change costs a host %.0f bytes among 60 hosts and %.0f among 300", perChange[60], perChange[300])
	}
}

// All hosts are killed and start again, and the list of servers takes seconds to be read from the
// platform. Each host read it for itself, again each second, when it had not come from others two
// seconds after the start; with thousands of servers none came to its end.
func TestFewReadALongList(t *testing.T) {
	for _, hosts := range []int{60, 240} {
		f := newFleet(hosts, 11)
		f.conf.ListTakes = 5 * time.Second
		agree(t, f, "start", 2500*time.Millisecond)
		f.Run(8 * time.Second)
		back := restart(f, func(*Host) bool { return true })
		before, begin := f.Fetches, f.Now()
		f.RunUntil(12*time.Second, 50*time.Millisecond, func() bool { return f.Ready() == back })
		took, reads := f.Now()-begin, f.Fetches-before
		t.Logf("%d of %d hosts ready after %s, %d reads", f.Ready(), back, took, reads)
		if f.Ready() < back || reads > 40 {
			t.Errorf("%d of %d hosts ready after %s, %d reads of the platform", f.Ready(), back, took, reads)
		}
	}
}
