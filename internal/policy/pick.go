package policy

import (
	"math"
	"time"

	"github.com/pearshelf/pearshelf/internal/availability"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/ratelimit"
	"github.com/pearshelf/pearshelf/internal/world"
)

// CostRule sets the costs that servers are compared by. The unit is the cost of one lost request.
type CostRule struct {
	// Failure is the cost of a failed request that is not idempotent and therefore lost,
	// IdempotentFailure that of one that is idempotent and retried on another server.
	Failure           float64
	IdempotentFailure float64
	// Late is the cost of an answer after the latency objective.
	Late float64
	// OtherDataCentre is the cost of sending a request to another data centre, and PerMegabyte
	// that of each megabyte of its answer.
	OtherDataCentre float64
	PerMegabyte     float64
}

// DefaultCostRule returns the costs that hosts use by default.
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
	// lateMidpoint and lateWidth are the parameters of the logistic function that estimates the
	// probability of a late answer: it is one half where the expected latency is lateMidpoint of
	// the objective.
	lateMidpoint = 0.9
	lateWidth    = 0.15
	// slowAnswerCost is the cost of an answer that takes exactly the objective and is not late; it
	// grows with the square of the latency.
	slowAnswerCost = 0.15
	// loadSpreadCost is the cost of a server with all slots in use relative to an idle one, so
	// that load is balanced where nothing else differs.
	loadSpreadCost = 0.03
	// jitterCost scales a random cost that keeps hosts with equal views from selecting the same
	// server.
	jitterCost = 0.02
	// zeroWeightCost is the cost of a server of weight 0.
	zeroWeightCost = 0.3
	// maxRequestsPerSlot is how many requests per slot a server may have before it is considered
	// full. Servers queue a few requests themselves.
	maxRequestsPerSlot = 4
	// coldSlowdown is the factor by which a newly started server is expected to be slower.
	coldSlowdown = 2.0
	// overflowThreshold is the cost of the best server of the subset above which servers outside
	// the subset are compared too. A server without any observation costs about as much, because
	// it may be failing.
	overflowThreshold = 0.35
	// overflowSample limits how many servers outside the subset one pick compares, so that the
	// cost of a pick stays bounded for services with thousands of servers.
	overflowSample = 128
	// rateLimitedCost is the cost of a server that announces a rate limit: other servers are
	// preferred while they serve requests.
	rateLimitedCost = 0.1
	// blockedPathCost is the cost of a server that this host currently cannot connect to.
	blockedPathCost = 1000.0

	bytesPerMegabyte = 1 << 20
)

// Request holds the properties of a request that a pick depends on.
type Request struct {
	Service    string
	Idempotent bool
	// DataCentre is the data centre of this host.
	DataCentre string
	// Objective is the latency objective, 0 for none.
	Objective time.Duration
	// FirstAttempt is set for the first pick for a request, Retry once a server has received the
	// request. Neither is set for a pick after a failed connection.
	FirstAttempt bool
	Retry        bool
	// Counted is set if the request has been counted for the retry allowance, by this host or another.
	Counted bool
	// LastAttempt is set if the request may not be sent to another server after this one.
	LastAttempt bool
	// FleetSize is the largest number of hosts that were ever live at the same time. It determines
	// this host's part of the retry reserve.
	FleetSize int
	// Group identifies requests with similar work and answers of similar size, such as a route.
	Group string
	// Priority is the priority under overload, 0 is the highest.
	Priority int
	// Customer is the name of the customer that sent the request, empty for none, and Weight its
	// limit in requests a second, 0 for none; see fairness.go.
	Customer string
	Weight   float64
	// Exclude lists the IDs of the servers already tried.
	Exclude []string
	// Availability is what the servers report about themselves. A server that reports that it
	// takes no requests is never selected, not even to keep more servers in use.
	Availability availability.TableView
	// RateLimits holds the rate limits that servers announce for all hosts together.
	RateLimits *ratelimit.View
	// Parallel is set for a send in parallel to one that is in progress; FirstServerBelief is the
	// failure belief of the server that has that first send.
	Parallel          bool
	FirstServerBelief float64
	// ReceivedAt is when this host received the request, Deadline when the caller stops waiting.
	ReceivedAt time.Time
	Deadline   time.Time
	// MayWait is set if the caller of Pick can let the request wait in the host, see NoFreeSlot.
	// OthersWait is set if requests of the service do, so that the request must not overtake them;
	// Waited if this is not the first Pick for the request because it has waited.
	MayWait    bool
	OthersWait bool
	Waited     bool
}

