// Package daemon assembles the components of a host and runs its listeners.
package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearshelf/pearshelf/internal/admin"
	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/availability"
	"github.com/pearshelf/pearshelf/internal/balance"
	"github.com/pearshelf/pearshelf/internal/boottime"
	"github.com/pearshelf/pearshelf/internal/bus"
	"github.com/pearshelf/pearshelf/internal/claims"
	"github.com/pearshelf/pearshelf/internal/clientlimit"
	"github.com/pearshelf/pearshelf/internal/crosszone"
	"github.com/pearshelf/pearshelf/internal/dispatch"
	"github.com/pearshelf/pearshelf/internal/engine"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/frontend"
	"github.com/pearshelf/pearshelf/internal/handover"
	"github.com/pearshelf/pearshelf/internal/hlc"
	"github.com/pearshelf/pearshelf/internal/membership"
	"github.com/pearshelf/pearshelf/internal/memory"
	"github.com/pearshelf/pearshelf/internal/metrics"
	"github.com/pearshelf/pearshelf/internal/peer"
	"github.com/pearshelf/pearshelf/internal/platform"
	"github.com/pearshelf/pearshelf/internal/policy"
	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/internal/settings"
	"github.com/pearshelf/pearshelf/internal/upstream"
	"github.com/pearshelf/pearshelf/internal/world"
)

// Hooks let tests block a host at defined points of its execution.
type Hooks struct {
	// BeforeWrite is called before a request is sent to a backend server; see dispatch.Config.
	BeforeWrite func(*dispatch.Request)
	// BeforeTick is called before each scheduled tick of the control loop.
	BeforeTick func()
	// DialServer replaces net.Dialer for connections to backend servers, to simulate a fault of
	// this host's path to them.
	DialServer upstream.DialFunc
}

// Adapter connects a host to a platform other than the built-in one.
type Adapter struct {
	// Source provides the configuration.
	Source platform.Source
	// Protocol defines the headers exchanged with callers and backend servers.
	Protocol *protocol.Protocol
}

// Daemon runs one host of the fleet.
type Daemon struct {
	settings *settings.Settings
	hooks    Hooks
	protocol *protocol.Protocol
	registry *prometheus.Registry
	metrics  *metrics.Metrics
	clock    *hlc.Clock
	events   *event.Log

	bus             *bus.Bus
	engine          *engine.Engine
	datagrams       *peer.Datagrams
	clients         *peer.Clients
	platform        platform.Source
	claims          *claims.Table
	observer        *observer
	platformWatcher *platformWatcher
	backends        *upstream.Transport
	liveness        *upstream.LivenessChecker
	dialServer      upstream.DialFunc // opens connections to backend servers
	owners          *upstream.Transport
	probes          *http.Client

	loadRelay loadRelay
	balance   *balance.Table // nil if requests are forwarded to owner hosts
	// informed is closed once requests need not wait for what other hosts know.
	informed chan struct{}
	servers  *availability.Table
	limiter  *limiter
	guard    *contentGuard

	rateLimits *rateLimiter
	memory     *memory.Budget
	crossZone  crosszone.Counter

	clientLimiter *clientlimit.Limiter
	connections   clientlimit.Shares

	callerServer   *http.Server
	readyServer    *http.Server // nil if the caller listener serves readiness checks
	peerServer     *http.Server
	operatorServer *http.Server
	listeners      listeners

	ctx           context.Context
	cancel        context.CancelFunc
	wg            sync.WaitGroup
	stopOnce      sync.Once
	stopRequested chan struct{}
}

// listeners holds the host's open TCP listeners.
type listeners struct {
	caller   net.Listener
	ready    net.Listener // nil unless caller.ready_listen is set
	peer     net.Listener
	operator net.Listener
}

// New opens the sockets and returns a host that uses the built-in platform.
// Start runs it.
func New(s *settings.Settings, hooks Hooks) (*Daemon, error) {
	adapter := Adapter{Source: platform.NewClient(s.Platform.Address), Protocol: protocol.Default()}
	return NewWithAdapter(s, hooks, adapter)
}

// NewWithAdapter is like New but uses the given platform adapter.
func NewWithAdapter(s *settings.Settings, hooks Hooks, adapter Adapter) (*Daemon, error) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		settings:      s,
		hooks:         hooks,
		protocol:      adapter.Protocol,
		platform:      adapter.Source,
		registry:      prometheus.NewRegistry(),
		clock:         &hlc.Clock{},
		ctx:           ctx,
		cancel:        cancel,
		stopRequested: make(chan struct{}),
		informed:      make(chan struct{}),
	}
	d.metrics = metrics.New(d.registry)
	d.events = event.NewLog(s.Host, d.clock, settings.DefaultEventLogCapacity)
	d.memory = memory.NewBudget(s.MemoryBytes())
	steps := []func() error{d.makeClientLimiter, d.openSockets, d.makeBus, d.makeClients, d.makeEngine, d.makeServers}
	for _, step := range steps {
		if err := step(); err != nil {
			d.closeSockets()
			cancel()
			return nil, err
		}
	}
	return d, nil
}

