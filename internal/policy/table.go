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
// answers, what else was weighed, and where its limits come from.
package policy

import (
	"math/rand/v2"
	"time"

	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	// peerExpiry is how long another host's in-flight count holds without news.
	// Counts are told again each RefreshEvery.
	peerExpiry = 1600 * time.Millisecond
	// toldHalfLife is how fast the load that a server told loses its weight: a
	// request takes some 250 ms. In replays of overload 400 to 800 ms served 0.01 more,
	// on the users' bench 600 ms served less: worth 0.659 with trouble, 0.665 with 200.
	toldHalfLife = 200 * time.Millisecond
	// serviceGain is the weight of one answer in the usual time of a service.
	serviceGain = 0.05
	// defaultUsual is the time of a request before any answer.
	defaultUsual = 250 * time.Millisecond
	// pathHold is how long a server that this host cannot reach is avoided here,
	// doubled for each further failure up to maxPathHold.
	pathHold    = 500 * time.Millisecond
	maxPathHold = 4 * time.Second
)

// QuickErrorShare of a server's usual time ends what counts as an error at once.
// On calm days of both deployments errors in a spell took under 0.05 of it, nine
// in ten of the others over 0.2.
const QuickErrorShare = 0.12

// Outcome is what became of one request at a backend server.
type Outcome int

// Outcomes.
const (
	// Good: a whole answer that is no error of the server.
	Good Outcome = iota
	// Failed: an error, a reset, a wrong, cut or missing answer.
	Failed
	// lateError: an error after the usual time of a request's work. The table
	// tells it from Failed itself.
	lateError
	// staleConnection: a connection that had been idle broke as soon as a request
	// was sent on it. The table tells it from Failed itself.
	staleConnection
	// Unreachable: no connection could be made.
	Unreachable
	// Shed: the server refused the request for lack of room.
	Shed
	// Abandoned: given up without an answer, because another server's copy won or
	// the caller went away.
	Abandoned
	// Neutral: nothing was learnt.
	Neutral
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
}

// server is one row of the table.
type server struct {
	spell    spell
	inFlight int
	pending  []*pending // of inFlight, this host's
	counts   counts
	peers    map[string]*peerLoad
	// busy are those of peers that have a request in flight: few, where peers are
	// all hosts. Each pick looks at them for each server.
	busy []*peerLoad

	// toldExcess is the load beyond what is known here, as told at toldAt.
	toldExcess float64
	toldAt     time.Time
	// toldNow is the load that the server told this host since its last report,
	// plus 1; 0 for nothing told.
	toldNow uint32
	// slowness is the time of its answers against what is usual for their routes.
	slowness float64
	// failedAt is when a request last failed there, at any host.
	failedAt time.Time
	// lastSent is when a host of this data centre last sent a request there.
	lastSent time.Time
	// slots are how many requests it works on at a time, 0 if unknown here.
	slots int
	// coldUntil is until when a new server is slow.
	coldUntil time.Time
	// pathFailures in a row from this host; avoided until pathUntil.
	pathFailures int
	pathUntil    time.Time

	// dirty: others of the data centre must be told. failing: all hosts.
	dirty   bool
	failing bool
}

// service is what is known of a service as a whole.
type service struct {
	// usual is the usual time to the header of a good answer at an idle server,
	// whatever its route. times is how answers spread about their expected time,
	// silentShare the part of failures without an answer.
	usual       time.Duration
	times       times
	silentShare float64
	// known is set once this host has seen the service's servers: those that it
	// sees later have just started.
	known bool
	// requests and retries of this data centre, and of this host alone, for
	// RetryRule.
	requests, retries       window
	ownRequests, ownRetries window
	// staleAt is when an idle connection to one of its servers last broke under a
	// request, at this host or another of the data centre.
	staleAt time.Time
	// served and unserved requests of this data centre, for breadth.
	served, unserved window
	// late of served, for admission.
	late window
	// priorities is the usual work of this host's requests by rank, in milliseconds.
	priorities map[int]*window
	// totals are this host's counts over all servers, near those that the hosts
	// of this data centre last told.
	totals counts
	near   map[string]counts
	dirty  bool
	uses   evidence
}

// evidence is what a belief goes by.
type evidence struct{ spells, silence bool }

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
	conf     Config
	started  time.Time
	servers  map[key]*server
	services map[string]*service
	lives    map[string]uint64 // of the other hosts, by name
	routes   map[string]*route // by Request.Group
}

// NewTable returns an empty table of a host that started at now.
func NewTable(now time.Time, conf Config) *Table {
	return &Table{
		conf:     conf,
		started:  now,
		servers:  make(map[key]*server),
		services: make(map[string]*service),
		lives:    make(map[string]uint64),
		routes:   make(map[string]*route),
	}
}

// service returns a service's row, made if absent.
func (t *Table) service(name string) *service {
	svc, ok := t.services[name]
	if !ok {
		svc = &service{usual: defaultUsual, times: newTimes(), silentShare: hangPrior, near: make(map[string]counts), priorities: make(map[int]*window)}
		svc.uses = evidence{spells: t.has(MechanismSpells), silence: t.has(MechanismSilence)}
		t.services[name] = svc
	}
	return svc
}

