// Package engine runs the control loop of a host. It owns the world state,
// processes inputs, runs the systems on each tick, publishes the snapshot read
// by the request path and passes the resulting actions to Effects. Apart from
// those effects Step is deterministic, so tests can drive it with a fake clock.
package engine

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/boottime"
	"github.com/pearshelf/pearshelf/internal/directive"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/gossip"
	"github.com/pearshelf/pearshelf/internal/hlc"
	"github.com/pearshelf/pearshelf/internal/membership"
	"github.com/pearshelf/pearshelf/internal/quarantine"
	"github.com/pearshelf/pearshelf/internal/ratelimit"
	"github.com/pearshelf/pearshelf/internal/system/configsync"
	"github.com/pearshelf/pearshelf/internal/system/detection"
	"github.com/pearshelf/pearshelf/internal/system/placement"
	"github.com/pearshelf/pearshelf/internal/system/rotation"
	"github.com/pearshelf/pearshelf/internal/verdict"
	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	// JoinTimeout is how long a new host waits for a response from its peers
	// before it relies on the platform alone.
	JoinTimeout = 3 * time.Second
	// SettleDelay is how long a new host that knows of other hosts treats its
	// host list as incomplete.
	SettleDelay = 1 * time.Second
)

// Effects carries out the actions requested by a tick. Calls must not block.
type Effects interface {
	Send(packets []membership.Packet)
	Fetch(f world.Fetch)
	Probe(p world.Probe)
	SyncWith(address string)
	Event(e event.Event)
	// SetReading sets whether this host should watch the platform.
	SetReading(reader bool)
	// StopRequested is called on each tick while an operator's stop directive
	// for this host is in force.
	StopRequested()
	// Ticked is called after each scheduled tick with its duration.
	Ticked(d time.Duration, w *world.World)
}

// Config configures an Engine.
type Config struct {
	Self world.Identity
	// Tick is the interval at which the systems run.
	Tick time.Duration
	// Freshness is the longest pause of the process after which the view is
	// still trusted.
	Freshness  time.Duration
	Membership membership.Config
	// Seeds are the addresses of hosts to contact at start-up.
	Seeds []string
	// Forwarding is whether requests are forwarded to owner hosts, which divide
	// the slots of the backend servers among themselves.
	Forwarding bool
	// RequiredDocuments are the keys of the platform documents that a host requires. If
	// nil, it uses the built-in index and host list.
	RequiredDocuments []string
	// DirectAfter and DirectSpread are passed to configsync.Config.
	DirectAfter  time.Duration
	DirectSpread time.Duration
	// Seed seeds all random choices.
	Seed uint64
	// Suspended returns the total time that the machine has been suspended since
	// boot. It defaults to boottime.Suspended.
	Suspended func() time.Duration
	// BeforeTick, if set, is called before each scheduled tick. Tests block in
	// it to freeze a host.
	BeforeTick func()
}

// Engine is the control loop of a host.
type Engine struct {
	conf    Config
	clock   *hlc.Clock
	effects Effects

	world     *world.World
	queue     *gossip.Queue
	members   *membership.List
	detection *detection.System
	documents *configsync.System
	systems   []world.System
	views     *viewBuilder

	inbox    chan func(now time.Time)
	snapshot atomic.Pointer[world.Snapshot]

	lastTick  time.Time
	freshness freshness
	synced    bool // a peer has completed a full state sync
	ready     bool
	readyCh   chan struct{} // closed when this host becomes ready
	peers     []string      // addresses of other hosts, as of the current tick
	// joinedHosts are the hosts that have joined since the last tick.
	joinedHosts   []string
	headAnnounced bool // another host has announced a document revision since the last tick
	hellos        hellos
	rng           *rand.Rand
}

// rngStream separates the engine's random numbers from those of other parts.
const rngStream = 96

// New returns an engine whose start time is now.
func New(conf Config, clock *hlc.Clock, effects Effects, now time.Time) *Engine {
	e := &Engine{
		conf:      conf,
		clock:     clock,
		effects:   effects,
		world:     world.New(conf.Self, clock, now),
		queue:     gossip.NewQueue(),
		detection: detection.New(),
		views:     newViewBuilder(conf.Forwarding),
		inbox:     make(chan func(time.Time), inboxSize),
		lastTick:  now,
		readyCh:   make(chan struct{}),
		rng:       rand.New(rand.NewPCG(conf.Seed, rngStream)),
	}
	if e.conf.Suspended == nil {
		e.conf.Suspended = boottime.Suspended
	}
	e.world.Suspended = e.conf.Suspended()
	conf.Membership.Hellos = conf.RequiredDocuments != nil
	e.members = membership.New(conf.Membership, e, e.queue, now)
	e.world.DirectPicking = !conf.Forwarding
	if conf.RequiredDocuments != nil {
		e.world.Required = conf.RequiredDocuments
		e.world.Polled = conf.RequiredDocuments
		e.world.ActiveReaders = 1 // other hosts take over if it fails
	}
	e.documents = configsync.New(now, configsync.Config{
		Seed:           conf.Seed,
		DirectAfter:    conf.DirectAfter,
		DirectSpread:   conf.DirectSpread,
		IsSeed:         slices.Contains(conf.Seeds, conf.Self.Address),
		ReaderFailover: conf.RequiredDocuments != nil,
	})
	e.systems = []world.System{placement.System{}, e.documents}
	if conf.Forwarding { // otherwise the balancer judges the backend servers
		e.systems = append(e.systems, e.detection)
	}
	e.systems = append(e.systems, rotation.System{})
	e.peers = e.peerAddresses()
	self := e.members.Member(conf.Self.Host)
	e.world.Hosts[self.Host] = newHost(self)
	e.world.HostsChanged = true
	e.publish(now)
	return e
}

