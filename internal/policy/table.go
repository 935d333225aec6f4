// Package policy implements request routing: it selects the backend server for a request, decides
// whether the request is retried, and when it is refused. Every host makes these decisions on its
// own. For each server a host tracks the probability that the server is failing (its belief), the
// requests in flight from this host and from the other hosts of the data centre, and the server's
// speed. Hosts exchange their observations (see Changes and Report), so that each knows nearly as
// much as a single host that handled all requests.
//
// The package uses no clock, lock, socket or unseeded random number: every call is given the time,
// and the same sequence of calls yields the same decisions. Package balance adds the lock and the
// clock for the daemon; experiment/replay runs the same code in simulated time. Each file covers
// one decision, and its comment names the load that it handles. docs/design/constants.md lists the
// alternatives that were evaluated and where the values come from.
package policy

import (
	"math/rand/v2"
	"time"

	"github.com/pearshelf/pearshelf/internal/fairshare"
	"github.com/pearshelf/pearshelf/internal/pathloss"
	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	// peerReportTTL is how long another host's in-flight count is used without an update. Hosts
	// send their counts every RefreshInterval.
	peerReportTTL = 1600 * time.Millisecond
	// reportedLoadHalfLife is the half-life of a load reported by a server. A request takes
	// about 250 ms.
	reportedLoadHalfLife = 200 * time.Millisecond
	// serviceLatencyWeight is the weight of one answer in the moving average of a service's
	// typical latency.
	serviceLatencyWeight = 0.05
	// defaultTypicalLatency is used until the first answer of a service.
	defaultTypicalLatency = 250 * time.Millisecond
	// pathBackoff is how long this host avoids a server that it cannot connect to; it doubles
	// with each further failure, up to maxPathBackoff.
	pathBackoff    = 500 * time.Millisecond
	maxPathBackoff = 4 * time.Second
)

type key struct{ service, backend string }

// peerLoad is the latest report of another host about a server.
type peerLoad struct {
	inFlight int
	at       time.Time
	counts   counts
	// oldest is when the oldest of the inFlight requests was sent, expected the latency that was
	// expected for it.
	oldest   time.Time
	expected time.Duration
	use      serverUse // recorded for the peer's last send
	// unreachableAt is when the peer last reported that it could not connect to the server.
	unreachableAt time.Time
}

// server is this host's state of one backend server.
type server struct {
	health   healthModel
	inFlight int
	pending  []*pending // the requests in inFlight
	counts   counts
	peers    map[string]*peerLoad
	// busyPeers are the peers that have requests in flight. Every pick reads this list for every
	// server, and it is short even where all hosts are peers.
	busyPeers []*peerLoad

	// unseenLoad is the part of the load reported at loadReportedAt that this host cannot account
	// for from its own requests and those of its peers.
	unseenLoad     float64
	loadReportedAt time.Time
	// loadToForward is the load that the server reported to this host since the last report to
	// peers, plus 1; 0 if there was none.
	loadToForward uint32
	// slowness is the ratio of the server's latency to what is typical for the routes.
	slowness float64
	// failedAt is when a request last failed on this server, at any host.
	failedAt time.Time
	// accused is the latest evidence of another host, for logs.
	accused accusation
	// lastSent is when a host of this data centre last sent the server a request that was not
	// later found unsent.
	lastSent time.Time
	// watch is the state of UseChanges for this server.
	watch usageWatch
	// joined is set if this host has observed the server joining.
	joined bool
	// slots is how many requests the server processes concurrently, 0 if unknown to this host.
	slots int
	// coldUntil is the end of the warm-up of a new server, during which it is expected to be slow.
	coldUntil time.Time
	// pathFailures counts consecutive connection failures from this host, which avoids the server
	// until pathUntil.
	pathFailures int
	pathUntil    time.Time
	// checkedAt is when this host last checked whether it reaches the server, reachedAt when it
	// last did, by a check or an answer, and answeredAt when the server last answered a host of
	// this data centre.
	checkedAt, reachedAt, answeredAt time.Time

	// started is the start time of the server's process in Unix milliseconds, 0 if unknown;
	// process counts the processes seen under the server's ID.
	started int64
	process int

	// dirty is set if the hosts of this data centre must be sent an update, failureUnsent if all
	// hosts must be.
	dirty         bool
	failureUnsent bool
}

