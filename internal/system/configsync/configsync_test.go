package configsync_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/hlc"
	"github.com/pearshelf/pearshelf/internal/system/configsync"
	"github.com/pearshelf/pearshelf/internal/world"
)

var epoch = time.Unix(1_700_000_000, 0)

// deliver delivers a revision of a document. Every fifth revision is invalid.
func deliver(t *rapid.T, w *world.World, revision uint64) {
	raw := fmt.Sprintf("services:\n- name: s\n  floor: 0\n  queue: %d\n", revision)
	if revision%5 == 0 {
		raw = "services:\n- nam: s\n"
	}
	configsync.Accept(w, epoch, "services/a", revision, []byte(raw))
}

// Valid and invalid revisions arrive in any order; the applied one never decreases.
func TestRevisionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := world.New(world.Identity{Host: "h"}, &hlc.Clock{}, epoch)
		highest, queue := uint64(0), 0
		for _, revision := range rapid.SliceOfN(rapid.Uint64Range(1, 60), 1, 40).Draw(t, "revisions") {
			deliver(t, w, revision)
			if revision%5 != 0 && revision > highest {
				highest = revision
			}
			if got := w.Document("services/a").Revision; got != highest {
				t.Fatalf("revision %d is applied, want %d", got, highest)
			}
			if svc, ok := w.Services["s"]; ok {
				if svc.Config.Queue < queue {
					t.Fatalf("applied content went back from revision %d to %d", queue, svc.Config.Queue)
				}
				queue = svc.Config.Queue
			}
		}
	})
}

// A restarted host is still announced as the holder of a document that it has
// lost, and must fetch it from other hosts.
func TestLostDocumentIsFetchedFromOtherHosts(t *testing.T) {
	w := world.New(world.Identity{Host: "h1", DataCentre: "dc1"}, &hlc.Clock{}, epoch)
	for _, name := range []string{"h1", "h2", "h3"} {
		w.Hosts[name] = &world.Host{Name: name, Address: name + ":1", DataCentre: "dc1"}
	}
	w.Readers = []string{"h1", "h2"}
	w.Settled = true
	value, err := proto.Marshal(&peerpb.Head{Key: "services/a", Revision: 9, Holder: "h1"})
	if err != nil {
		t.Fatal(err)
	}
	w.Registers.Merge(epoch, &peerpb.Register{
		Key: configsync.HeadKey("services/a"), Value: value, Stamp: &peerpb.Stamp{Revision: 9, Host: "h1"},
	})
	system := configsync.New(epoch, configsync.Config{Seed: 1, DirectAfter: configsync.DirectAfter, DirectSpread: configsync.DirectSpread})
	asked := make(map[string]bool)
	for now := epoch; now.Before(epoch.Add(10 * time.Second)); now = now.Add(configsync.FetchRetry) {
		system.Run(w, now)
		for _, fetch := range w.Outbox.Take().Fetches {
			for _, address := range fetch.Peers {
				asked[address] = true
			}
		}
	}
	if !asked["h2:1"] || !asked["h3:1"] || asked["h1:1"] {
		t.Fatalf("asked %v, want exactly the two other hosts", asked)
	}
}

// polls returns the platform calls per hour of a fleet of n hosts, extrapolated
// from those of one non-reader.
func polls(n int) float64 {
	w := world.New(world.Identity{Host: "h0", DataCentre: "dc1"}, &hlc.Clock{}, epoch)
	w.Index = &config.Index{}
	w.Readers = []string{"h1", "h2"}
	for i := range n {
		name := fmt.Sprintf("h%d", i)
		w.Hosts[name] = &world.Host{Name: name, DataCentre: "dc1"}
	}
	system := configsync.New(epoch, configsync.Config{Seed: 1, DirectAfter: configsync.DirectAfter, DirectSpread: configsync.DirectSpread})
	calls := 0
	const hours = 200
	for now := epoch; now.Before(epoch.Add(hours * time.Hour)); now = now.Add(30 * time.Second) {
		system.Run(w, now)
		calls += len(w.Outbox.Take().Fetches)
	}
	return float64(n*calls) / hours
}

func TestPlatformCallsDoNotGrowWithTheFleet(t *testing.T) {
	small, large := polls(40), polls(1100)
	if large > 1.5*small {
		t.Fatalf("%.0f platform calls per hour from 1,100 hosts, %.0f from 40", large, small)
	}
}

// A host that holds one of two required documents requests only the other from
// the platform, and at most about once per second, since a whole fleet may start
// before its first configuration is published.
func TestOnlyMissingDocumentsAreRequested(t *testing.T) {
	w := world.New(world.Identity{Host: "h0", DataCentre: "dc1"}, &hlc.Clock{}, epoch)
	w.Required = []string{"held", "missing"}
	w.Polled = w.Required
	w.Document("held").Revision = 1
	system := configsync.New(epoch, configsync.Config{Seed: 1, DirectAfter: time.Millisecond, DirectSpread: time.Millisecond})
	asked := make(map[string]int)
	for now := epoch; now.Before(epoch.Add(5 * time.Second)); now = now.Add(tick) {
		system.Run(w, now)
		for _, f := range w.Outbox.Take().Fetches {
			asked[f.Key]++
		}
	}
	if asked["held"] > 0 || asked["missing"] < 3 || asked["missing"] > 6 {
		t.Errorf("requests in 5 s: %v, want about 5 for the missing document and no others", asked)
	}
}
