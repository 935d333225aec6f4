// Package policy decides where a request goes, whether it is sent again and when
// it is refused, where every host picks by itself. It keeps, for each server, the
// belief that it is in a spell of failures, the requests in flight from this host
// and from the others of the data centre, and its speed. Hosts tell each other
// what they see (see Changes and Report), so that each knows nearly as much as
// one host that saw all requests.
//
// The package has no clock, lock, socket or unseeded random number: each call
// takes the time, and the same calls bring the same decisions. Package balance
// holds lock and clock for the daemon; experiment/replay drives the same code in
// simulated time. A file holds one decision; its comment names the load that it
// answers. docs/design/constants.md tells what else was weighed, and where values come
// from.
package policy

import (
	"math/rand/v2"
	"time"

	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	// peerReportTTL is how long another host's in-flight count holds without news.
	// Counts are told again each RefreshEvery.
	peerReportTTL = 1600 * time.Millisecond
	// reportedLoadHalfLife is how fast the load that a server told loses its weight: a
	// request takes some 250 ms.
	reportedLoadHalfLife = 200 * time.Millisecond
	// serviceLatencyWeight is the weight of one answer in the usual time of a service.
	serviceLatencyWeight = 0.05
	// defaultTypicalLatency is the time of a request before any answer.
	defaultTypicalLatency = 250 * time.Millisecond
	// pathBackoff is how long a server that this host cannot reach is avoided here,
	// doubled for each further failure up to maxPathHold.
	pathBackoff    = 500 * time.Millisecond
	maxPathBackoff = 4 * time.Second
)

type key struct{ service, backend string }

// peerLoad is what another host last told of a server.
type peerLoad struct {
	inFlight int
	at       time.Time
	counts   counts
	// oldest is since when the oldest of inFlight waits, expected how long it was
	// expected to take.
	oldest   time.Time
	expected time.Duration
	use      serverUse // of the server by its last send
}

// server is one row of the table.
type server struct {
	health   healthModel
	inFlight int
	pending  []*pending // of inFlight, this host's
	counts   counts
	peers    map[string]*peerLoad
	// busyPeers are those of peers that have a request in flight: few, where peers are
	// all hosts. Each pick looks at them for each server.
	busyPeers []*peerLoad

	// unseenLoad is the load beyond what is known here, as told at toldAt.
	unseenLoad     float64
	loadReportedAt time.Time
	// loadToForward is the load that the server told this host since its last report,
	// plus 1; 0 for nothing told.
	loadToForward uint32
	// slowness is the time of its answers against what is usual for their routes.
	slowness float64
	// failedAt is when a request last failed there, at any host.
	failedAt time.Time
	// lastSent is when a host of this data centre last sent a request there that it has not
	// found unsent since.
	lastSent time.Time
	// watch is what UseChanges has seen of it.
	watch usageWatch
	// joined is set for a server that this host has seen join.
	joined bool
	// slots are how many requests it works on at a time, 0 if unknown here.
	slots int
	// coldUntil is until when a new server is slow.
	coldUntil time.Time
	// pathFailures in a row from this host; avoided until pathUntil.
	pathFailures int
	pathUntil    time.Time

	// started is when its process started, in Unix milliseconds, 0 if not told, and
	// process counts the processes seen under the server's ID.
	started int64
	process int

	// dirty: others of the data centre must be told. failing: all hosts.
	dirty         bool
	failureUnsent bool
}

// service is what is known of a service as a whole.
type service struct {
	// typicalLatency is the typicalLatency time to the header of a good answer at an idle server,
	// whatever its route. times is how answers spread about their expected time,
	// silentShare the part of failures without an answer.
	typicalLatency  time.Duration
	latencies       latencyDistribution
	unansweredShare float64
	// ownSends is what this host sent, for RetryRule.
	ownSends sendCounts
	// staleConnectionAt is when an idle connection to one of its servers last broke under a
	// request, at this host or another of the data centre.
	staleConnectionAt time.Time
	// served and unserved requests of this data centre, for breadth.
	served, unserved window
	// sends to the servers of this host's subset, by all hosts that use them.
	sends window
	// limited requests of this data centre, refused beyond their customers' limits.
	limited window
	// late of served, for admission.
	late window
	// priorities is the usual work of this host's requests by rank, in milliseconds.
	priorities map[int]*window
	// deadlines is the time that requests have, by route.
	deadlines map[string]routeDeadline
	// totals are this host's counts over all servers, near what the hosts that share
	// the service's allowance last told.
	totals        counts
	sharingHosts  map[string]*peerTotals
	dirty         bool
	beliefOptions beliefOptions
	// cachedUnansweredWeight is calm as of calmAt.
	cachedUnansweredWeight float64
	unansweredWeightAt     time.Time
}

