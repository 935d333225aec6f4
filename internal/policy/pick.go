package policy

import (
	"math"
	"time"

	"github.com/pearshelf/pearshelf/internal/availability"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/ratelimit"
	"github.com/pearshelf/pearshelf/internal/world"
)

// CostRule says what a choice costs. The unit is one request lost.
type CostRule struct {
	// Failure is the cost of a failed request: one that is not idempotent is
	// lost, one that is idempotent is repeated elsewhere.
	Failure           float64
	IdempotentFailure float64
	// Late is the cost of an answer after the latency objective.
	Late float64
	// OtherDataCentre is the cost of a request to another data centre, and
	// PerMegabyte of each megabyte of its answer.
	OtherDataCentre float64
	PerMegabyte     float64
}

// DefaultCostRule returns the costs that hosts go by.
func DefaultCostRule() CostRule {
	return CostRule{
		Failure:           1,
		IdempotentFailure: 0.5,
		Late:              0.3,
		OtherDataCentre:   0.03,
		PerMegabyte:       24,
	}
}

const (
	// defaultObjective is the latency objective of a route that has none.
	defaultObjective = time.Second
	// lateMidpoint and lateWidth shape the chance that an answer is late: even odds
	// where the expected time is lateMidpoint of the objective.
	lateMidpoint = 0.9
	lateWidth    = 0.15
	// slowAnswerCost is the cost of an answer that takes the whole objective and is
	// not late, growing with the square.
	slowAnswerCost = 0.15
	// loadSpreadCost is the cost of a full server against an empty one, so that load is
	// even where nothing else differs.
	loadSpreadCost = 0.03
	// jitterCost keeps hosts with equal views from choosing alike.
	jitterCost = 0.02
	// zeroWeightCost is the cost of a server of weight 0.
	zeroWeightCost = 0.3
	// maxRequestsPerSlot times its slots is how many requests a server may have before
	// it is held for full. Servers queue a few requests themselves.
	maxRequestsPerSlot = 4
	// coldSlowdown is how much slower a server is just after its start.
	coldSlowdown = 2.0
	// overflowThreshold is the cost of the best server of the subset, in requests lost, above
	// which the others are compared too. A server of which nothing is known costs about
	// as much, for the chance that it is in a spell.
	overflowThreshold = 0.35
	// overflowSample bounds the servers outside the subset that one pick compares: a pick
	// must not cost more where a service has thousands of servers.
	overflowSample = 128
	// rateLimitedCost is the cost of a server that names a rate limit: others are asked first
	// while they serve.
	rateLimitedCost = 0.1
	// blockedPathCost is the cost of a server that this host cannot reach now.
	blockedPathCost = 1000.0

	bytesPerMegabyte = 1 << 20
)

// Request is what a choice needs to know of a request.
type Request struct {
	Service    string
	Idempotent bool
	// DataCentre is this host's.
	DataCentre string
	// Objective is the latency objective, 0 for none.
	Objective time.Duration
	// First is set at the first pick for a request, Repeat once a server has had
	// it. Neither is set after a server that could not be reached.
	First  bool
	Repeat bool
	// Last is set where no other server may have the request after this one.
	Last bool
	// Fleet is what the retry allowance is divided by.
	Fleet Fleet
	// Group names requests with answers of about one size, such as a route.
	Group string
	// Priority is the rank in overload, 0 the highest.
	Priority int
	// Exclude are servers already tried.
	Exclude []string
	// Availability is what servers say of themselves. Those that take no requests are left
	// out of everything: the need for more servers in use does not bring them back.
	Availability availability.Moment
	// RateLimits is what servers take from all hosts together, of those that name it.
	RateLimits *ratelimit.View
	// Beside is set for a send beside another one that is under way, whose server is believed
	// to fail by FirstBelief.
	Beside      bool
	FirstBelief float64
	// Asked is when the request came to this host, and Deadline when its caller
	// gives up.
	Asked    time.Time
	Deadline time.Time
}

// Placement is a request's place at a server until Finish.
type Placement struct {
	// Server is where to send.
	Server world.BackendView
	// Belief that the server is failing, and Load, its requests, decided the
	// pick, among others.
	Belief float64
	Load   float64
	// MaxIdle is for how long a connection may have been idle that carries the
	// request, 0 for no bound.
	MaxIdle time.Duration
	// TrialFor is for how long the answer of a trial is waited for, also when its caller
	// has been answered by another server; 0 for no trial.
	TrialFor time.Duration

	key     key
	process int // of the server, see server
	group   string
	pending *pending
	// objectiveAt is when the request's latency objective is over.
	objectiveAt time.Time
	use         serverUse // of the server by this request
}

// Pick returns the server that costs least, or a typed error if all are full
// or none may be used.
func (t *Table) Pick(now time.Time, view *world.ServiceView, req Request) (*Placement, error) {
	best := t.choose(now, view, req)
	svc := t.service(req.Service)
	if best.server == nil {
		return nil, t.noServerError(req, best.eligible)
	}
	t.recordPriority(now, svc, req)
	if err := t.admit(now, svc, best, req); err != nil {
		return nil, err
	}
	return t.place(now, svc, best, req), nil
}

// choice is the server that costs least, nil if there is none, and how many
// might have had the request.
type choice struct {
	server   *world.BackendView
	state    *server
	cost     float64
	eligible int
}