// Snapshot returns the latest published snapshot.
func (e *Engine) Snapshot() *world.Snapshot { return e.snapshot.Load() }

// Step runs one tick.
func (e *Engine) Step(now time.Time) {
	e.detectPause(now)
	e.headAnnounced = false
	e.peers = e.peerAddresses()
	e.world.Settled = e.hostListComplete(now)
	e.expireRegisters(now)
	e.recordJoined(now)
	for _, system := range e.systems {
		system.Run(e.world, now)
	}
	e.updateFreshness(now)
	if e.conf.Forwarding { // otherwise the balancer knows
		e.SetPathLost(now, e.world.NetworkSuspect)
	}
	e.dispatchOutbox(now)
	e.greet(now)
	e.effects.Send(e.members.Tick(now))
	for _, address := range e.members.SyncTargets(now, e.peers) {
		e.effects.SyncWith(address)
	}
	e.effects.SetReading(configsync.IsReader(e.world))
	if e.stopRequested() {
		e.effects.StopRequested()
	}
	wasReady := e.ready
	e.publish(now)
	if e.ready && !wasReady {
		e.dispatchOutbox(now) // the event; until the next tick it would be late by the tick's interval
	}
}

// stopRequested reports whether an operator has asked this process to stop.
// Directives issued to an earlier process with the same host name are ignored.
func (e *Engine) stopRequested() bool {
	r, ok := e.world.Registers.Get(directive.Key(directive.KindStop, e.conf.Self.Host))
	return ok && r.Stamp.Clock > uint64(hlc.FromTime(e.world.StartedAt))
}

func (e *Engine) expireRegisters(now time.Time) {
	for _, r := range e.world.Registers.Expire(now) {
		e.markChanged(r)
	}
}

// markChanged marks the state affected by a changed register for rebuilding.
func (e *Engine) markChanged(r *peerpb.Register) {
	if configsync.IsHead(r) {
		e.headAnnounced = true
		return
	}
	if quarantine.Is(r) {
		e.world.QuarantineChanged = true
		return
	}
	if ratelimit.Is(r) {
		e.world.RateLimitsChanged = true
		return
	}
	if service, ok := verdict.ServiceOf(r); ok {
		e.markDirty(service)
		return
	}
	if directive.Is(r) {
		_, target := directive.Target(r)
		e.markDirty(serviceOfTarget(target))
	}
}

func (e *Engine) markDirty(service string) {
	if svc, ok := e.world.Services[service]; ok {
		svc.Dirty = true
	}
}

func (e *Engine) peerAddresses() []string {
	addresses := append([]string(nil), e.conf.Seeds...)
	for _, h := range e.world.HostList.Hosts {
		addresses = append(addresses, h.Address)
	}
	return slices.DeleteFunc(addresses, func(address string) bool { return address == e.conf.Self.Address })
}

func (e *Engine) dispatchOutbox(now time.Time) {
	out := e.world.Outbox.Take()
	for _, ev := range out.Events {
		e.effects.Event(ev)
	}
	for _, r := range out.Registers {
		e.queue.AddRegister(r)
	}
	for _, u := range out.Urgent {
		e.sendAll(u.To, &peerpb.Datagram{Kind: peerpb.Datagram_KIND_GOSSIP, Registers: []*peerpb.Register{u.Register}})
	}
	for _, report := range out.Evidence {
		e.sendAll(report.To, &peerpb.Datagram{Kind: peerpb.Datagram_KIND_EVIDENCE, Evidence: report.Evidence})
	}
	for _, beat := range out.Heartbeats {
		e.sendAll(beat.To, beat.Datagram)
	}
	for _, f := range out.Fetches {
		e.effects.Fetch(f)
	}
	for _, p := range out.Probes {
		e.effects.Probe(p)
	}
}

func (e *Engine) sendAll(hosts []string, d *peerpb.Datagram) {
	d.From = e.conf.Self.Host
	d.Clock = uint64(e.clock.Now(e.lastTick))
	packets := make([]membership.Packet, 0, len(hosts))
	for _, host := range hosts {
		h, ok := e.world.Hosts[host]
		if ok && host != e.conf.Self.Host {
			packets = append(packets, membership.Packet{To: h.Address, Datagram: d})
		}
	}
	e.effects.Send(packets)
}

func (e *Engine) publish(now time.Time) {
	w := e.world
	if !e.ready && e.isReady(now) {
		e.ready = true
		defer close(e.readyCh) // after the snapshot with Ready set is published
		w.Record(now, event.HostReady, "", "", "")
	}
	if !e.isStale() {
		w.FreshUntil = now.Add(e.conf.Freshness)
	}
	e.snapshot.Store(e.views.build(w, now, e.ready))
}

func (e *Engine) isReady(now time.Time) bool {
	return (e.joined(now) || e.conf.RequiredDocuments != nil) && configsync.UpToDate(e.world)
}

// hostListComplete reports whether the host list may be considered complete.
func (e *Engine) hostListComplete(now time.Time) bool {
	return len(e.peers) == 0 || e.joined(now) && now.Sub(e.world.StartedAt) >= SettleDelay
}

// joined reports whether a peer has answered, or there is none to wait for.
func (e *Engine) joined(now time.Time) bool {
	return e.synced || len(e.peers) == 0 || now.Sub(e.world.StartedAt) > JoinTimeout
}

// WhenReady returns a channel that is closed once a configuration is in force.
func (e *Engine) WhenReady() <-chan struct{} { return e.readyCh }

// Ready reports whether a configuration is in force.
func (e *Engine) Ready() bool { return e.Snapshot().Ready }

// Interface guard.
var _ membership.Delegate = (*Engine)(nil)