func (d *Daemon) openSockets() error {
	var err error
	if d.listeners.caller, err = d.listen("caller.listen", d.settings.Caller.Listen, d.connections.Callers); err != nil {
		return err
	}
	if address := d.settings.Caller.ReadyListen; address != "" {
		if d.listeners.ready, err = d.listen("caller.ready_listen", address, d.connections.Readiness); err != nil {
			return err
		}
	}
	if err := d.openPeerSockets(); err != nil {
		return err
	}
	if d.listeners.operator, err = d.listen("operator.listen", d.settings.Operator.Listen, d.connections.Operators); err != nil {
		return err
	}
	if d.settings.Peer.Advertise == d.settings.Peer.Listen {
		d.settings.Peer.Advertise = d.listeners.peer.Addr().String()
	}
	return nil
}

// maxPortAttempts bounds the search for a port that is free for both TCP and UDP
// if the settings ask for any port (port 0).
const maxPortAttempts = 20

// openPeerSockets opens the peer listeners for calls (TCP) and datagrams (UDP) on
// the same port.
func (d *Daemon) openPeerSockets() error {
	var sealer *peer.Sealer
	var err error
	if path := d.settings.Peer.DatagramKeyFile; path != "" {
		if sealer, err = peer.LoadSealer(path); err != nil {
			return err
		}
	}
	attempts := 1
	if strings.HasSuffix(d.settings.Peer.Listen, ":0") {
		attempts = maxPortAttempts
	}
	for range attempts {
		if d.listeners.peer, err = d.listen("peer.listen", d.settings.Peer.Listen, d.connections.Peers); err != nil {
			return err
		}
		if d.datagrams, err = peer.ListenDatagrams(d.listeners.peer.Addr().String(), sealer); err == nil {
			return nil
		}
		d.listeners.peer.Close()
	}
	return err
}

func (d *Daemon) listen(field, address string, maxConns int) (net.Listener, error) {
	l, err := d.connections.ListenTCP(address, maxConns)
	if err != nil {
		return nil, errs.Wrap(err, errs.KindSettings, "cannot open listener", "free the port or change "+field)
	}
	return l, nil
}

func (d *Daemon) closeSockets() {
	for _, l := range []net.Listener{d.listeners.caller, d.listeners.ready, d.listeners.peer, d.listeners.operator} {
		if l != nil {
			l.Close()
		}
	}
	if d.datagrams != nil {
		d.datagrams.Close()
	}
}

func (d *Daemon) makeClients() error {
	tlsConf, err := peer.MutualTLS(d.settings.Peer.TLS)
	if err != nil {
		return err
	}
	buffers := clientlimit.NewDialBuffers(d.settings.MemoryBytes())
	d.dialServer = buffers.Limit(serverDial(d.settings.Backend, d.hooks))
	d.clients = peer.NewClients(tlsConf)
	d.backends = upstream.NewTransport(upstream.Config{
		DialTimeout: time.Duration(d.settings.Backend.DialTimeout),
		Dial:        d.dialServer,
		OnDial:      d.metrics.ServerConnection,

		MaxIdleConns: d.connections.Idle,
	})
	d.liveness = upstream.NewLivenessChecker(d.dialServer)
	d.owners = upstream.NewTransport(upstream.Config{
		Dial:         buffers.Limit((&net.Dialer{}).DialContext),
		Meter:        d.relayMeter,
		TLS:          tlsConf,
		DialTimeout:  min(time.Duration(d.settings.Backend.DialTimeout), upstream.DefaultDialTimeout),
		MaxHeadBytes: upstream.MaxHostHeadBytes,
		MaxIdleConns: d.connections.Idle,
	})
	d.probes = newProbeClient(d.dialServer)
	d.platformWatcher = &platformWatcher{d: d}
	d.observer = newObserver(d.bus, d.metrics, d.events, time.Duration(d.settings.Timing.Tick)/2)
	d.observer.disabled = !*d.settings.Forwarding
	return nil
}

// newProbeClient returns the client for health checks. Each opens a connection of its own.
func newProbeClient(dial upstream.DialFunc) *http.Client {
	transport := upstream.NewHTTPTransport(dial, upstream.MaxHeadBytes)
	transport.DisableKeepAlives = true
	return &http.Client{Transport: transport}
}