// beliefOptions is what a belief goes by.
type beliefOptions struct{ outcomes, unanswered bool }

// Config of a Table.
type Config struct {
	Cost  CostRule
	Retry RetryRule
	// Random breaks ties between servers of equal cost. Hosts must not share a
	// seed, or those with equal views choose alike.
	Random *rand.Rand
	// Without leaves mechanisms out, to measure what they are worth.
	Without []Mechanism
}

// Table is what one host knows of all services. It is not safe for concurrent
// use.
type Table struct {
	conf         Config
	started      time.Time
	servers      map[key]*server
	services     map[string]*service
	incarnations map[string]uint64 // of the other hosts, by name
	routes       map[string]*route // by Request.Group
}

// NewTable returns an empty table of a host that started at now.
func NewTable(now time.Time, conf Config) *Table {
	return &Table{
		conf:         conf,
		started:      now,
		servers:      make(map[key]*server),
		services:     make(map[string]*service),
		incarnations: make(map[string]uint64),
		routes:       make(map[string]*route),
	}
}

// service returns a service's row, made if absent.
func (t *Table) service(name string) *service {
	svc, ok := t.services[name]
	if !ok {
		svc = &service{typicalLatency: defaultTypicalLatency, latencies: newLatencyDistribution(), unansweredShare: priorUnansweredShare, sharingHosts: make(map[string]*peerTotals), priorities: make(map[int]*window), deadlines: make(map[string]routeDeadline)}
		svc.beliefOptions = beliefOptions{outcomes: t.has(MechanismSpells), unanswered: t.has(MechanismUnanswered)}
		t.services[name] = svc
	}
	return svc
}

// state returns a state's state, made if absent. view is nil where another host tells of the
// state.
func (t *Table) state(now time.Time, k key, view *world.BackendView) *server {
	s, ok := t.servers[k]
	if ok {
		if view != nil {
			t.refreshServer(now, s, view)
		}
		return s
	}
	s = &server{slowness: 1, peers: make(map[string]*peerLoad)}
	s.health = healthModel{probability: stationaryBelief, at: now}
	if view != nil {
		s.slots = view.Slots
		s.started = view.Started
	}
	if view != nil && joinedRecently(now, view) {
		t.markCold(now, s, view)
		s.joined = true
	}
	t.servers[k] = s
	return s
}

// newServerPeriod is for how long a server counts as one that has just started after it joined. A server
// that this host meets for the first time may be an old one: subsets move whenever hosts or
// servers come and go.
const newServerPeriod = 10 * time.Second

func joinedRecently(now time.Time, view *world.BackendView) bool {
	return !view.JoinedAt.IsZero() && now.Sub(view.JoinedAt) < newServerPeriod
}

// markCold holds a server for one that has just started.
func (t *Table) markCold(now time.Time, s *server, view *world.BackendView) {
	if t.has(MechanismColdStart) {
		s.health.probability = newServerBelief
		s.coldUntil = now.Add(view.Warmup)
	}
}

// refreshServer takes what the configuration says of a server now. If its process has started
// again, nothing that was learnt of the earlier one holds; counts go on, because other
// hosts learn from their growth.
func (t *Table) refreshServer(now time.Time, s *server, view *world.BackendView) {
	s.slots = view.Slots
	if view.Started == 0 || view.Started == s.started {
		return
	}
	restarted := s.started != 0
	s.started = view.Started
	if !restarted {
		return
	}
	fresh := &server{slowness: 1, peers: s.peers, counts: s.counts, slots: s.slots, started: s.started, process: s.process + 1, lastSent: s.lastSent, watch: s.watch}
	fresh.health = healthModel{probability: stationaryBelief, at: now}
	for _, peer := range s.peers {
		peer.inFlight = 0
	}
	t.markCold(now, fresh, view)
	*s = *fresh
}

// recordReportedLoad keeps what the told load exceeds the known one by: requests of
// hosts that this one does not hear.
func (s *server) recordReportedLoad(now time.Time, load int) {
	s.unseenLoad = max(float64(load-s.knownInFlight(now))-1, 0)
	s.loadReportedAt = now
}

// knownInFlight is the number of requests in flight from this host and those it hears.
func (s *server) knownInFlight(now time.Time) int {
	total := s.inFlight
	for _, p := range s.busyPeers {
		if now.Sub(p.at) < peerReportTTL {
			total += p.inFlight
		}
	}
	return total
}

// load estimates how many requests the server has now.
func (s *server) load(now time.Time) float64 {
	return float64(s.knownInFlight(now)) + s.unseenLoad*decay(now.Sub(s.loadReportedAt), reportedLoadHalfLife)
}
