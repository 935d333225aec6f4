// Package loops runs the control loops of a whole fleet in one process and in
// simulated time: membership, gossip, full comparisons, documents and readers, by the
// same code as the daemon, without sockets or goroutines. It counts what each host
// sends and how long the fleet takes to agree, at sizes that no machine holds as
// processes.
package loops

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pearshelf/pearshelf/experiment/simtime"
	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/engine"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/hlc"
	"github.com/pearshelf/pearshelf/internal/membership"
	"github.com/pearshelf/pearshelf/internal/settings"
	"github.com/pearshelf/pearshelf/internal/system/configsync"
	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	// seeds is how many hosts every host knows from its settings.
	seeds = 3
	// sizeOfCall is what a synchronous call adds to the bytes of its messages.
	sizeOfCall = 400
	// storeDelay is one answer of the platform.
	storeDelay = 8 * time.Millisecond
)

// Config of a Fleet.
type Config struct {
	Hosts       int
	DataCentres int
	// Near is one way within a data centre, Far between two.
	Near, Far time.Duration
	// StartWithin is the time in which all hosts start.
	StartWithin time.Duration
	// KnownLater is how much later than the others the hosts start that all know from their settings.
	KnownLater time.Duration
	// KnownLife is how long after their start these die, 0 for not at all.
	KnownLife time.Duration
	// KnownDown is set if these do not start.
	KnownDown bool
	// Loss is the share of datagrams that are lost.
	Loss float64
	// ListTakes is how long it takes to read the whole list of servers from the platform.
	ListTakes time.Duration
	Seed      uint64
	// Documents are what the platform holds at first, by key.
	Documents map[string][]byte
}

// document is what the platform holds of a key.
type document struct {
	revision uint64
	raw      []byte
}

// Traffic is what a host sent.
type Traffic struct {
	Datagrams, Calls int
	Bytes            int
	// FarBytes are those of Bytes that went to another data centre.
	FarBytes int
	// Far is FarBytes by kind: that of the datagram, "comparison" or "document".
	Far map[string]int
}

// Fleet is all hosts of a simulation.
type Fleet struct {
	conf      Config
	clock     simtime.Clock
	random    *rand.Rand
	hosts     []*Host
	at        map[string]*Host // by peer address
	documents map[string]document
	Fetches   int // reads of the platform
}

// New returns a fleet whose hosts start within conf.StartWithin.
func New(conf Config) *Fleet {
	f := &Fleet{conf: conf, random: rand.New(rand.NewPCG(conf.Seed, 1)), at: make(map[string]*Host), documents: make(map[string]document)}
	for key, raw := range conf.Documents {
		f.documents[key] = document{revision: 1, raw: raw}
	}
	for n := range conf.Hosts {
		h := &Host{fleet: f, number: n, dataCentre: n % conf.DataCentres}
		f.hosts = append(f.hosts, h)
		f.at[h.address()] = h
	}
	f.StartAll()
	return f
}

// StartAll starts all hosts within StartWithin, the known ones KnownLater after the others or not at
// all.
func (f *Fleet) StartAll() {
	for _, h := range f.hosts {
		after := time.Duration(f.random.Float64() * float64(f.conf.StartWithin))
		if h.number < seeds && f.conf.KnownDown {
			continue
		}
		if h.number < seeds {
			after += f.conf.KnownLater
			if f.conf.KnownLife > 0 {
				f.clock.After(after+f.conf.KnownLife, h.Stop)
			}
		}
		f.clock.After(after, h.Start)
	}
}

// Publish gives the platform a new revision of a document; hosts that read it hear of it
// by their watches.
func (f *Fleet) Publish(key string, raw []byte) uint64 {
	doc := document{revision: f.documents[key].revision + 1, raw: raw}
	f.documents[key] = doc
	for _, h := range f.hosts {
		if h.Running() && h.reading && !h.TurnedAway {
			h.in(storeDelay, h.life, func(now time.Time) { h.engine.HandleDocument(now, key, doc.revision, doc.raw) })
		}
	}
	return doc.revision
}

// Run moves the time on.
func (f *Fleet) Run(d time.Duration) { f.clock.Run(f.clock.Now + d) }

// Now is the simulated time since the beginning.
func (f *Fleet) Now() time.Duration { return f.clock.Now }

