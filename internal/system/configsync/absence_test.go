package configsync_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/system/configsync"
	"github.com/pearshelf/pearshelf/internal/world"
)

// deliverBackends delivers a list of registered backend servers. grace is the
// remaining time for which registrations may be missing after an outage.
func (h *testHost) deliverBackends(revision uint64, grace time.Duration, ids ...string) {
	var rows []string
	for i, id := range ids {
		rows = append(rows, fmt.Sprintf(`{"service":"s","id":%q,"address":"10.0.0.1:%d","slots":1}`, id, 1000+i))
	}
	configsync.Accept(h.world, h.now, world.KeyDiscovered, revision, []byte(fmt.Sprintf(`{"absence_grace":%q,"backends":[%s]}`, grace, strings.Join(rows, ","))))
}

func (h *testHost) uses(id string) bool {
	return h.world.Services["s"].Backend(id) != nil
}

func newDiscoveringHost(t *testing.T) *testHost {
	h := newTestHost("h1")
	h.run(time.Second, heartbeats(0))
	configsync.Accept(h.world, h.now, "services/a", 1, []byte(`{"services":[{"name":"s"}]}`))
	h.deliverBackends(1, 0, "b1", "b2")
	if !h.uses("b1") || !h.uses("b2") {
		t.Fatal("registered backend servers are not in use")
	}
	return h
}

// A server whose registration is removed while the platform is reachable is
// removed immediately.
func TestDeregisteredServerIsRemoved(t *testing.T) {
	h := newDiscoveringHost(t)
	h.deliverBackends(2, 0, "b1")
	if h.uses("b2") {
		t.Fatal("b2 is still in use after its registration was removed")
	}
}

// platformAway simulates an outage of the platform: a reader sends heartbeats but
// gets no answers.
func (h *testHost) platformAway(d time.Duration) {
	since := h.now
	h.run(d, func() *peerpb.Datagram { return heartbeats(h.now.Sub(since))() })
}

// Registrations lapse during an outage of the platform. A server that is missing
// right after the outage remains in use for the grace period of 2 s, and longer
// if it registers again.
func TestLapsedServersAreKeptForGracePeriod(t *testing.T) {
	h := newDiscoveringHost(t)
	h.platformAway(3 * time.Second)
	h.deliverBackends(2, 2*time.Second) // both registrations have lapsed
	if !h.uses("b1") || !h.uses("b2") {
		t.Fatal("servers whose registrations lapsed during the outage are removed immediately")
	}
	h.run(time.Second, heartbeats(0))
	h.deliverBackends(3, time.Second, "b1")
	h.run(1500*time.Millisecond, heartbeats(0))
	if !h.uses("b1") {
		t.Error("b1 registered again and is not in use")
	}
	if h.uses("b2") {
		t.Error("b2 is in use without a registration 2.5 s after the end of the outage")
	}
}

// A reader that alone was cut off from the platform delivers a list without one of the servers.
// The platform answered other hosts all the time, so no registration has lapsed and the server
// must be removed immediately. Guards against applying the reader's grace period, which kept
// sending requests to the server for another 2.2 s.
func TestServerRemovedWhileOneReaderWasCutOff(t *testing.T) {
	h := newDiscoveringHost(t)
	h.run(10*time.Second, heartbeats(0))
	h.deliverBackends(2, 2200*time.Millisecond, "b1")
	if h.uses("b2") {
		t.Fatal("b2 is in use after its registration was removed while the platform answered other hosts")
	}
}

// The first platform answer after an outage is reported before the first list arrives. The
// servers whose registrations lapsed must still be kept.
func TestLapsedServersAreKeptIfRecoveryIsReportedFirst(t *testing.T) {
	h := newDiscoveringHost(t)
	h.platformAway(4 * time.Second)
	h.run(300*time.Millisecond, heartbeats(0))
	h.deliverBackends(2, 2*time.Second)
	if !h.uses("b1") || !h.uses("b2") {
		t.Fatal("servers whose registrations lapsed during the outage are removed immediately")
	}
}

// Servers that a host keeps for the grace period are not part of the list that it passes on.
func TestRetainedServersAreNotPassedOn(t *testing.T) {
	h := newDiscoveringHost(t)
	h.deliverBackends(2, 2*time.Second, "b1")
	if raw := string(h.world.Document(world.KeyDiscovered).Raw); strings.Contains(raw, "b2") {
		t.Fatalf("document %s lists a server that is not registered at the platform", raw)
	}
}

// A list with a grace period, from a reader that was cut off, does not restore a
// server that has already been removed.
func TestGracePeriodDoesNotRestoreRemovedServer(t *testing.T) {
	h := newDiscoveringHost(t)
	h.deliverBackends(2, 0, "b1")
	h.deliverBackends(3, 2*time.Second, "b1")
	if h.uses("b2") {
		t.Fatal("b2 is in use again after its removal")
	}
}
