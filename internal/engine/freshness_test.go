package engine_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/world"
)

// confirmFor returns the end of the pause for which the last fetch requests a confirmation.
func (f *fetchCollector) confirmFor(t *testing.T) time.Time {
	t.Helper()
	if len(f.fetches) == 0 || f.fetches[len(f.fetches)-1].ConfirmFor.IsZero() {
		t.Fatal("no confirmation of the server list was requested")
	}
	return f.fetches[len(f.fetches)-1].ConfirmFor
}

// pauseHost returns a host that holds revision 5 of the server list and has just been paused.
func pauseHost(t *testing.T) (h *directHost, wokenAt time.Time) {
	t.Helper()
	h = newDirectHost(t, 2)
	h.deliver(5, &config.Discovered{Base: 1, Backends: []config.DiscoveredBackend{registered(2, 1)}})
	h.fetches.fetches = nil
	wokenAt = epoch.Add(3 * time.Second)
	h.Step(wokenAt)
	return h, wokenAt
}

func (h *directHost) isFresh(now time.Time) bool { return h.Snapshot().Fresh(now, 0) }

// Guards against requests to servers that left during a pause of the process: datagrams from
// before its end made the old server list count as up to date.
func TestDataFromDuringAPauseDoesNotConfirmTheServerList(t *testing.T) {
	h, now := pauseHost(t)
	confirmFor := h.fetches.confirmFor(t)
	for _, d := range []*peerpb.Datagram{
		{From: "other1", Kind: peerpb.Datagram_KIND_PING},
		{From: "other1", Kind: peerpb.Datagram_KIND_HEARTBEAT, Heads: []*peerpb.Head{{Key: world.KeyDiscovered, Revision: 5, Holder: "other1"}}},
	} {
		now = now.Add(time.Millisecond)
		h.Datagram(now, "10.9.0.2:1", d)
		h.Step(now)
	}
	h.ListConfirmed(now, confirmFor.Add(-time.Second), 5) // for an earlier pause
	h.Step(now)
	if h.isFresh(now) {
		t.Fatal("the view is fresh although nobody was asked for the server list since the pause")
	}
	h.ListConfirmed(now, confirmFor, 6)
	h.Step(now)
	if h.isFresh(now) {
		t.Fatal("the view is fresh although another host holds a newer server list")
	}
	raw, err := json.Marshal(&config.Discovered{Base: 5, Removed: []string{"i-000002"}})
	if err != nil {
		t.Fatal(err)
	}
	h.HandleDocument(now, world.KeyDiscovered, 6, raw)
	h.Step(now)
	if !h.isFresh(now) {
		t.Fatal("the view is stale although it has the newest server list")
	}
}

// A host whose server list is still the newest serves again as soon as one host says so.
func TestServerListIsConfirmedByOneAnswer(t *testing.T) {
	h, now := pauseHost(t)
	h.Input(now.Add(time.Millisecond), func(now time.Time) { h.ListConfirmed(now, h.fetches.confirmFor(t), 5) })
	if !h.isFresh(now.Add(2 * time.Millisecond)) {
		t.Error("the view is stale although the server list was confirmed")
	}
}

// Guards against requests by an old shard of the configuration after the index has been confirmed.
func TestViewIsStaleUntilTheListedDocumentsArrive(t *testing.T) {
	asked := &fetchCollector{}
	e := newEngineWithEffects(nil, asked)
	e.Merge(epoch, []*peerpb.Member{{Host: "h2", Address: "10.0.0.2:1", DataCentre: "dc1", Incarnation: 1}}, nil, 0)
	e.HandleDocument(epoch, world.KeyIndex, 2, []byte("shards: {main: 1}\n"))
	e.HandleDocument(epoch, "services/main", 1, []byte("services: []\n"))
	e.Step(epoch.Add(100 * time.Millisecond))
	now := epoch.Add(3 * time.Second)
	e.Step(now)
	e.ListConfirmed(now, asked.confirmFor(t), 3)
	e.HandleDocument(now, world.KeyIndex, 3, []byte("shards: {main: 2}\n"))
	e.Step(now)
	if e.Snapshot().Fresh(now, 0) {
		t.Error("the view is fresh although a newer shard is listed")
	}
	e.HandleDocument(now, "services/main", 2, []byte("services: []\n"))
	e.Step(now)
	if !e.Snapshot().Fresh(now, 0) {
		t.Error("the view is stale although it has all listed documents")
	}
}

// Guards against hosts that were paused together and confirm each other's old server lists.
func TestPausedHostDoesNotConfirmTheListOfAnother(t *testing.T) {
	held := &peerpb.DocumentRequest{Key: world.KeyDiscovered, After: 5, From: "other1"}
	ask := func(h *directHost, now time.Time) uint64 {
		var revision uint64
		h.Input(now, func(now time.Time) {
			resp, _, err := h.AnswerDocument(now, held)
			if err != nil {
				t.Fatal(err)
			}
			revision = resp.Revision
		})
		return revision
	}
	h := newDirectHost(t, 2)
	h.deliver(5, &config.Discovered{Base: 1, Backends: []config.DiscoveredBackend{registered(2, 1)}})
	if revision := ask(h, epoch.Add(100*time.Millisecond)); revision != 5 {
		t.Errorf("a host that was not paused answers with revision %d, want 5", revision)
	}
	// The question arrives before the first tick after the pause.
	if revision := ask(h, epoch.Add(3*time.Second)); revision == 5 {
		t.Error("a paused host confirms a server list that may be out of date")
	}
	older := &peerpb.DocumentRequest{Key: world.KeyDiscovered, After: 1, From: "other1"}
	resp, _, err := h.AnswerDocument(epoch.Add(3*time.Second), older)
	if err != nil || resp.Revision != 5 || len(resp.Document) == 0 {
		t.Errorf("a paused host answers an older revision with %v, %v, want its newer one", resp, err)
	}
}

// A host that reaches nobody goes on with its last server list.
func TestServerListStaysInForceIfNobodyCanConfirmIt(t *testing.T) {
	h, now := pauseHost(t)
	asksPlatform := false
	end := now.Add(2 * time.Second)
	for ; !now.After(end); now = now.Add(100 * time.Millisecond) {
		h.Step(now)
		if h.isFresh(now) {
			t.Fatalf("the view is fresh %s before the limit", end.Sub(now))
		}
	}
	for _, f := range h.fetches.fetches {
		asksPlatform = asksPlatform || f.Platform && !f.ConfirmFor.IsZero()
	}
	if !asksPlatform {
		t.Error("the platform was not asked although no host answered")
	}
	h.Step(now)
	if !h.isFresh(now) {
		t.Error("the view is still stale although nobody answers")
	}
}