// choose compares the servers that may have a request: those of this host's subset,
// and all others besides where none of the subset is likely to serve it.
func (t *Table) choose(now time.Time, view *world.ServiceView, req Request) choice {
	best := choice{cost: math.Inf(1)}
	svc := t.service(req.Service)
	var spent float64 // part of the retry allowance; matters to idempotent requests only
	if req.Idempotent {
		spent = t.spentAllowance(now, req.Service, req.Fleet)
	}
	inputs := comparison{
		now:     now,
		svc:     svc,
		req:     req,
		need:    t.coverage(now, view, req, spent),
		failure: t.failureCost(req, spent),
	}
	t.compare(inputs, view.Candidates(), &best)
	if view.Subset != nil && len(view.Subset) < len(view.Backends) && best.cost > overflowThreshold {
		t.overflow(inputs, view.Backends, &best)
	}
	return best
}

// overflow compares servers of the whole service: where they are many some from a random one on,
// and all of them only if none of these may have the request.
func (t *Table) overflow(in comparison, servers []world.BackendView, best *choice) {
	if len(servers) > overflowSample {
		first := t.conf.Random.IntN(len(servers))
		end := min(first+overflowSample, len(servers))
		t.compare(in, servers[first:end], best)
		t.compare(in, servers[:overflowSample-(end-first)], best)
		if best.server != nil {
			return
		}
	}
	best.eligible = 0
	t.compare(in, servers, best)
}

// comparison is what servers are compared by.
type comparison struct {
	now     time.Time
	svc     *service
	req     Request
	need    coverage
	failure float64 // the cost of a failed try
}

// compare puts the server that costs least in best, if it costs less.
func (t *Table) compare(in comparison, servers []world.BackendView, best *choice) {
	for i := range servers {
		b := &servers[i]
		if !in.req.allows(b) {
			continue
		}
		best.eligible++
		s := t.state(in.now, key{in.req.Service, b.ID}, b)
		load := s.load(in.now)
		if load >= float64(b.Slots*maxRequestsPerSlot) || s.inFlight > 0 && t.returnsOneByOne(in.req, b) {
			continue
		}
		cost := t.cost(in.now, in.svc, s, b, load, in.req) + in.failure*s.failureProbability(in.now, in.svc)
		if b.DataCentre == in.req.DataCentre && t.has(MechanismBreadth) {
			cost -= s.coverageBonus(in.now, in.svc, in.need)
		}
		if cost < best.cost {
			best.server, best.state, best.cost = b, s, cost
		}
	}
}

// place gives a request its place at the chosen server.
func (t *Table) place(now time.Time, svc *service, best choice, req Request) *Placement {
	s := best.state
	load := s.load(now)
	waiting := &pending{since: now, estimate: s.estimate(now, svc, t.typicalLatency(svc, req.Group), load), slowness: s.slowness}
	placement := &Placement{
		Server:  *best.server,
		Belief:  s.belief(now, svc),
		Load:    load,
		MaxIdle: t.maxIdle(now, svc, req),
		key:     key{req.Service, best.server.ID},
		process: s.process,
		group:   req.Group,
		pending: waiting,

		objectiveAt: now.Add(req.objectiveLeft(now)),
		use:         s.recordUse(now),
	}
	svc.recordSends(now, 1)
	s.inFlight++
	s.pending = append(s.pending, waiting)
	s.dirty = true
	svc.recordSend(now, t.conf.Retry.Window, s, req)
	return placement
}

func (t *Table) noServerError(req Request, eligible int) error {
	if eligible == 0 {
		return errs.New(errs.KindNoBackend, "no backend server of "+req.Service+" may take this request", "repeat it after the time in Retry-After")
	}
	return errs.New(errs.KindQueueFull, "all backend servers of "+req.Service+" are full", "repeat the request after the time in Retry-After")
}

// RetryAfter is when a refused request should come back: one request's time.
func (t *Table) RetryAfter(service string) time.Duration {
	return t.service(service).typicalLatency
}

// cost is the expected cost of a choice.
func (t *Table) cost(now time.Time, svc *service, s *server, b *world.BackendView, load float64, req Request) float64 {
	rule := t.conf.Cost
	slots := float64(max(b.Slots, 1))
	cost := rule.latencyCost(s.estimate(now, svc, t.typicalLatency(svc, req.Group), load).expected, req.Objective)
	cost += loadSpreadCost*load/slots + jitterCost*t.conf.Random.Float64() + zeroWeightCost*(1-b.Weight)
	if req.isLimited(b) {
		cost += rateLimitedCost
	}
	return cost + s.pathCost(now) + t.crossDataCentreCost(b, req)
}

// crossDataCentreCost is the cost of going to another data centre, 0 for a server of this one.
func (t *Table) crossDataCentreCost(b *world.BackendView, req Request) float64 {
	if b.DataCentre == req.DataCentre || !t.has(MechanismOwnDataCentre) {
		return 0
	}
	return t.conf.Cost.OtherDataCentre + t.conf.Cost.PerMegabyte*t.typicalBytes(req.Group)/bytesPerMegabyte
}

// failureCost is the cost of a failed try: the request is lost, unless it can
// be sent again. The more of the retry allowance is spent, the less likely that
// is.
func (t *Table) failureCost(req Request, spent float64) float64 {
	rule := t.conf.Cost
	if !req.Idempotent || req.Repeat || req.Last {
		return rule.Failure
	}
	return rule.IdempotentFailure + spent*(rule.Failure-rule.IdempotentFailure)
}

// latencyCost is the cost of an answer that is expected to take some time.
func (r CostRule) latencyCost(expected, objective time.Duration) float64 {
	if objective <= 0 {
		objective = defaultObjective
	}
	part := float64(expected) / float64(objective)
	late := 1 / (1 + math.Exp((lateMidpoint-part)/lateWidth))
	return slowAnswerCost*part*part + r.Late*late
}

// pathCost keeps this host off a server that it cannot reach.
func (s *server) pathCost(now time.Time) float64 {
	if now.Before(s.pathUntil) {
		return blockedPathCost
	}
	return 0
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