// serverDial returns the function that opens connections to backend servers.
func serverDial(conf settings.Backend, hooks Hooks) upstream.DialFunc {
	if hooks.DialServer != nil {
		return hooks.DialServer
	}
	dialer := &net.Dialer{}
	if conf.LocalAddress != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(conf.LocalAddress)}
	}
	return dialer.DialContext
}

func (d *Daemon) makeEngine() error {
	t := d.settings.Timing
	self := world.Identity{Host: d.settings.Host, Address: d.settings.Peer.Advertise, DataCentre: d.settings.DataCentre}
	seed := xxhash.Sum64String(self.Host + self.Address)
	now := time.Now()
	d.engine = engine.New(engine.Config{
		Self:              self,
		Tick:              time.Duration(t.Tick),
		Freshness:         time.Duration(t.Freshness),
		Seeds:             d.settings.Peer.Seeds,
		Forwarding:        *d.settings.Forwarding,
		RequiredDocuments: d.platform.Documents(),
		DirectAfter:       time.Duration(d.settings.Platform.DirectAfter),
		DirectSpread:      time.Duration(d.settings.Platform.DirectSpread),
		Seed:              seed,
		Membership: membership.Config{
			Host:           self.Host,
			Address:        self.Address,
			DataCentre:     self.DataCentre,
			Capacity:       uint32(1000 * d.settings.Cores),
			Path:           peerpb.PathState_PATH_STATE_WORKING,
			RelaysLoads:    !*d.settings.Forwarding,
			ProbeInterval:  time.Duration(t.ProbeInterval),
			ProbeTimeout:   time.Duration(t.ProbeTimeout),
			GossipInterval: time.Duration(t.GossipInterval),
			Seed:           seed,
		},
		BeforeTick: d.hooks.BeforeTick,
	}, d.clock, &effects{d: d}, now)
	d.datagrams.OnSent(func(address string, kind peerpb.Datagram_Kind, bytes int) {
		d.countSent(peer.KindName(kind.String()), address, bytes)
	})
	if !*d.settings.Forwarding {
		d.balance = balance.NewTable(time.Now, policy.Config{
			Host:    d.settings.Host,
			Cost:    policy.DefaultCostRule(),
			Without: d.settings.DisabledMechanisms(),

			DeferralRatio: d.settings.Scheduling.WaitQueue.DeferralRatio,
			Retry: policy.RetryRule{
				Share:   d.settings.Retry.FleetShare,
				Reserve: d.settings.Retry.FleetReserve,
				Window:  time.Duration(d.settings.Retry.Window),
			},
		})
		d.metrics.RegisterBalance(d.balance)
		d.metrics.RegisterWaiting(d.balance.WaitingUsage)
	}
	d.servers = availability.NewTable(boottime.Now)
	d.limiter = newCustomerLimiter(d, rand.Uint64())
	d.rateLimits = newRateLimiter(d, rand.Uint64())
	d.guard = newContentGuard(d)
	d.metrics.RegisterHeldBytes(d.memory.InUse)
	d.metrics.RegisterControl(d.datagrams)
	d.metrics.RegisterCrossZone(&d.crossZone)
	d.metrics.RegisterCustomerLimits(d.limiter)
	d.claims = claims.NewTable(time.Duration(t.ClaimHorizon), d.settings.MemoryBytes(), time.Now)
	return nil
}

func (d *Daemon) dispatcher() *dispatch.Dispatcher {
	scheme := "http"
	if d.settings.Peer.TLS.Enabled() {
		scheme = "https"
	}
	return dispatch.New(dispatch.Config{
		Forwarding:  *d.settings.Forwarding,
		PeerScheme:  scheme,
		Protocol:    d.protocol,
		Regions:     d.settings.Regions,
		BufferBytes: int64(d.settings.Backend.BufferBytes),
		ReplayBytes: int64(d.settings.Backend.ReplayBytes),
		BeforeWrite: d.hooks.BeforeWrite,
	}, dispatch.Dependencies{
		Snapshot: d.engine.Snapshot,
		Backends: d.backends,
		Liveness: d.liveness,
		Owners:   d.owners,
		Claims:   claims.NewCoordinator(d.settings.Host, d.claims, d.clients, time.Duration(d.settings.Timing.ClaimTimeout)),
		Observer: d.observer,
		Events:   d.events,
		Metrics:  d.metrics,
		Balance:  d.balance,

		Quarantine:   d.guard,
		Availability: d.servers,
		RateLimits:   d.rateLimits,
		Memory:       d.memory,
		CrossZone:    d.meter(crosszone.ServerRequest, crosszone.ServerResponse),
	})
}

