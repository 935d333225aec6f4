package configsync_test

import (
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/hlc"
	"github.com/pearshelf/pearshelf/internal/system/configsync"
	"github.com/pearshelf/pearshelf/internal/world"
)

const tick = 100 * time.Millisecond

// testHost is one of six hosts in a data centre. The reader order is h0 to h4.
type testHost struct {
	world  *world.World
	system *configsync.System
	now    time.Time
}

func newTestHost(self string) *testHost {
	w := world.New(world.Identity{Host: self, DataCentre: "dc1"}, &hlc.Clock{}, epoch)
	for _, name := range []string{"h0", "h1", "h2", "h3", "h4", "h5"} {
		w.Hosts[name] = &world.Host{Name: name, Address: name + ":1", DataCentre: "dc1"}
	}
	w.ReaderOrder = []string{"h0", "h1", "h2", "h3", "h4"}
	w.Readers = w.ReaderOrder[:1]
	w.Required = []string{"services/a"}
	w.Settled = true
	return &testHost{world: w, system: configsync.New(epoch, configsync.Config{Seed: 1, ReaderFailover: true}), now: epoch}
}

// run ticks the system for d. Before each tick, heartbeat may return a reader's heartbeat.
func (h *testHost) run(d time.Duration, heartbeat func() *peerpb.Datagram) {
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(tick) {
		if heartbeat != nil {
			if d := heartbeat(); d != nil {
				h.system.HandleHeartbeat(h.world, h.now, d)
			}
		}
		h.system.Run(h.world, h.now)
	}
}

// heartbeats returns a source of heartbeats from h0 whose last platform answer has the given age.
func heartbeats(age time.Duration) func() *peerpb.Datagram {
	return func() *peerpb.Datagram {
		return &peerpb.Datagram{Kind: peerpb.Datagram_KIND_HEARTBEAT, From: "h0", AnswerAgeMs: uint32(age.Milliseconds())}
	}
}

// A host that receives no heartbeats, because the reader crashed or because the
// host is cut off from its peers, becomes a reader whatever its rank. It does so
// within the 2 s in which a change must take effect, and stops when heartbeats
// resume.
func TestSilentReaderIsReplaced(t *testing.T) {
	for _, self := range []string{"h1", "h4", "h5"} {
		h := newTestHost(self)
		h.run(5*time.Second, heartbeats(0))
		if configsync.IsReader(h.world) {
			t.Fatalf("%s is a reader beside a healthy reader", self)
		}
		h.run(1500*time.Millisecond, nil)
		if !configsync.IsReader(h.world) {
			t.Errorf("%s is no reader after 1.5 s without heartbeats", self)
		}
		h.run(500*time.Millisecond, heartbeats(0))
		if configsync.IsReader(h.world) {
			t.Errorf("%s is still a reader after heartbeats have resumed", self)
		}
	}
}

// A live reader without platform answers is replaced by the next host in rank,
// then by one after the other: the platform may reject any of them, or be down,
// in which case they must not all ask at once.
func TestReaderWithoutAnswersIsReplaced(t *testing.T) {
	stale := newTestHost("h1")
	last := newTestHost("h4")
	start := stale.now
	agingAnswers := func() *peerpb.Datagram { return heartbeats(stale.now.Sub(start))() }
	stale.run(2*time.Second, agingAnswers)
	if !configsync.IsReader(stale.world) {
		t.Error("the next host in rank is no reader although the reader's last answer is 2 s old")
	}
	agingForLast := func() *peerpb.Datagram { return heartbeats(last.now.Sub(start))() }
	last.run(2200*time.Millisecond, agingForLast)
	if configsync.IsReader(last.world) {
		t.Error("the fourth host in rank becomes a reader as early as the first")
	}
	last.run(500*time.Millisecond, agingForLast)
	if !configsync.IsReader(last.world) {
		t.Error("the fourth host in rank is no reader although no host gets answers")
	}
}

// A reader announces a new document to its data centre immediately, and the other
// hosts fetch it from the sender of the heartbeat.
func TestHeartbeatCarriesRevisions(t *testing.T) {
	reader := newTestHost("h0")
	reader.run(time.Second, nil)
	reader.system.PlatformAnswered(reader.world, reader.now)
	configsync.Accept(reader.world, reader.now, "services/a", 7, []byte("services: []\n"))
	reader.world.Outbox.Take()
	reader.system.Run(reader.world, reader.now)
	sent := reader.world.Outbox.Take().Heartbeats
	if len(sent) != 1 || len(sent[0].To) != 5 || sent[0].Datagram.Heads[0].Revision != 7 {
		t.Fatalf("heartbeats %v, want one with revision 7 to five hosts", sent)
	}
	other := newTestHost("h3")
	d := sent[0].Datagram
	d.From = "h0"
	other.system.HandleHeartbeat(other.world, other.now, d)
	fetches := other.world.Outbox.Take().Fetches
	if len(fetches) != 1 || fetches[0].Key != "services/a" || fetches[0].Peers[0] != "h0:1" {
		t.Fatalf("fetches %v, want services/a from h0", fetches)
	}
}

// If all hosts start together, heartbeats arrive only after readers have been
// chosen, and the other hosts wait for them. A host that receives none still
// becomes a reader after 2 s.
func TestHostsThatStartTogetherWaitForReaders(t *testing.T) {
	const chosen = 1500 * time.Millisecond
	for _, self := range []string{"h1", "h4", "h5"} {
		h := newTestHost(self)
		h.run(chosen, nil)
		if configsync.IsReader(h.world) {
			t.Errorf("%s is a reader before heartbeats can arrive", self)
		}
		h.run(2*time.Second, heartbeats(0))
		if configsync.IsReader(h.world) {
			t.Errorf("%s is a reader although it receives heartbeats", self)
		}
		alone := newTestHost(self)
		alone.run(2200*time.Millisecond, nil)
		if !configsync.IsReader(alone.world) {
			t.Errorf("%s is no reader after 2.2 s without heartbeats", self)
		}
	}
}

// A reader sends heartbeats before the platform has answered it, because listing thousands of
// servers takes seconds. Without them the other hosts considered the reader dead and all read
// the full list at once.
func TestUnansweredReaderSendsHeartbeats(t *testing.T) {
	reader := newTestHost("h0")
	reader.system.Run(reader.world, reader.now)
	sent := reader.world.Outbox.Heartbeats
	if len(sent) != 1 || !sent[0].Datagram.Unanswered {
		t.Fatalf("heartbeats %v from a reader without an answer, want one marked as unanswered", sent)
	}
	other := newTestHost("h5")
	other.run(5*time.Second, func() *peerpb.Datagram { return sent[0].Datagram })
	if configsync.IsReader(other.world) {
		t.Error("a host becomes a reader although it receives heartbeats from a reader waiting for its first answer")
	}
	for _, f := range other.world.Outbox.Fetches {
		if f.Platform {
			t.Errorf("the host requests %s from the platform", f.Key)
		}
	}
	next := newTestHost("h1")
	next.run(5*time.Second, func() *peerpb.Datagram { return sent[0].Datagram })
	if !configsync.IsReader(next.world) {
		t.Error("the next host in rank does not take over from a reader without an answer for 5 s")
	}
}
