package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/world"
)

// CostRule says what a choice costs, in seconds of a caller's waiting.
type CostRule struct {
	// Failure is the cost of a failed request: one that is not idempotent is
	// lost, one that is idempotent is repeated elsewhere.
	Failure           time.Duration
	IdempotentFailure time.Duration
	// OtherDataCentre is the cost of a request to another data centre, and
	// PerMegabyte of each megabyte of its answer.
	OtherDataCentre time.Duration
	PerMegabyte     time.Duration
}

// DefaultCostRule returns the costs measured to serve best; see
// docs/MEASUREMENTS.md.
func DefaultCostRule() CostRule {
	return CostRule{
		Failure:           2500 * time.Millisecond,
		IdempotentFailure: 400 * time.Millisecond,
		OtherDataCentre:   30 * time.Millisecond,
		PerMegabyte:       15 * time.Second,
	}
}

const (
	// spread is the cost of a full server against an empty one, so that load is
	// even where nothing else differs.
	spread = 60 * time.Millisecond
	// jitter keeps hosts with equal views from choosing alike.
	jitter = 5 * time.Millisecond
	// queuePerSlot times its slots is how many requests a server may have before
	// it is held for full. Servers queue a few requests themselves.
	queuePerSlot = 4
	// coldFactor is how much slower a server is just after its start.
	coldFactor = 2.0
	// blocked is the cost of a server that this host cannot reach now.
	blocked = time.Hour

	bytesPerMegabyte = 1 << 20
)

// Request is what a choice needs to know of a request.
type Request struct {
	Service    string
	Idempotent bool
	// DataCentre is this host's.
	DataCentre string
	// Group names requests with answers of about one size, such as a route.
	Group string
	// Exclude are servers already tried.
	Exclude []string
}

// Lease is a request's place at a server until Finish.
type Lease struct {
	// Server is where to send.
	Server world.BackendView

	table *Table
	key   key
	group string
	once  sync.Once
}

// Finish ends the request and notes what was learnt. Further calls do nothing.
func (l *Lease) Finish(done Done) {
	l.once.Do(func() { l.table.finish(l.key, l.group, done) })
}

// Pick returns the server that costs least, or a typed error if all are full
// or none may be used.
func (t *Table) Pick(now time.Time, view *world.ServiceView, req Request) (*Lease, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *world.BackendView
	var bestRow *server
	bestCost := math.Inf(1)
	eligible := 0
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
		if cost := t.cost(now, s, b, load, req); cost < bestCost {
			best, bestRow, bestCost = b, s, cost
		}
	}
	if best == nil {
		return nil, t.none(req, eligible)
	}
	bestRow.inFlight++
	bestRow.dirty = true
	t.notify()
	return &Lease{Server: *best, table: t, key: key{req.Service, best.ID}, group: req.Group}, nil
}

func (t *Table) none(req Request, eligible int) error {
	if eligible == 0 {
		return errs.New(errs.KindNoBackend, "no backend server of "+req.Service+" may take this request", "repeat it after the time in Retry-After")
	}
	return errs.New(errs.KindQueueFull, "all backend servers of "+req.Service+" are full", "repeat the request after the time in Retry-After")
}

// RetryAfter is when a refused request should come back: one request's time.
func (t *Table) RetryAfter(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.usualSpeed(service)
}

func (t *Table) usualSpeed(service string) time.Duration {
	if usual, ok := t.speeds[service]; ok {
		return usual
	}
	return defaultSpeed
}

// cost is the expected cost in seconds.
func (t *Table) cost(now time.Time, s *server, b *world.BackendView, load float64, req Request) float64 {
	slots := float64(max(b.Slots, 1))
	speed := s.speed
	if speed == 0 {
		speed = t.usualSpeed(req.Service)
	}
	if now.Before(s.coldUntil) {
		speed = time.Duration(coldFactor * float64(speed))
	}
	waiting := max(load+1-slots, 0) / slots
	cost := speed.Seconds() * (1 + waiting)
	cost += spread.Seconds() * load / slots
	failure := t.costRule.Failure
	if req.Idempotent {
		failure = t.costRule.IdempotentFailure
	}
	cost += failure.Seconds() * s.spell.failure(now)
	if b.DataCentre != req.DataCentre {
		megabytes := t.sizes[req.Group] / bytesPerMegabyte
		cost += t.costRule.OtherDataCentre.Seconds() + t.costRule.PerMegabyte.Seconds()*megabytes
	}
	if now.Before(s.pathUntil) {
		cost += blocked.Seconds()
	}
	cost += jitter.Seconds() * rand.Float64()
	if b.Weight < 1 {
		cost += spread.Seconds() * (1 - b.Weight) * 10
	}
	return cost
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