// Placement is a request's reservation on a server, from Pick until Finish.
type Placement struct {
	// Server is the server to send the request to.
	Server world.BackendView
	// Belief is the probability that the server is failing and Load its number of requests, as
	// used by the pick.
	Belief float64
	Load   float64
	// MaxIdle limits how long the connection that carries the request may have been idle, 0 for
	// no limit.
	MaxIdle time.Duration
	// TrialTimeout is how long to wait for the answer of a trial, even if another server has already
	// answered the caller; 0 if this is no trial.
	TrialTimeout time.Duration

	key     key
	process int // the server.process that was picked
	group   string
	pending *pending
	// customer is Request.Customer.
	customer string
	// objectiveAt is when the latency objective of the request expires.
	objectiveAt time.Time
}

// Pick reserves the server with the lowest cost. It returns a typed error if all servers are full,
// if none may be used, or if the request is not admitted.
func (t *Table) Pick(now time.Time, view *world.ServiceView, req Request) (*Placement, error) {
	best := t.choose(now, view, req)
	svc := t.service(req.Service)
	svc.recordObjective(now, req)
	t.recordCustomer(now, svc, req)
	if best.server == nil {
		if best.eligible > 0 {
			if err := t.deferred(now, svc, view, best, req); err != nil {
				return nil, err
			}
		}
		svc.refusedAt = now
		return nil, t.noServerError(req, best.eligible)
	}
	t.recordPriority(now, svc, req)
	err := t.admit(now, svc, view, best, req)
	if alternative, ok := best.withFreeSlot(err); ok {
		best = alternative
		err = t.admit(now, svc, view, best, req)
	}
	if err != nil {
		if _, waits := err.(*NoFreeSlot); !waits {
			svc.refusedAt = now
		}
		return nil, err
	}
	return t.place(now, svc, best, req), nil
}

// choice is the server with the lowest cost, nil if there is none, and the number of servers that
// were allowed to receive the request.
type choice struct {
	server   *world.BackendView
	state    *server
	cost     float64
	eligible int
	// free is the server of this data centre with the lowest cost that has a free slot, nil if there
	// is none.
	free      *world.BackendView
	freeState *server
	freeCost  float64
	// duty is set if the server was chosen because it is this host's turn to use it, see duty.go.
	duty bool
}

// choose compares the servers of this host's subset, and servers outside it if none of the subset
// is likely to serve the request.
func (t *Table) choose(now time.Time, view *world.ServiceView, req Request) choice {
	best := choice{cost: math.Inf(1), freeCost: math.Inf(1)}
	svc := t.service(req.Service)
	var spent float64 // share of the retry allowance; only relevant to idempotent requests
	if req.Idempotent {
		spent = t.spentAllowance(now, req.Service, req.FleetSize)
	}
	inputs := comparison{
		now:     now,
		svc:     svc,
		req:     req,
		need:    t.coverage(now, view, req, spent),
		failure: t.failureCost(now, req, spent),
	}
	t.compare(inputs, view.Candidates(), &best)
	if view.Subset != nil && len(view.Subset) < len(view.Backends) && best.cost > overflowThreshold {
		t.overflow(inputs, view.Backends, &best)
	}
	return best
}

// overflow compares servers of the whole service. If there are many it compares a sample that
// starts at a random position, and falls back to all servers only if none of the sample may receive
// the request.
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

// comparison holds the inputs that are common to all servers compared by one pick.
type comparison struct {
	now     time.Time
	svc     *service
	req     Request
	need    coverage
	failure float64 // cost of a failed attempt
}

