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

// registered delivers the list of registered backend servers; grace is how much
// longer registrations may be missing after an outage.
func (h *standInHost) registered(revision uint64, grace time.Duration, ids ...string) {
	var rows []string
	for i, id := range ids {
		rows = append(rows, fmt.Sprintf(`{"service":"s","id":%q,"address":"10.0.0.1:%d","slots":1}`, id, 1000+i))
	}
	configsync.Accept(h.world, h.now, world.KeyDiscovered, revision, []byte(fmt.Sprintf(`{"absence_grace":%q,"backends":[%s]}`, grace, strings.Join(rows, ","))))
}

func (h *standInHost) uses(id string) bool {
	return h.world.Services["s"].Backend(id) != nil
}

func newDiscoveringHost(t *testing.T) *standInHost {
	h := newStandInHost("h1")
	h.run(time.Second, from(0))
	configsync.Accept(h.world, h.now, "services/a", 1, []byte(`{"services":[{"name":"s"}]}`))
	h.registered(1, 0, "b1", "b2")
	if !h.uses("b1") || !h.uses("b2") {
		t.Fatal("registered backend servers are not used")
	}
	return h
}

// A server whose registration is removed while the platform is in touch is gone
// at once.
func TestRemovedServerIsGone(t *testing.T) {
	h := newDiscoveringHost(t)
	h.registered(2, 0, "b1")
	if h.uses("b2") {
		t.Fatal("b2 is used after its registration was removed")
	}
}

// awayFor lets the platform be away: a reader is heard that gets no answers.
func (h *standInHost) awayFor(d time.Duration) {
	since := h.now
	h.run(d, func() *peerpb.Datagram { return from(h.now.Sub(since))() })
}

// Registrations lapse while the platform is away: a server that is missing just
// after its return is used on, until about 2 s are over; one that comes back
// stays.
func TestLapsedServersAreKeptForAWhile(t *testing.T) {
	h := newDiscoveringHost(t)
	h.awayFor(3 * time.Second)
	h.registered(2, 2*time.Second) // both registrations have lapsed
	if !h.uses("b1") || !h.uses("b2") {
		t.Fatal("servers whose registrations lapsed with the platform are dropped at once")
	}
	h.run(time.Second, from(0))
	h.registered(3, time.Second, "b1")
	h.run(1500*time.Millisecond, from(0))
	if !h.uses("b1") {
		t.Error("b1 came back and is not used")
	}
	if h.uses("b2") {
		t.Error("b2 is used 2.5 s after the platform's return without a registration")
	}
}

// A reader that was cut off from the platform by itself comes back and lists one server less. Others
// have had answers of the platform all the time: no registration has lapsed, and the server is
// gone. It got requests for 2.2 s more, later than it must.
func TestServerRemovedWhileOneReaderWasCutOffIsGone(t *testing.T) {
	h := newDiscoveringHost(t)
	h.run(10*time.Second, from(0))
	h.registered(2, 2200*time.Millisecond, "b1")
	if h.uses("b2") {
		t.Fatal("b2 is used after its registration was removed while the platform answered others")
	}
}

// The platform's return is heard of before the first list after it.
func TestLapsedServersAreKeptAfterTheReturnIsHeard(t *testing.T) {
	h := newDiscoveringHost(t)
	h.awayFor(4 * time.Second)
	h.run(300*time.Millisecond, from(0))
	h.registered(2, 2*time.Second)
	if !h.uses("b1") || !h.uses("b2") {
		t.Fatal("servers whose registrations lapsed with the platform are dropped at once")
	}
}

// What a host keeps for a while it does not pass on as the platform's list.
func TestKeptServersAreNotPassedOn(t *testing.T) {
	h := newDiscoveringHost(t)
	h.registered(2, 2*time.Second, "b1")
	if raw := string(h.world.Document(world.KeyDiscovered).Raw); strings.Contains(raw, "b2") {
		t.Fatalf("document %s names a server that the platform does not list", raw)
	}
}

// A reader that comes back from a cut of its own does not bring back a server
// that others have seen leave.
func TestRemovedServerDoesNotComeBack(t *testing.T) {
	h := newDiscoveringHost(t)
	h.registered(2, 0, "b1")
	h.registered(3, 2*time.Second, "b1")
	if h.uses("b2") {
		t.Fatal("b2 is used again")
	}
}
