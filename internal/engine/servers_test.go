package engine_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/engine"
	"github.com/pearshelf/pearshelf/internal/hlc"
	"github.com/pearshelf/pearshelf/internal/membership"
	"github.com/pearshelf/pearshelf/internal/world"
)

// directHost is a host that picks backend servers itself instead of forwarding to owners.
type directHost struct {
	*engine.Engine
	t       testing.TB
	fetches fetchCollector
}

// fetchCollector records the fetches requested by ticks.
type fetchCollector struct {
	noEffects
	fetches []world.Fetch
}

func (f *fetchCollector) Fetch(fetch world.Fetch) { f.fetches = append(f.fetches, fetch) }

// otherHosts is the number of other hosts that a directHost knows.
const otherHosts = 99

// newDirectHost returns a host that knows registered servers in three data centres.
func newDirectHost(t testing.TB, servers int) *directHost {
	t.Helper()
	return newDirectHostWith(t, servers, func() time.Duration { return 0 })
}

// newDirectHostWith is newDirectHost on a machine that has been suspended for the given time.
func newDirectHostWith(t testing.TB, servers int, suspended func() time.Duration) *directHost {
	t.Helper()
	h := &directHost{t: t}
	h.Engine = engine.New(engine.Config{
		Self:              world.Identity{Host: "h1", Address: "10.0.0.1:1", DataCentre: "dc1"},
		Tick:              100 * time.Millisecond,
		Freshness:         time.Second,
		Membership:        membership.Config{Host: "h1", Address: "10.0.0.1:1", DataCentre: "dc1", ProbeInterval: time.Second, ProbeTimeout: 400 * time.Millisecond, GossipInterval: 100 * time.Millisecond},
		RequiredDocuments: []string{world.KeyPublished, world.KeyDiscovered},
		Suspended:         suspended,
	}, &hlc.Clock{}, &h.fetches, epoch)
	var others []*peerpb.Member
	for n := range otherHosts {
		others = append(others, &peerpb.Member{Host: fmt.Sprint("other", n), Address: fmt.Sprintf("10.9.0.%d:1", n+1), DataCentre: "dc1", Incarnation: 1})
	}
	h.Merge(epoch, others, nil, 0)
	h.HandleDocument(epoch, world.KeyPublished, 1, []byte(`{"services":[{"name":"shop"}]}`))
	list := &config.Discovered{}
	for n := range servers {
		list.Backends = append(list.Backends, registered(n, 1))
	}
	h.deliver(1, list)
	return h
}

func registered(n int, started int64) config.DiscoveredBackend {
	return config.DiscoveredBackend{Service: "shop", Backend: config.Backend{
		ID:         fmt.Sprintf("i-%06x", n),
		Address:    fmt.Sprintf("10.%d.%d.%d:80", n%3, n/250, n%250),
		DataCentre: fmt.Sprint("dc", 1+n%3),
		Slots:      3,
		Started:    started,
	}}
}

// deliver passes a server list to the host, runs a tick and checks that the list is in force.
func (h *directHost) deliver(revision uint64, list *config.Discovered) {
	h.t.Helper()
	h.document(revision, list)
	if held := h.Snapshot().Revisions[world.KeyDiscovered]; held != revision {
		h.t.Fatalf("revision %d is in force, want %d", held, revision)
	}
}

func (h *directHost) document(revision uint64, list *config.Discovered) {
	h.t.Helper()
	raw, err := json.Marshal(list)
	if err != nil {
		h.t.Fatal(err)
	}
	h.HandleDocument(epoch, world.KeyDiscovered, revision, raw)
	h.Step(epoch)
}

// dataCentres returns the data centres that have servers in rotation, comma-separated.
func (h *directHost) dataCentres() string {
	found := make(map[string]bool)
	for _, b := range h.Snapshot().Services["shop"].Backends {
		found[b.DataCentre] = true
	}
	var names []string
	for n := range 3 {
		if name := fmt.Sprint("dc", n+1); found[name] {
			names = append(names, name)
		}
	}
	return strings.Join(names, ",")
}

// Servers of an evacuated data centre must stay out of rotation until the evacuation ends,
// whatever else changes in the meantime.
func TestEvacuatedServersAreOutOfRotation(t *testing.T) {
	h := newDirectHost(t, 9)
	steps := []struct {
		list *config.Discovered
		want string
	}{
		{&config.Discovered{Base: 1, Evacuated: []string{"dc2"}}, "dc1,dc3"},
		{&config.Discovered{Base: 2, Evacuated: []string{"dc2", "dc2"}, Backends: []config.DiscoveredBackend{registered(1, 2)}}, "dc1,dc3"},
		{&config.Discovered{Base: 3, Evacuated: []string{"nowhere", "dc2"}}, "dc1,dc3"},
		{&config.Discovered{Base: 4, Evacuated: []string{"dc1", "dc2", "dc3"}}, ""},
		{&config.Discovered{Base: 5, Evacuated: []string{"dc3"}}, "dc1,dc2"},
		{&config.Discovered{Base: 6}, "dc1,dc2,dc3"},
	}
	for i, step := range steps {
		h.deliver(uint64(i+2), step.list)
		if got := h.dataCentres(); got != step.want {
			t.Errorf("step %d: servers of %q get requests, want %q", i, got, step.want)
		}
	}
}

// A host that cannot apply a change requests the complete list, continues with the servers that
// it has, and accepts the complete list even under the revision that it already holds.
func TestWholeListIsRequested(t *testing.T) {
	h := newDirectHost(t, 9)
	h.document(6, &config.Discovered{Base: 5, Removed: []string{registered(1, 1).ID}})
	fetches := h.fetches.fetches
	if len(fetches) != 1 || fetches[0].Key != world.KeyDiscovered || fetches[0].After != 0 {
		t.Fatalf("fetches %+v, want one of the complete list", fetches)
	}
	if n := len(h.Snapshot().Services["shop"].Backends); n != 9 {
		t.Errorf("%d servers in use before the complete list arrived, want 9", n)
	}
	h.deliver(1, &config.Discovered{Backends: []config.DiscoveredBackend{registered(0, 1)}})
	if n := len(h.Snapshot().Services["shop"].Backends); n != 1 {
		t.Errorf("%d servers after the complete list, want 1", n)
	}
}

// BenchmarkServerChange measures how a host applies the change of one server, from the
// document to the published view.
func BenchmarkServerChange(b *testing.B) {
	for _, servers := range []int{600, 6000, 14000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			h := newDirectHost(b, servers)
			b.ReportAllocs()
			for revision := uint64(1); b.Loop(); revision++ {
				n := int(revision) % servers
				h.deliver(revision+1, &config.Discovered{Base: revision, Backends: []config.DiscoveredBackend{registered(n, int64(revision+1))}})
			}
		})
	}
}

// A server has a join time on a host only if it joined a service that the host already knew, not
// if it was in the host's first list or entered the host's subset.
func TestOnlyJoinedServersHaveJoinTime(t *testing.T) {
	h := newDirectHost(t, 9)
	h.deliver(2, &config.Discovered{Base: 1, Backends: []config.DiscoveredBackend{registered(9, 1)}})
	for _, b := range h.Snapshot().Services["shop"].Backends {
		if isNew := !b.JoinedAt.IsZero(); isNew != (b.ID == registered(9, 1).ID) {
			t.Errorf("server %s has join time %v, want one only for the server added later", b.ID, b.JoinedAt)
		}
	}
}