// compare updates best if one of the servers has a lower cost.
func (t *Table) compare(in comparison, servers []world.BackendView, best *choice) {
	for i := range servers {
		b := &servers[i]
		if !in.req.allows(b) {
			continue
		}
		best.eligible++
		s := t.state(in.now, key{in.req.Service, b.ID}, b)
		load := s.load(in.now)
		isNear := b.DataCentre == in.req.DataCentre
		if load >= float64(b.Slots*maxRequestsPerSlot) || s.inFlight > 0 && t.returnsOneByOne(in.req, b) {
			continue
		}
		onDuty := false
		cost := t.cost(in.now, in.svc, s, b, load, in.req) + in.failure*s.failureProbability(in.now, in.svc)
		if isNear && t.has(MechanismCoverage) {
			var bonus float64
			bonus, onDuty = t.coverageBonus(in, key{in.req.Service, b.ID}, s)
			cost -= bonus
		}
		if cost < best.cost {
			best.server, best.state, best.cost, best.duty = b, s, cost, onDuty
		}
		if isNear && cost < best.freeCost && load < float64(b.Slots) {
			best.free, best.freeState, best.freeCost = b, s, cost
		}
	}
}

// place reserves the chosen server for a request.
func (t *Table) place(now time.Time, svc *service, best choice, req Request) *Placement {
	s := best.state
	load := s.load(now)
	waiting := &pending{key: key{req.Service, best.server.ID}, since: now, estimate: s.estimate(now, svc, t.typicalLatency(svc, req.Group), load), slowness: s.slowness, use: s.recordUse(now)}
	placement := &Placement{
		Server:  *best.server,
		Belief:  s.belief(now, svc),
		Load:    load,
		MaxIdle: t.maxIdle(now, svc, req),
		key:     waiting.key,
		process: s.process,
		group:   req.Group,
		pending: waiting,

		customer: req.Customer,

		objectiveAt: now.Add(req.objectiveLeft(now)),
	}
	if best.duty {
		svc.dutySends++
	}
	svc.recordSends(now, 1)
	s.inFlight++
	s.pending = append(s.pending, waiting)
	t.waiting = append(t.waiting, waiting)
	s.dirty = true
	t.recordAttempt(now, svc, s, req)
	return placement
}

func (t *Table) noServerError(req Request, eligible int) error {
	if eligible == 0 {
		return errs.New(errs.KindNoBackendServer, "no backend server of "+req.Service+" may take this request", "repeat it after the time in Retry-After")
	}
	return errs.New(errs.KindQueueFull, "all backend servers of "+req.Service+" are full", "repeat the request after the time in Retry-After")
}

// RetryAfter returns how long the caller of a refused request should wait before a retry: the
// typical latency of one request.
func (t *Table) RetryAfter(service string) time.Duration {
	return t.service(service).typicalLatency
}

// Service is the service of the placement's server.
func (p *Placement) Service() string { return p.key.service }

// cost returns the expected cost of sending a request to a server, without that of a failure.
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

// crossDataCentreCost is the cost of sending a request to another data centre, 0 for a server of
// this one.
func (t *Table) crossDataCentreCost(b *world.BackendView, req Request) float64 {
	if b.DataCentre == req.DataCentre || !t.has(MechanismOwnDataCentre) {
		return 0
	}
	return t.conf.Cost.OtherDataCentre + t.conf.Cost.PerMegabyte*t.typicalBytes(req.Group)/bytesPerMegabyte
}

// failureCost is the cost of a failed attempt: the request is lost unless it can be retried, which
// becomes less likely as the retry allowance is spent.
func (t *Table) failureCost(now time.Time, req Request, spent float64) float64 {
	rule := t.conf.Cost
	if !req.Idempotent || req.Retry || req.LastAttempt || !t.hasRetry(now, t.service(req.Service)) {
		return rule.Failure
	}
	return rule.IdempotentFailure + spent*(rule.Failure-rule.IdempotentFailure)
}

// latencyCost is the cost of an answer with the given expected latency.
func (r CostRule) latencyCost(expected, objective time.Duration) float64 {
	if objective <= 0 {
		objective = defaultObjective
	}
	part := float64(expected) / float64(objective)
	late := 1 / (1 + math.Exp((lateMidpoint-part)/lateWidth))
	return slowAnswerCost*part*part + r.Late*late
}

// pathCost keeps this host from selecting a server that it cannot connect to.
func (s *server) pathCost(now time.Time) float64 {
	if now.Before(s.pathUntil) {
		return blockedPathCost
	}
	return 0
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