// service is this host's state of one service.
type service struct {
	// typicalLatency is the time to the header of a good answer on an idle server, averaged over
	// all routes. latencies is the distribution of latencies relative to what was expected, and
	// unansweredShare the share of failures that brought no answer.
	typicalLatency  time.Duration
	latencies       latencyDistribution
	unansweredShare float64
	// ownSends counts this host's requests and retries. charged is what it spent on retries, given
	// what it gave to other hosts, in thousandths of a retry, for RetryRule.
	ownSends       sendCounts
	charged, given window
	budget         retryBudget
	needs          retryNeeds
	arrivals       arrivalCounts
	// asked is the host that was asked for a retry at askedAt, asksInVain the number of hosts asked
	// since the last gift. Requests do not wait for one until noWaitUntil.
	asked       string
	askedAt     time.Time
	asksInVain  int
	noWaitUntil time.Time
	// staleConnectionAt is when an idle connection to one of the service's servers last broke
	// under a request, at any host of this data centre.
	staleConnectionAt time.Time
	// served and unserved count the requests of this data centre, see coverage.go.
	served, unserved window
	// sends counts requests to the servers of this host's subset, by all hosts that use them.
	sends window
	// limited counts requests of this data centre that were refused beyond their customers' limits.
	limited window
	// late counts the served requests that were answered after their latency objective, see
	// admission.go.
	late window
	// remote are the latest outcomes of other data centres, by segment, see remoteoutcomes.go.
	remote map[uint32]remoteOutcomes
	// durations is what is learnt of how long the servers' failures last, nil if that is disabled.
	durations *durationModel
	// dutySends counts requests that this host sent to keep a server in use, see duty.go.
	dutySends uint64
	// priorities is the typical work of this host's requests by priority, in milliseconds.
	priorities map[int]*window
	// shares counts what customers requested and received, nil if no request had a customer.
	// refusedAt is when this host last refused a request, customersReportedAt when it last
	// reported shares, see fairness.go.
	shares              *fairshare.Ledger
	refusedAt           time.Time
	customersReportedAt time.Time
	// deadlines is the time allowed to requests, by route.
	deadlines map[string]routeDeadline
	// objectives is the latency objective of requests, by route.
	objectives map[string]routeObjective
	// totals are this host's counts over all servers; sharingHosts holds the latest totals of the
	// other hosts of its segment.
	totals        counts
	sharingHosts  map[string]*peerTotals
	dirty         bool
	beliefOptions beliefOptions
	// cachedUnansweredWeight is the value of unansweredWeight at unansweredWeightAt.
	cachedUnansweredWeight float64
	unansweredWeightAt     time.Time
}

// beliefOptions selects the evidence that the failure belief of a server is based on.
type beliefOptions struct{ outcomes, unanswered bool }

// Config configures a Table.
type Config struct {
	// Host is this host's name.
	Host  string
	Cost  CostRule
	Retry RetryRule
	// Random breaks ties between servers of equal cost. Hosts must use different seeds, or those
	// with equal views select the same servers.
	Random *rand.Rand
	// DeferralRatio is the multiple of a service's shortest latency objective from which on requests
	// wait in the host, DefaultDeferralRatio if 0.
	DeferralRatio float64
	// Without disables mechanisms, to measure their benefit.
	Without []Mechanism
}

// Table is the state that one host keeps of all services and servers. It is not safe for
// concurrent use.
type Table struct {
	conf         Config
	started      time.Time
	servers      map[key]*server
	services     map[string]*service
	incarnations map[string]uint64    // of other hosts, by host name
	heardAt      map[string]time.Time // last report of each host of this data centre, by name
	routes       map[string]*route    // by Request.Group
	// fleetSize is the largest number of hosts that were ever live at the same time, see
	// Request.FleetSize.
	fleetSize int

	// waiting are this host's requests that have not ended.
	waiting []*pending
	// path detects a loss of this host's path to the servers, see path.go. pathWasLost is set from
	// then until a server is reached.
	path        pathloss.Detector
	pathWasLost bool
	// pathFaultAt is when this host could last not connect to a server that answers others.
	pathFaultAt time.Time
	// witnesses is the latest round of checks of other servers, lostCheckAt when the path was last
	// checked while it was lost. knownServers is the number of servers that this host may use.
	witnesses    witnessRound
	lostCheckAt  time.Time
	knownServers int
	heldEvidence []heldEvidence
	// giftsReceived counts the gifts of retries from other hosts.
	giftsReceived uint64
}

