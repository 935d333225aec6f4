package policy

import (
	"math"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/errs"
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

// DefaultCostRule returns the costs measured to serve best; see
// docs/MEASUREMENTS.md.
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
	// lateAt and lateWidth shape the chance that an answer is late: even odds
	// where the expected time is lateAt of the objective.
	lateAt    = 0.9
	lateWidth = 0.15
	// slowness is the cost of an answer that takes the whole objective and is
	// not late, growing with the square.
	slowness = 0.15
	// spread is the cost of a full server against an empty one, so that load is
	// even where nothing else differs.
	spread = 0.03
	// jitter keeps hosts with equal views from choosing alike.
	jitter = 0.02
	// lowWeight is the cost of a server of weight 0.
	lowWeight = 0.3
	// queuePerSlot times its slots is how many requests a server may have before
	// it is held for full. Servers queue a few requests themselves.
	queuePerSlot = 4
	// coldFactor is how much slower a server is just after its start.
	coldFactor = 2.0
	// blocked is the cost of a server that this host cannot reach now.
	blocked = 1000.0

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
	// Exclude are servers already tried.
	Exclude []string
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

	key   key
	group string
}

// Pick returns the server that costs least, or a typed error if all are full
// or none may be used.
func (t *Table) Pick(now time.Time, view *world.ServiceView, req Request) (*Placement, error) {
	var best *world.BackendView
	var bestRow *server
	bestCost := math.Inf(1)
	eligible := 0
	svc := t.service(req.Service)
	var spent float64 // part of the retry allowance; matters to idempotent requests only
	if req.Idempotent {
		spent = t.spentAllowance(now, req.Service, req.Fleet)
	}
	need := t.breadth(now, view, req, spent)
	failure := t.failureCost(req, spent)
	for i := range view.Backends {
		b := &view.Backends[i]
		if slices.Contains(req.Exclude, b.ID) || b.IdempotentOnly && !req.Idempotent {
			continue
		}
		eligible++
		s := t.row(now, key{req.Service, b.ID}, b)
		load := s.load(now)
		if load >= float64(b.Slots*queuePerSlot) {
			continue
		}
		cost := t.cost(now, svc, s, b, load, req) + failure*s.spell.failure(now)
		if b.DataCentre == req.DataCentre {
			cost -= s.breadthGain(now, need)
		}
		if cost < bestCost {
			best, bestRow, bestCost = b, s, cost
		}
	}
	svc.known = true
	if best == nil {
		return nil, t.none(req, eligible)
	}
	load := bestRow.load(now)
	bestRow.inFlight++
	bestRow.dirty = true
	bestRow.lastSent = now
	svc.noteSent(now, t.conf.Retry.Window, bestRow, req)
	return &Placement{
		Server:  *best,
		Belief:  bestRow.spell.now(now),
		Load:    load,
		MaxIdle: svc.maxIdle(now, req),
		key:     key{req.Service, best.ID},
		group:   req.Group,
	}, nil
}

func (t *Table) none(req Request, eligible int) error {
	if eligible == 0 {
		return errs.New(errs.KindNoBackend, "no backend server of "+req.Service+" may take this request", "repeat it after the time in Retry-After")
	}
	return errs.New(errs.KindQueueFull, "all backend servers of "+req.Service+" are full", "repeat the request after the time in Retry-After")
}

// RetryAfter is when a refused request should come back: one request's time.
func (t *Table) RetryAfter(service string) time.Duration {
	return t.service(service).speed
}

// cost is the expected cost of a choice.
func (t *Table) cost(now time.Time, svc *service, s *server, b *world.BackendView, load float64, req Request) float64 {
	rule := t.conf.Cost
	slots := float64(max(b.Slots, 1))
	cost := rule.lateness(s.expected(now, svc, load, slots), req.Objective)
	cost += spread*load/slots + jitter*t.conf.Random.Float64() + lowWeight*(1-b.Weight)
	if b.DataCentre != req.DataCentre {
		return cost + s.pathCost(now) + rule.OtherDataCentre + rule.PerMegabyte*t.sizes[req.Group]/bytesPerMegabyte
	}
	return cost + s.pathCost(now)
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

// expected is the expected time to an answer.
func (s *server) expected(now time.Time, svc *service, load, slots float64) time.Duration {
	speed := s.speed
	if speed == 0 {
		speed = svc.speed
	}
	if now.Before(s.coldUntil) {
		speed = time.Duration(coldFactor * float64(speed))
	}
	waiting := max(load+1-slots, 0) / slots
	return time.Duration(float64(speed) * (1 + waiting))
}

// lateness is the cost of an answer that is expected to take some time.
func (r CostRule) lateness(expected, objective time.Duration) float64 {
	if objective <= 0 {
		objective = defaultObjective
	}
	part := float64(expected) / float64(objective)
	late := 1 / (1 + math.Exp((lateAt-part)/lateWidth))
	return slowness*part*part + r.Late*late
}

// pathCost keeps this host off a server that it cannot reach.
func (s *server) pathCost(now time.Time) float64 {
	if now.Before(s.pathUntil) {
		return blocked
	}
	return 0
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
