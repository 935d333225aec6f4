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

// standInHost is host self of six in one data centre, ranked h0 to h4.
type standInHost struct {
	world  *world.World
	system *configsync.System
	now    time.Time
}

func newStandInHost(self string) *standInHost {
	w := world.New(world.Identity{Host: self, DataCentre: "dc1"}, &hlc.Clock{}, epoch)
	for _, name := range []string{"h0", "h1", "h2", "h3", "h4", "h5"} {
		w.Hosts[name] = &world.Host{Name: name, Address: name + ":1", DataCentre: "dc1"}
	}
	w.ReaderOrder = []string{"h0", "h1", "h2", "h3", "h4"}
	w.Readers = w.ReaderOrder[:1]
	w.Required = []string{"services/a"}
	w.Settled = true
	return &standInHost{world: w, system: configsync.New(epoch, configsync.Config{Seed: 1, StandIn: true}), now: epoch}
}

// run ticks for a time; before each tick beat may give a reader's heartbeat.
func (h *standInHost) run(d time.Duration, beat func() *peerpb.Datagram) {
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(tick) {
		if beat != nil {
			if d := beat(); d != nil {
				h.system.Heartbeat(h.world, h.now, d)
			}
		}
		h.system.Run(h.world, h.now)
	}
}

// from returns heartbeats of h0 whose last answer has an age.
func from(age time.Duration) func() *peerpb.Datagram {
	return func() *peerpb.Datagram {
		return &peerpb.Datagram{Kind: peerpb.Datagram_KIND_HEARTBEAT, From: "h0", AnswerAgeMs: uint32(age.Milliseconds())}
	}
}

// A host that hears no reader, because that was killed or because it is itself
// cut off from its peers, reads before the 2 s are over in which a change must
// be in force, whatever its rank; and ends when a reader is heard again.
func TestSilentReaderIsReplaced(t *testing.T) {
	for _, self := range []string{"h1", "h4", "h5"} {
		h := newStandInHost(self)
		h.run(5*time.Second, from(0))
		if configsync.IsReader(h.world) {
			t.Fatalf("%s reads beside a sound reader", self)
		}
		h.run(1500*time.Millisecond, nil)
		if !configsync.IsReader(h.world) {
			t.Errorf("%s does not read after 1.5 s of silence", self)
		}
		h.run(500*time.Millisecond, from(0))
		if configsync.IsReader(h.world) {
			t.Errorf("%s still reads after the reader is back", self)
		}
	}
}

// A reader that lives but gets no answers is replaced by the next in rank, then
// by one after the other: the platform may turn away any of them, or be away
// for all, when they must not all ask at once.
func TestReaderWithoutAnswersIsReplaced(t *testing.T) {
	stale := newStandInHost("h1")
	last := newStandInHost("h4")
	start := stale.now
	aging := func() *peerpb.Datagram { return from(stale.now.Sub(start))() }
	stale.run(2*time.Second, aging)
	if !configsync.IsReader(stale.world) {
		t.Error("the next in rank does not read although the reader's answers are 2 s old")
	}
	agingForLast := func() *peerpb.Datagram { return from(last.now.Sub(start))() }
	last.run(2200*time.Millisecond, agingForLast)
	if configsync.IsReader(last.world) {
		t.Error("the fourth in rank reads as soon as the first")
	}
	last.run(500*time.Millisecond, agingForLast)
	if !configsync.IsReader(last.world) {
		t.Error("the fourth in rank does not read although nobody gets answers")
	}
}

// A reader tells its data centre of a new document at once, and others fetch it
// from the host that told them.
func TestHeartbeatCarriesRevisions(t *testing.T) {
	reader := newStandInHost("h0")
	reader.run(time.Second, nil)
	reader.system.Answered(reader.world, reader.now)
	configsync.Accept(reader.world, reader.now, "services/a", 7, []byte("services: []\n"))
	reader.world.Out.Take()
	reader.system.Run(reader.world, reader.now)
	beats := reader.world.Out.Take().Heartbeats
	if len(beats) != 1 || len(beats[0].To) != 5 || beats[0].Datagram.Heads[0].Revision != 7 {
		t.Fatalf("heartbeats %v, want one to five hosts with revision 7", beats)
	}
	other := newStandInHost("h3")
	d := beats[0].Datagram
	d.From = "h0"
	other.system.Heartbeat(other.world, other.now, d)
	fetches := other.world.Out.Take().Fetches
	if len(fetches) != 1 || fetches[0].Key != "services/a" || fetches[0].Peers[0] != "h0:1" {
		t.Fatalf("fetches %v, want services/a from h0", fetches)
	}
}

// Where all hosts start together, readers are heard only after they were chosen:
// the others wait for them. One that hears none still reads after 2 s.
func TestHostsThatStartTogetherWaitForReaders(t *testing.T) {
	const chosen = 1500 * time.Millisecond
	for _, self := range []string{"h1", "h4", "h5"} {
		h := newStandInHost(self)
		h.run(chosen, nil)
		if configsync.IsReader(h.world) {
			t.Errorf("%s reads before a reader can be heard", self)
		}
		h.run(2*time.Second, from(0))
		if configsync.IsReader(h.world) {
			t.Errorf("%s reads beside a reader that is heard", self)
		}
		alone := newStandInHost(self)
		alone.run(2200*time.Millisecond, nil)
		if !configsync.IsReader(alone.world) {
			t.Errorf("%s hears no reader for 2.2 s and does not read", self)
		}
	}
}

// A reader tells that it reads before the platform has answered it: to list thousands of servers
// takes seconds. Other hosts held it for gone, and all read the whole list at once.
func TestUnansweredReaderIsHeard(t *testing.T) {
	reader := newStandInHost("h0")
	reader.system.Run(reader.world, reader.now)
	beats := reader.world.Out.Heartbeats
	if len(beats) != 1 || !beats[0].Datagram.Unanswered {
		t.Fatalf("heartbeats %v of a reader without an answer yet, want one that says so", beats)
	}
	other := newStandInHost("h5")
	other.run(5*time.Second, func() *peerpb.Datagram { return beats[0].Datagram })
	if configsync.IsReader(other.world) {
		t.Error("a host reads although it hears a reader that waits for its first answer")
	}
	for _, f := range other.world.Out.Fetches {
		if f.Platform {
			t.Errorf("it asks the platform for %s", f.Key)
		}
	}
	next := newStandInHost("h1")
	next.run(5*time.Second, func() *peerpb.Datagram { return beats[0].Datagram })
	if !configsync.IsReader(next.world) {
		t.Error("the next in rank does not stand in for a reader that gets no answer in 5 s")
	}
}