// Hosts returns all hosts, running or not.
func (f *Fleet) Hosts() []*Host { return f.hosts }

// RunUntil moves the time on until done holds, looked at every step, or limit is over;
// it reports whether done holds.
func (f *Fleet) RunUntil(limit, step time.Duration, done func() bool) bool {
	for end := f.clock.Now + limit; f.clock.Now < end; {
		if done() {
			return true
		}
		f.Run(step)
	}
	return done()
}

// Agreed reports whether every running host knows just the running ones as live.
func (f *Fleet) Agreed() bool {
	running := 0
	for _, h := range f.hosts {
		if h.Running() {
			running++
		}
	}
	for _, h := range f.hosts {
		if h.Running() && h.engine.Snapshot().LiveHosts != running {
			return false
		}
	}
	return running > 0
}

// Ready returns how many hosts have a configuration in force.
func (f *Fleet) Ready() int {
	ready := 0
	for _, h := range f.hosts {
		if h.Running() && h.engine.Ready() {
			ready++
		}
	}
	return ready
}

// Sent sums what all hosts sent.
func (f *Fleet) Sent() Traffic {
	total := Traffic{Far: make(map[string]int)}
	for _, h := range f.hosts {
		total.Datagrams += h.Sent.Datagrams
		total.Calls += h.Sent.Calls
		total.Bytes += h.Sent.Bytes
		total.FarBytes += h.Sent.FarBytes
		for kind, bytes := range h.Sent.Far {
			total.Far[kind] += bytes
		}
	}
	return total
}

// delay is one way between two hosts.
func (f *Fleet) delay(a, b *Host) time.Duration {
	if a.dataCentre == b.dataCentre {
		return f.conf.Near
	}
	return f.conf.Far
}

// Host is one host: it runs, is stopped without notice, and runs again with an empty
// memory.
type Host struct {
	fleet      *Fleet
	number     int
	dataCentre int
	life       int // grows with every start and stop
	startedAt  time.Duration
	// ReadyAfter is the time from the latest start until a configuration was in force, 0 if none is.
	ReadyAfter time.Duration
	engine     *engine.Engine
	reading    bool
	asksFar    bool // has asked a host of another data centre for a document in this life
	// Cut hosts send and hear nothing.
	Cut bool
	// TurnedAway hosts get no answer from the platform.
	TurnedAway bool
	// Slow is how much later than others the host sends and hears.
	Slow time.Duration
	Sent Traffic
}

func (h *Host) name() string    { return fmt.Sprintf("h%04d", h.number) }
func (h *Host) address() string { return fmt.Sprintf("10.0.%d.%d:7000", h.number/250, h.number%250+1) }

// DataCentre is the number of the host's data centre.
func (h *Host) DataCentre() int { return h.dataCentre }

// Running reports whether the host runs.
func (h *Host) Running() bool { return h.engine != nil }

// Snapshot is the host's newest view.
func (h *Host) Snapshot() *world.Snapshot { return h.engine.Snapshot() }

// Stop ends the host without notice.
func (h *Host) Stop() {
	h.life++
	h.engine = nil
	h.reading = false
}

// Start runs the host with an empty memory.
func (h *Host) Start() {
	h.life++
	h.startedAt, h.ReadyAfter, h.asksFar = h.fleet.clock.Now, 0, false
	now := h.fleet.clock.Time()
	self := world.Identity{Host: h.name(), Address: h.address(), DataCentre: fmt.Sprint("dc", h.dataCentre)}
	seed := h.fleet.conf.Seed<<32 + uint64(h.number)<<8 + uint64(h.life)
	var known []string
	for _, other := range h.fleet.hosts[:min(seeds, len(h.fleet.hosts))] {
		known = append(known, other.address())
	}
	h.engine = engine.New(engine.Config{
		Self:              self,
		Tick:              settings.DefaultTick,
		Freshness:         settings.DefaultFreshness,
		Seeds:             known,
		RequiredDocuments: []string{world.KeyPublished, world.KeyDiscovered},
		DirectAfter:       time.Millisecond,
		DirectSpread:      200 * time.Millisecond,
		Seed:              seed,
		Membership: membership.Config{
			Host:           self.Host,
			Address:        self.Address,
			DataCentre:     self.DataCentre,
			ProbeInterval:  settings.DefaultProbeInterval,
			ProbeTimeout:   settings.DefaultProbeTimeout,
			GossipInterval: settings.DefaultGossipInterval,
			Seed:           seed,
		},
	}, &hlc.Clock{}, &effects{host: h, life: h.life}, now)
	h.tick(h.life, 0)
}

