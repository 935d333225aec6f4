package engine_test

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/system/configsync"
	"github.com/pearshelf/pearshelf/internal/world"
)

// question returns the last request for a confirmation of a document.
func (f *fetchCollector) question(t *testing.T, key string) world.Fetch {
	t.Helper()
	for _, fetch := range slices.Backward(f.fetches) {
		if fetch.Key == key && !fetch.ConfirmFor.IsZero() {
			return fetch
		}
	}
	t.Fatalf("no confirmation of %s was requested", key)
	return world.Fetch{}
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

// confirm delivers the answer to the last request for a confirmation of a document.
func (h *directHost) confirm(now time.Time, key string, revision uint64) {
	h.t.Helper()
	question := h.fetches.question(h.t.(*testing.T), key)
	h.Input(now, func(now time.Time) { h.DocumentConfirmed(now, question, revision) })
}

func (h *directHost) isFresh(now time.Time) bool { return h.Snapshot().Fresh(now, 0) }

// Guards against requests to servers that left during a pause of the process: datagrams from
// before its end made the old server list count as up to date.
func TestDataFromDuringAPauseDoesNotConfirmTheServerList(t *testing.T) {
	h, now := pauseHost(t)
	h.confirm(now, world.KeyPublished, 1)
	for _, d := range []*peerpb.Datagram{
		{From: "other1", Kind: peerpb.Datagram_KIND_PING},
		{From: "other1", Kind: peerpb.Datagram_KIND_HEARTBEAT, Heads: []*peerpb.Head{{Key: world.KeyDiscovered, Revision: 5, Holder: "other1"}}},
	} {
		now = now.Add(time.Millisecond)
		h.Datagram(now, "10.9.0.2:1", d)
		h.Step(now)
	}
	earlier := h.fetches.question(t, world.KeyDiscovered)
	earlier.ConfirmFor = earlier.ConfirmFor.Add(-time.Second) // of an earlier pause
	h.DocumentConfirmed(now, earlier, 5)
	h.Step(now)
	if h.isFresh(now) {
		t.Fatal("the view is fresh although nobody was asked for the server list since the pause")
	}
	h.confirm(now, world.KeyDiscovered, 6)
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
	now = now.Add(time.Millisecond)
	h.confirm(now, world.KeyPublished, 1)
	h.confirm(now, world.KeyDiscovered, 5)
	if !h.isFresh(now.Add(time.Millisecond)) {
		t.Error("the view is stale although both documents were confirmed")
	}
}

// Guards against requests by routes and kinds of before a pause: only the server list was confirmed.
func TestPauseAlsoAgesTheConfiguration(t *testing.T) {
	h, now := pauseHost(t)
	h.confirm(now, world.KeyDiscovered, 5)
	if h.isFresh(now) {
		t.Error("the view is fresh although nobody has confirmed the configuration")
	}
	h.confirm(now, world.KeyPublished, 2)
	if h.isFresh(now) {
		t.Error("the view is fresh although a newer configuration exists")
	}
}

// Guards against requests by a server list that is known to be old: it counted as fresh two seconds
// after the pause, although other hosts had named a newer one.
func TestKnownNewerListIsAwaited(t *testing.T) {
	h, now := pauseHost(t)
	h.confirm(now, world.KeyPublished, 1)
	for end := now.Add(5 * time.Second); now.Before(end); now = now.Add(100 * time.Millisecond) {
		h.confirm(now, world.KeyDiscovered, 6) // the document itself does not arrive
		h.Step(now)
		if h.isFresh(now) {
			t.Fatal("the view is fresh with revision 5 although revision 6 is known")
		}
	}
}

// Guards against a tick for each input while a document is awaited after a pause.
func TestAwaitedDocumentCausesNoTickForEachInput(t *testing.T) {
	h, now := pauseHost(t)
	h.confirm(now, world.KeyDiscovered, 6)
	before := h.Snapshot()
	for range 100 {
		h.Input(now, func(time.Time) {})
	}
	if h.Snapshot() != before {
		t.Error("inputs that change nothing have caused a tick")
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
	e.DocumentConfirmed(now, asked.question(t, world.KeyIndex), 3)
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
	h := newDirectHost(t, 2)
	h.deliver(5, &config.Discovered{Base: 1, Backends: []config.DiscoveredBackend{registered(2, 1)}})
	confirms := func(now time.Time, after uint64) bool {
		question := world.Fetch{Key: world.KeyDiscovered, After: after, ConfirmFor: epoch}
		var confirms bool
		h.Input(now, func(now time.Time) {
			resp, _, err := h.AnswerDocument(now, &peerpb.DocumentRequest{Key: question.Key, After: after, From: "other1"})
			if err != nil {
				t.Fatal(err)
			}
			if after < 5 && (resp.Revision != 5 || len(resp.Document) == 0) {
				t.Errorf("after %d: got revision %d with %d bytes, want the newer document", after, resp.Revision, len(resp.Document))
			}
			confirms = configsync.Confirms(question, resp)
		})
		return confirms
	}
	for _, after := range []uint64{0, 1, 5} {
		if !confirms(epoch.Add(100*time.Millisecond), after) {
			t.Errorf("after %d: a host that was not paused does not confirm its list", after)
		}
	}
	if confirms(epoch.Add(100*time.Millisecond), 6) {
		t.Error("a host confirms a list that is newer than its own")
	}
	// The first question arrives before the first tick after the pause.
	for _, after := range []uint64{5, 1, 0} {
		if confirms(epoch.Add(3*time.Second), after) {
			t.Errorf("after %d: a paused host confirms a list that may be out of date", after)
		}
	}
}

// Guards against a host that confirms another's server list right after its machine was suspended: its
// steady clock stood still, so that only the tick knew of the pause.
func TestSuspendedHostDoesNotConfirmTheListOfAnother(t *testing.T) {
	var suspended time.Duration
	h := newDirectHostWith(t, 2, func() time.Duration { return suspended })
	now := epoch.Add(100 * time.Millisecond)
	h.Step(now)
	suspended = time.Minute
	question := world.Fetch{Key: world.KeyDiscovered, After: 1, ConfirmFor: epoch}
	h.Input(now.Add(time.Millisecond), func(now time.Time) {
		resp, _, err := h.AnswerDocument(now, &peerpb.DocumentRequest{Key: question.Key, After: question.After, From: "other1"})
		if err != nil {
			t.Fatal(err)
		}
		if configsync.Confirms(question, resp) {
			t.Error("a host confirms its list before it has noticed that it was suspended")
		}
	})
}

// Guards against an incomplete list that the empty answer of a host without one confirms.
func TestEmptyAnswerConfirmsNothing(t *testing.T) {
	if configsync.Confirms(world.Fetch{ConfirmFor: epoch}, &peerpb.DocumentResponse{}) {
		t.Error("an answer without a revision confirms a list")
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
