package engine_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/engine"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/hlc"
	"github.com/pearshelf/pearshelf/internal/membership"
	"github.com/pearshelf/pearshelf/internal/system/configsync"
	"github.com/pearshelf/pearshelf/internal/world"
)

var epoch = time.Unix(1_700_000_000, 0)

// noEffects implements engine.Effects and does nothing.
type noEffects struct{}

func (noEffects) Send([]membership.Packet)           {}
func (noEffects) Fetch(world.Fetch)                  {}
func (noEffects) Probe(world.Probe)                  {}
func (noEffects) SyncWith(string)                    {}
func (noEffects) Event(event.Event)                  {}
func (noEffects) SetReading(bool)                    {}
func (noEffects) StopRequested()                     {}
func (noEffects) Ticked(time.Duration, *world.World) {}

func newEngine() *engine.Engine { return newEngineWith(nil) }

func newEngineWith(suspended func() time.Duration) *engine.Engine {
	return newEngineWithEffects(suspended, noEffects{})
}

func newEngineWithEffects(suspended func() time.Duration, effects engine.Effects) *engine.Engine {
	return engine.New(engine.Config{
		Suspended: suspended,
		Self:      world.Identity{Host: "h1", Address: "10.0.0.1:1", DataCentre: "dc1"},
		Tick:      100 * time.Millisecond, Freshness: time.Second, Seeds: []string{"10.0.0.2:1"},
		Membership: membership.Config{Host: "h1", Address: "10.0.0.1:1", DataCentre: "dc1", ProbeInterval: time.Second, ProbeTimeout: 400 * time.Millisecond, GossipInterval: 100 * time.Millisecond},
	}, &hlc.Clock{}, effects, epoch)
}

// A new host that got an old revision from a stale platform must not become ready
// while its peers have announced a newer one.
func TestNotReadyBelowAnAnnouncedRevision(t *testing.T) {
	e := newEngine()
	head, err := proto.Marshal(&peerpb.Head{Key: "services/main", Revision: 9, Holder: "h2"})
	if err != nil {
		t.Fatal(err)
	}
	e.Merge(epoch, []*peerpb.Member{{Host: "h2", Address: "10.0.0.2:1", DataCentre: "dc1", Incarnation: 1}}, []*peerpb.Register{{
		Key: configsync.HeadKey("services/main"), Value: head, Stamp: &peerpb.Stamp{Revision: 9, Host: "h2"},
	}}, 0)
	e.MarkSynced()
	e.HandleDocument(epoch, world.KeyIndex, 2, []byte("shards: {main: 1}\n"))
	e.HandleDocument(epoch, "services/main", 1, []byte("services: []\n"))
	e.Step(epoch.Add(100 * time.Millisecond))
	if e.Ready() {
		t.Fatal("ready with revision 1 although revision 9 was announced")
	}
	e.HandleDocument(epoch, "services/main", 9, []byte("services: []\n"))
	e.Step(epoch.Add(200 * time.Millisecond))
	if !e.Ready() {
		t.Fatal("not ready with the announced revision")
	}
}

// After a pause of the process, the view must be stale until another host has confirmed the server
// list. A datagram does not: it may have been sent during the pause.
func TestPauseMakesTheViewStale(t *testing.T) {
	asked := &fetchCollector{}
	e := newEngineWithEffects(nil, asked)
	now := epoch
	step := func(d time.Duration) {
		now = now.Add(d)
		e.Step(now)
	}
	e.Merge(now, []*peerpb.Member{{Host: "h2", Address: "10.0.0.2:1", DataCentre: "dc1", Incarnation: 1}}, nil, 0)
	step(100 * time.Millisecond)
	if !e.Snapshot().FreshUntil.After(now) {
		t.Fatal("view is stale without a pause")
	}
	step(5 * time.Second)
	step(100 * time.Millisecond)
	if e.Snapshot().FreshUntil.After(now) {
		t.Fatal("view is fresh right after a pause")
	}
	e.Datagram(now.Add(time.Millisecond), "10.0.0.2:1", &peerpb.Datagram{From: "h2"})
	step(100 * time.Millisecond)
	if e.Snapshot().FreshUntil.After(now) {
		t.Fatal("view is fresh although no host has confirmed the server list")
	}
	e.DocumentConfirmed(now, asked.question(t, world.KeyIndex), 0)
	step(100 * time.Millisecond)
	if !e.Snapshot().FreshUntil.After(now) {
		t.Fatal("view is stale although the server list was confirmed")
	}
}

// While a machine is suspended the monotonic clock stands still, and the wall clock may be
// set back at the same time. Neither then shows the pause; only CLOCK_BOOTTIME does.
func TestSuspensionMakesTheViewStale(t *testing.T) {
	for _, suspension := range []time.Duration{3 * time.Second, time.Minute} {
		suspended := 5 * time.Hour
		asked := &fetchCollector{}
		e := newEngineWithEffects(func() time.Duration { return suspended }, asked)
		e.Merge(epoch, []*peerpb.Member{{Host: "h2", Address: "10.0.0.2:1", DataCentre: "dc1", Incarnation: 1}}, nil, 0)
		now := epoch.Add(100 * time.Millisecond)
		e.Step(now)
		if !e.Snapshot().Fresh(now, suspended) {
			t.Fatal("new view is stale")
		}
		suspended += suspension
		now = now.Add(100 * time.Millisecond)
		if e.Snapshot().Fresh(now, suspended) {
			t.Errorf("view from before a suspension of %s is fresh", suspension)
		}
		e.Step(now)
		if e.Snapshot().Fresh(now, suspended) {
			t.Errorf("view is fresh after a suspension of %s before the server list was confirmed", suspension)
		}
		later := now.Add(200 * time.Millisecond)
		e.Datagram(later, "10.0.0.2:1", &peerpb.Datagram{Kind: peerpb.Datagram_KIND_GOSSIP, From: "h2"})
		e.Step(later.Add(100 * time.Millisecond))
		if e.Snapshot().Fresh(later.Add(100*time.Millisecond), suspended) {
			t.Errorf("view is fresh after a suspension of %s although no host has confirmed the server list", suspension)
		}
		e.DocumentConfirmed(later.Add(100*time.Millisecond), asked.question(t, world.KeyIndex), 0)
		e.Step(later.Add(200 * time.Millisecond))
		if !e.Snapshot().Fresh(later.Add(300*time.Millisecond), suspended) {
			t.Errorf("view is stale after a suspension of %s although the server list was confirmed", suspension)
		}
	}
}