// tick steps the control loop as often as the daemon does.
func (h *Host) tick(life int, after time.Duration) {
	h.in(after, life, func(now time.Time) {
		h.engine.Step(now)
		h.tick(life, min(h.engine.Interval(), settings.DefaultTick))
	})
}

// in gives the control loop an input after some time, if the host still lives its life.
func (h *Host) in(after time.Duration, life int, input func(now time.Time)) {
	h.fleet.clock.After(after, func() {
		if h.engine != nil && h.life == life {
			h.engine.Input(h.fleet.clock.Time(), input)
			h.noteReady()
		}
	})
}

// reach calls do at the host with an address, one way later, unless the way is cut.
func (h *Host) reach(address string, do func(to *Host, now time.Time)) {
	to, ok := h.fleet.at[address]
	if !ok || h.Cut || to.Cut {
		return
	}
	h.fleet.clock.After(h.fleet.delay(h, to)+h.Slow+to.Slow, func() {
		if to.engine != nil && !to.Cut {
			to.engine.Input(h.fleet.clock.Time(), func(now time.Time) { do(to, now) })
			to.noteReady()
		}
	})
}

// noteReady records when the host became ready.
func (h *Host) noteReady() {
	if h.engine != nil && h.ReadyAfter == 0 && h.engine.Ready() {
		h.ReadyAfter = max(h.fleet.clock.Now-h.startedAt, 1)
	}
}

// count adds what this host sends to an address.
func (h *Host) count(address, kind string, bytes int) {
	h.Sent.Bytes += bytes
	if to, ok := h.fleet.at[address]; ok && to.dataCentre != h.dataCentre {
		h.Sent.FarBytes += bytes
		if h.Sent.Far == nil {
			h.Sent.Far = make(map[string]int)
		}
		h.Sent.Far[kind] += bytes
	}
}

// effects does what a host's control loop wants done.
type effects struct {
	host *Host
	life int
}

// Send delivers datagrams.
func (e *effects) Send(packets []membership.Packet) {
	h := e.host
	for _, p := range packets {
		raw, err := proto.Marshal(p.Datagram)
		if err != nil {
			panic(err)
		}
		h.Sent.Datagrams++
		h.count(p.To, strings.ToLower(strings.TrimPrefix(p.Datagram.Kind.String(), "KIND_")), len(raw))
		if h.fleet.random.Float64() < h.fleet.conf.Loss {
			continue
		}
		h.reach(p.To, func(to *Host, now time.Time) {
			d := &peerpb.Datagram{}
			if err := proto.Unmarshal(raw, d); err != nil {
				panic(err)
			}
			to.engine.Datagram(now, h.address(), d)
		})
	}
}

// Fetch gets a document from another host or the platform.
func (e *effects) Fetch(f world.Fetch) {
	h := e.host
	if len(f.Peers) > 0 {
		e.askDocument(f)
		return
	}
	if !f.Platform {
		return
	}
	h.fleet.Fetches++
	if h.TurnedAway {
		return
	}
	delay := storeDelay
	if f.Key == world.KeyDiscovered && f.After == 0 {
		delay += h.fleet.conf.ListTakes
	}
	h.in(delay, e.life, func(now time.Time) {
		doc, ok := h.fleet.documents[f.Key]
		if !ok {
			return
		}
		if f.After < doc.revision {
			h.engine.HandleDocument(now, f.Key, doc.revision, doc.raw)
		}
		h.engine.DocumentConfirmed(now, f, doc.revision)
	})
}