// row returns a server's row, made if absent.
func (t *Table) row(now time.Time, k key, view *world.BackendView) *server {
	s, ok := t.servers[k]
	if ok {
		if view != nil {
			s.slots = view.Slots
		}
		return s
	}
	s = &server{slowness: 1, peers: make(map[string]*peerLoad)}
	s.spell = spell{probability: stationary, at: now}
	if view != nil {
		s.slots = view.Slots
	}
	if view != nil && t.service(k.service).known && t.has(MechanismColdStart) {
		s.spell.probability = newServer
		s.coldUntil = now.Add(view.Warmup)
	}
	t.servers[k] = s
	return s
}

// Done is the end of one request that Pick gave a server.
type Done struct {
	Outcome Outcome
	// FirstByte is the time to the header of an answer, 0 if there was none.
	FirstByte time.Duration
	// Load is what the server told, nil if nothing.
	Load *protocol.Load
	// Bytes is the size of a good answer's body.
	Bytes int64
	// Reused is whether a failed request was sent on a connection that had been
	// used before, and Took the time until it broke or was given up.
	Reused bool
	Took   time.Duration
	// TimedOut is set for a failed request that had no answer when its time was over.
	TimedOut bool
	// slowness is FirstByte against what is usual for the route and the queue, late
	// whether the answer came after the objective.
	slowness float64
	late     bool
}

// Finish ends a request that Pick placed. It must be called once a placement.
func (t *Table) Finish(now time.Time, p *Placement, done Done) {
	k := p.key
	s, ok := t.servers[k]
	if !ok {
		return
	}
	s.inFlight--
	s.removePending(p.pending)
	s.dirty = true
	svc := t.service(k.service)
	done.slowness = float64(done.FirstByte) / float64(p.pending.atUsual)
	done.late = now.After(p.objectiveAt)
	silence := 0.0
	if done.TimedOut || done.Outcome == Abandoned {
		silence = svc.silenceOf(done.Took, p.pending.expected)
	}
	switch {
	case done.TimedOut && silence < overdue:
		done.Outcome = Abandoned // it had too little time to say much
	case done.Outcome == Failed && done.FirstByte > quickError(p):
		done.Outcome = lateError
	case done.Outcome == Failed && done.Reused && done.Took < quickError(p):
		done.Outcome = staleConnection
		svc.staleAt = now
	}
	if done.Outcome == Failed {
		svc.learnFailure(done.TimedOut)
	}
	if !t.has(MechanismSpells) {
		silence = 0
	}
	s.learnOutcome(now, done, silence)
	svc.totals.add(done)
	svc.dirty = true
	svc.noteOutcome(now, done)
	if done.Outcome == Good && done.FirstByte > 0 {
		svc.times.add(float64(done.FirstByte) / float64(p.pending.expected))
		s.learnSlowness(done.slowness)
		atIdle := time.Duration(done.slowness * float64(p.pending.work))
		t.route(svc, p.group).learn(atIdle, float64(done.Bytes))
		svc.usual += time.Duration(serviceGain * float64(atIdle-svc.usual))
	}
	if done.Load != nil && t.has(MechanismToldLoad) {
		load := done.Load.Running + done.Load.Waiting
		s.learnLoad(now, load)
		s.toldNow = uint32(load) + 1
	}
}

// learnOutcome takes an outcome; silence is the evidence, in log odds, of the time
// that the request waited in vain.
func (s *server) learnOutcome(now time.Time, done Done, silence float64) {
	s.counts.add(done)
	switch done.Outcome {
	case Good:
		s.spell.good(now)
		s.pathFailures = 0
		s.pathUntil = time.Time{}
	case Abandoned:
		s.counts.silentMillinats += uint64(1000 * max(silence, 0))
		s.learnSilence(now, silence)
	case Failed:
		s.spell.failed(now)
		s.failedAt = now
		s.failing = true
	case lateError, staleConnection:
		s.spell.lateError(now)
	case Unreachable:
		s.spell.unreachable(now)
		s.failing = true
		hold := pathHold << min(s.pathFailures, 8)
		s.pathFailures++
		s.pathUntil = now.Add(min(hold, maxPathHold))
	}
}

// learnSilence takes the evidence of a request that was given up unanswered.
func (s *server) learnSilence(now time.Time, silence float64) {
	s.spell.silent(now, silence)
	if silence > overdue {
		s.failedAt = now
	}
}

// quickError is the time up to which an error comes too soon to be the
// request's own: the server did not work on it. Servers in a spell of failures
// answer errors at once; an error that belongs to a request takes its work.
func quickError(p *Placement) time.Duration {
	return time.Duration(QuickErrorShare * float64(p.pending.work) * p.pending.slowness)
}

// learnLoad keeps what the told load exceeds the known one by: requests of
// hosts that this one does not hear.
func (s *server) learnLoad(now time.Time, load int) {
	s.toldExcess = max(float64(load-s.known(now))-1, 0)
	s.toldAt = now
}

// known is the number of requests in flight from this host and those it hears.
func (s *server) known(now time.Time) int {
	total := s.inFlight
	for _, p := range s.busy {
		if now.Sub(p.at) < peerExpiry {
			total += p.inFlight
		}
	}
	return total
}

// load estimates how many requests the server has now.
func (s *server) load(now time.Time) float64 {
	return float64(s.known(now)) + s.toldExcess*decay(now.Sub(s.toldAt), toldHalfLife)
}
