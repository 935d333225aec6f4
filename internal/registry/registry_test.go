package registry_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/registry"
)

var now = time.Unix(1_796_000_000, 0)

func server(n int) config.DiscoveredBackend {
	return config.DiscoveredBackend{Service: "shop", Backend: config.Backend{
		ID:         fmt.Sprintf("i-%06x", n),
		Address:    fmt.Sprintf("10.0.%d.%d:80", n/250, n%250),
		DataCentre: "dc1",
		Slots:      3,
		Started:    int64(n),
	}}
}

func servers(count int) []config.DiscoveredBackend {
	list := make([]config.DiscoveredBackend, 0, count)
	for n := range count {
		list = append(list, server(n))
	}
	return list
}

func mustApply(t testing.TB, table *registry.Table, revision uint64, list *config.Discovered) {
	t.Helper()
	if _, err := table.Apply(now, revision, list); err != nil {
		t.Fatal(err)
	}
}

func newTable(t testing.TB, count int) *registry.Table {
	t.Helper()
	table := registry.New()
	mustApply(t, table, 10, &config.Discovered{Backends: servers(count)})
	return table
}

// Hosts that miss deltas or receive them twice, late or from other hosts converge on the
// source's list through deltas alone.
func TestDeltasConverge(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		source := newTable(t, 100)
		hosts := []*registry.Table{newTable(t, 100), newTable(t, 100), newTable(t, 100)}
		for revision := uint64(11); revision < 60; revision++ {
			change := &config.Discovered{Base: source.Revision()}
			for range 1 + random.IntN(3) {
				n := random.IntN(120)
				if one := server(n); source.Has(one.ID) && random.IntN(2) == 0 {
					change.Removed = append(change.Removed, one.ID)
				} else {
					one.Leaving = random.IntN(3) == 0
					change.Backends = append(change.Backends, one)
				}
			}
			mustApply(t, source, revision, change)
			host := hosts[random.IntN(len(hosts))]
			from := append(slices.Clone(hosts), source)[random.IntN(len(hosts)+1)]
			if from.Revision() >= host.Revision() {
				mustApply(t, host, from.Revision(), from.Since(now, host.Revision()))
			}
		}
		want, err := json.Marshal(source.Since(now, 0))
		if err != nil {
			t.Fatal(err)
		}
		for i, host := range hosts {
			mustApply(t, host, source.Revision(), source.Since(now, host.Revision()))
			got, err := json.Marshal(host.Since(now, 0))
			if err != nil || string(got) != string(want) {
				t.Fatalf("seed %d: list of host %d differs from the source's, %v", seed, i, err)
			}
		}
	}
}

// A delta whose base revision is newer than the table is rejected and changes nothing.
func TestGapIsReported(t *testing.T) {
	table := newTable(t, 3)
	_, err := table.Apply(now, 20, &config.Discovered{Base: 15, Removed: []string{server(0).ID}})
	var gap registry.GapError
	if !errors.As(err, &gap) || table.Len() != 3 || table.Revision() != 10 {
		t.Errorf("got error %v and %d servers at revision %d, want a GapError and 3 servers at revision 10", err, table.Len(), table.Revision())
	}
}

// A host whose list differs from the sender's detects it with the next delta.
func TestDigestMismatchIsReported(t *testing.T) {
	source, host := newTable(t, 5), newTable(t, 4)
	mustApply(t, source, 11, &config.Discovered{Base: 10, Removed: []string{server(1).ID}})
	_, err := host.Apply(now, 11, source.Since(now, 10))
	var mismatch registry.DigestError
	if !errors.As(err, &mismatch) {
		t.Fatalf("got error %v, want a DigestError", err)
	}
	mustApply(t, host, 11, source.Since(now, 0))
	if host.Len() != source.Len() {
		t.Errorf("%d servers after the full list, want %d", host.Len(), source.Len())
	}
}

// A host whose revision is older than the history gets the full list.
func TestRevisionBeforeHistoryGetsFullList(t *testing.T) {
	source := newTable(t, 10)
	for revision := uint64(11); revision < 6000; revision++ {
		one := server(int(revision) % 10)
		one.Started = int64(revision)
		mustApply(t, source, revision, &config.Discovered{Base: revision - 1, Backends: []config.DiscoveredBackend{one}})
	}
	if list := source.Since(now, 10); list.Base != 0 || len(list.Backends) != 10 {
		t.Errorf("delta from revision %d with %d servers, want the full list", list.Base, len(list.Backends))
	}
	if list := source.Since(now, 5990); list.Base != 5990 {
		t.Errorf("full list for a host that lacks nine changes, want a delta")
	}
}

// The remaining warm-up of a server runs down before the list is passed on, and a server that
// becomes cold again counts as changed.
func TestWarmupRunsDown(t *testing.T) {
	table := registry.New()
	cold := server(1)
	cold.Warmup = config.Duration(3 * time.Second)
	mustApply(t, table, 5, &config.Discovered{Backends: []config.DiscoveredBackend{cold}})
	later := now.Add(2 * time.Second)
	if left := time.Duration(table.Since(later, 0).Backends[0].Warmup); left != time.Second {
		t.Errorf("%s of warm-up left after 2 s, want 1s", left)
	}
	if left := time.Duration(table.Since(later.Add(time.Minute), 0).Backends[0].Warmup); left != 0 {
		t.Errorf("%s of warm-up left a minute later, want none", left)
	}
	running := cold
	running.Warmup = config.Duration(time.Second)
	if table.Differs(later, &running) || !table.Differs(later, &cold) {
		t.Error("a warm-up that runs down counts as a change, or a server that became cold again does not")
	}
}

// The delta for one changed server has the same size among 60 servers and among 6,000.
func TestDeltaBytesAreIndependentOfListSize(t *testing.T) {
	size := func(count int) int {
		table := newTable(t, count)
		one := server(7)
		one.Leaving = true
		mustApply(t, table, 11, &config.Discovered{Base: 10, Backends: []config.DiscoveredBackend{one}})
		raw, err := json.Marshal(table.Since(now, 10))
		if err != nil {
			t.Fatal(err)
		}
		return len(raw)
	}
	small, large := size(60), size(6000)
	if large > small*3/2 {
		t.Errorf("delta has %d bytes among 6,000 servers, %d among 60", large, small)
	}
}

// BenchmarkDelta applies a delta of one server and produces one for the next host.
func BenchmarkDelta(b *testing.B) {
	for _, count := range []int{600, 6000, 14000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			table := newTable(b, count)
			b.ReportAllocs()
			revision := table.Revision()
			for b.Loop() {
				one := server(int(revision) % count)
				one.Started = int64(revision)
				mustApply(b, table, revision+1, &config.Discovered{Base: revision, Backends: []config.DiscoveredBackend{one}})
				if list := table.Since(now, revision); len(list.Backends) != 1 {
					b.Fatal("delta does not name exactly one server")
				}
				revision++
			}
		})
	}
}