// Start runs the host until Stop or Kill.
func (d *Daemon) Start() error {
	d.wg.Go(func() { _ = d.bus.Run(d.ctx) }) // returns when the context is cancelled
	<-d.bus.Running()
	d.events.Record(event.HostStarted, "", "", d.settings.DataCentre)
	if d.settings.Peer.Insecure {
		d.events.Record(event.InsecureListener, "", "", "peer: plaintext by peer.insecure")
	}
	if d.settings.Operator.Insecure {
		d.events.Record(event.InsecureListener, "", "", "operator: plaintext by operator.insecure")
	}
	d.wg.Go(func() { d.datagrams.Receive(d.receive) })
	d.wg.Go(func() { d.crossZone.Run(d.ctx, d.settings.DataCentre, d.isFar) })
	d.wg.Go(func() { d.limiter.run(d.ctx) })
	d.wg.Go(func() { d.clientLimiter.Run(d.ctx) })
	d.wg.Go(func() { d.rateLimits.run(d.ctx) })
	leavingCheck := &rechecker{servers: d.servers, snapshot: d.engine.Snapshot, client: d.probes, protocol: d.protocol, events: d.events}
	d.wg.Go(func() { leavingCheck.Run(d.ctx) })
	if !d.observer.disabled {
		d.wg.Go(func() { d.observer.run(d.ctx) })
	}
	d.wg.Go(func() { d.engine.Run(d.ctx) })
	if d.balance != nil {
		reporter := &loadReporter{d: d, table: d.balance}
		d.wg.Go(func() { reporter.run(d.ctx) })
		useLog := newUseLog(d)
		d.wg.Go(func() { useLog.run(d.ctx) })
		paths := newPathChecker(d)
		d.wg.Go(func() { paths.run(d.ctx) })
		// Answers of up to all hosts asked may come after the exchange has ended.
		state := &handoverClient{d: d, answers: make(chan *peerpb.HandoverResponse, handover.MaxAsked)}
		d.wg.Go(func() { state.run(d.ctx) })
	} else {
		close(d.informed)
	}
	d.serve(d.callerServer, d.listeners.caller, listenerCallers, d.connections.Callers)
	if d.readyServer != nil {
		d.serve(d.readyServer, d.listeners.ready, listenerReadiness, d.connections.Readiness)
	}
	d.serve(d.peerServer, d.listeners.peer, listenerPeers, d.connections.Peers)
	d.serve(d.operatorServer, d.listeners.operator, listenerOperators, d.connections.Operators)
	return nil
}

// serve runs a server. The name of its listener is used in metrics.
func (d *Daemon) serve(server *http.Server, inner net.Listener, name string, maxConns int) {
	l := d.clientLimiter.Listen(inner, name, maxConns)
	d.wg.Go(func() {
		var err error
		if server.TLSConfig != nil {
			err = server.ServeTLS(l, "", "")
		} else {
			err = server.Serve(l)
		}
		if err != nil && !errors.Is(err, http.ErrServerClosed) && d.ctx.Err() == nil {
			d.events.Record(event.HostStopped, "", "", "listener failed: "+err.Error())
		}
	})
}

// Metrics returns the host's metrics.
func (d *Daemon) Metrics() *metrics.Metrics { return d.metrics }

// Ready reports whether the host has applied a configuration.
func (d *Daemon) Ready() bool { return d.engine.Ready() }

// Snapshot returns the latest snapshot of the host's state, for tests and the load
// tool.
func (d *Daemon) Snapshot() *world.Snapshot { return d.engine.Snapshot() }

// Engine returns the control loop, for tests and the load tool.
func (d *Daemon) Engine() *engine.Engine { return d.engine }

// Availability returns the availability states that backend servers have reported
// to this host.
func (d *Daemon) Availability() *availability.Table { return d.servers }

// HeldBytes returns the number of body bytes that this host buffers.
func (d *Daemon) HeldBytes() int64 { return d.memory.InUse() }

// Events returns the host's event log, a ring buffer.
func (d *Daemon) Events() *event.Log { return d.events }

// DatagramBytes returns the number of control datagram bytes sent and received.
func (d *Daemon) DatagramBytes() (sent, received uint64) { return d.datagrams.Bytes() }

// CallerAddress returns the IP:port of the caller listener.
func (d *Daemon) CallerAddress() string { return d.listeners.caller.Addr().String() }

// PeerAddress returns the IP:port of the peer listener.
func (d *Daemon) PeerAddress() string { return d.listeners.peer.Addr().String() }

// OperatorAddress returns the IP:port of the operator listener.
func (d *Daemon) OperatorAddress() string { return d.listeners.operator.Addr().String() }

// Interface guards.
var (
	_ admin.Engine        = (*engine.Engine)(nil)
	_ frontend.Dispatcher = (*dispatch.Dispatcher)(nil)
	_ claims.PeerClient   = (*peer.Clients)(nil)
)