// askDocument asks the first of some hosts for a document, and the next if that one has
// none or does not answer in time.
func (e *effects) askDocument(f world.Fetch) {
	h := e.host
	h.Sent.Calls++
	ended := false
	end := func(now time.Time, resp *peerpb.DocumentResponse) {
		if ended {
			return
		}
		ended = true
		switch {
		case resp != nil && resp.Revision > f.After:
			raw, err := configsync.DecodeContent(resp)
			if err != nil {
				panic(err) // a fault of the program
			}
			h.engine.HandleDocument(now, f.Key, resp.Revision, raw)
			if configsync.Confirms(f, resp) {
				h.engine.DocumentConfirmed(now, f, resp.Revision)
			}
		case resp != nil && configsync.Confirms(f, resp):
			h.engine.DocumentConfirmed(now, f, resp.Revision)
		case len(f.Peers) > 1:
			f.Peers = f.Peers[1:]
			e.askDocument(f)
		case f.ConfirmFor.IsZero():
			h.engine.FetchFailed(now, f.Key)
		}
	}
	h.in(configsync.FetchTimeout(f), e.life, func(now time.Time) { end(now, nil) })
	req := &peerpb.DocumentRequest{Key: f.Key, After: f.After}
	if to, ok := h.fleet.at[f.Peers[0]]; ok && to.dataCentre != h.dataCentre {
		h.asksFar = true
	}
	h.reach(f.Peers[0], func(to *Host, now time.Time) {
		to.answerDocument(now, req, now.Add(configsync.DocumentWait), func(resp *peerpb.DocumentResponse) {
			to.count(h.address(), "document", sizeOfCall+proto.Size(resp))
			to.reach(h.address(), func(_ *Host, now time.Time) { end(now, resp) })
		})
	})
}

// answerDocument answers once the host has the document or waits for it no longer.
func (h *Host) answerDocument(now time.Time, req *peerpb.DocumentRequest, until time.Time, answer func(*peerpb.DocumentResponse)) {
	resp, coming, err := h.engine.AnswerDocument(now, req)
	if err != nil {
		panic(err) // a fault of the program
	}
	if coming && now.Before(until) {
		h.in(configsync.DocumentPollInterval, h.life, func(now time.Time) { h.answerDocument(now, req, until, answer) })
		return
	}
	answer(resp)
}

// SyncWith compares full states with the host at an address.
func (e *effects) SyncWith(address string) {
	h := e.host
	if h.engine == nil {
		return
	}
	h.Sent.Calls++
	h.count(address, "comparison", sizeOfCall)
	e.ask(address, &peerpb.SyncRequest{From: h.name(), Digest: h.engine.Digest()}, func(resp *peerpb.SyncResponse, now time.Time) {
		if !resp.Same {
			state := h.engine.State(now)
			h.Sent.Calls++
			h.count(address, "comparison", proto.Size(state))
			e.ask(address, state, func(*peerpb.SyncResponse, time.Time) {})
		}
		h.engine.Merge(now, resp.Members, resp.Registers, resp.Clock)
		h.engine.MarkSynced()
	})
}

// ask makes a synchronous comparison and hands its answer to take.
func (e *effects) ask(address string, req *peerpb.SyncRequest, take func(resp *peerpb.SyncResponse, now time.Time)) {
	h := e.host
	h.reach(address, func(to *Host, now time.Time) {
		resp := to.engine.AnswerSync(now, req)
		to.count(h.address(), "comparison", proto.Size(resp))
		to.reach(h.address(), func(_ *Host, now time.Time) {
			if h.life == e.life {
				take(resp, now)
			}
		})
	})
}

// SetReading answers the watch of a reader, as a quiet platform does each second.
func (e *effects) SetReading(reader bool) {
	h := e.host
	if reader && !h.reading { // a new watch brings what is newer
		for _, key := range []string{world.KeyPublished, world.KeyDiscovered} {
			e.Fetch(world.Fetch{Key: key, After: h.Snapshot().Revisions[key], Platform: true})
		}
	}
	h.reading = reader
	if reader && !h.Cut && !h.TurnedAway {
		h.in(storeDelay, e.life, func(now time.Time) { h.engine.PlatformAnswered(now) })
	}
}

// Probe, Event, StopRequested and Ticked do nothing here.
func (e *effects) Probe(world.Probe)                  {}
func (e *effects) Event(event.Event)                  {}
func (e *effects) StopRequested()                     {}
func (e *effects) Ticked(time.Duration, *world.World) {}

// Interface guard.
var _ engine.Effects = (*effects)(nil)