// NewTable returns an empty table of a host that was started at now.
func NewTable(now time.Time, conf Config) *Table {
	return &Table{
		conf:         conf,
		started:      now,
		servers:      make(map[key]*server),
		services:     make(map[string]*service),
		incarnations: make(map[string]uint64),
		heardAt:      make(map[string]time.Time),
		routes:       make(map[string]*route),
	}
}

// service returns the state of a service, creating it if needed.
func (t *Table) service(name string) *service {
	svc, ok := t.services[name]
	if !ok {
		svc = &service{typicalLatency: defaultTypicalLatency, latencies: newLatencyDistribution(), unansweredShare: priorUnansweredShare, sharingHosts: make(map[string]*peerTotals), priorities: make(map[int]*window), deadlines: make(map[string]routeDeadline), objectives: make(map[string]routeObjective), remote: make(map[uint32]remoteOutcomes)}
		svc.beliefOptions = beliefOptions{outcomes: t.has(MechanismFailureModel), unanswered: t.has(MechanismUnanswered)}
		if t.has(MechanismLearntDurations) {
			svc.durations = newDurationModel()
		}
		t.services[name] = svc
	}
	return svc
}

// state returns the state of a server, creating it if needed. view is nil if the server is known
// only from another host's report.
func (t *Table) state(now time.Time, k key, view *world.BackendView) *server {
	s, ok := t.servers[k]
	if ok {
		if view != nil {
			t.refreshServer(now, s, view)
		}
		return s
	}
	s = &server{slowness: 1, peers: make(map[string]*peerLoad)}
	s.health = healthModel{probability: stationaryBelief, at: now, durations: t.service(k.service).durations}
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

// newServerPeriod is how long after joining a server is treated as newly started. A server that is
// new to this host is not necessarily a new one: subsets change whenever hosts or servers join or
// leave.
const newServerPeriod = 10 * time.Second

func joinedRecently(now time.Time, view *world.BackendView) bool {
	return !view.JoinedAt.IsZero() && now.Sub(view.JoinedAt) < newServerPeriod
}

// markCold treats a server as newly started: most likely healthy, and slow while it warms up.
func (t *Table) markCold(now time.Time, s *server, view *world.BackendView) {
	if t.has(MechanismColdStart) {
		s.health.probability = newServerBelief
		s.coldUntil = now.Add(view.Warmup)
	}
}

// refreshServer applies the current configuration of a server. If its process was restarted,
// everything learned about the previous process is discarded; the counts continue, because other
// hosts derive outcomes from their increments.
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
	fresh := &server{slowness: 1, peers: s.peers, counts: s.counts, slots: s.slots, started: s.started, process: s.process + 1, lastSent: s.lastSent, watch: s.watch, checkedAt: s.checkedAt}
	fresh.health = healthModel{probability: stationaryBelief, at: now, durations: s.health.durations}
	for _, peer := range s.peers {
		peer.inFlight = 0
	}
	t.markCold(now, fresh, view)
	*s = *fresh
}

// recordReportedLoad keeps the part of a reported load that exceeds the known requests: it comes
// from hosts that do not report to this one.
func (s *server) recordReportedLoad(now time.Time, load int) {
	s.unseenLoad = max(float64(load-s.knownInFlight(now))-1, 0)
	s.loadReportedAt = now
}

// knownInFlight returns the number of requests in flight from this host and from its peers.
func (s *server) knownInFlight(now time.Time) int {
	total := s.inFlight
	for _, p := range s.busyPeers {
		if now.Sub(p.at) < peerReportTTL {
			total += p.inFlight
		}
	}
	return total
}

// load estimates how many requests the server is processing or queueing.
func (s *server) load(now time.Time) float64 {
	return float64(s.knownInFlight(now)) + s.unseenLoad*decay(now.Sub(s.loadReportedAt), reportedLoadHalfLife)
}
