package waitqueue

import (
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/policy"
	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	// RecheckInterval bounds the time between two looks for a free slot while requests wait, so
	// that a lost report delays a request by no more. It is well below an eighth of the shortest
	// objective that requests wait for.
	RecheckInterval = 150 * time.Millisecond
	// reportSpread is the longest delay between a report of another host that lowers a load and
	// the look for a free slot. Without it all hosts of a data centre would send to the same slot:
	// they learn of it at the same time, and of each other's sends 3 ms later. A server is used by
	// some 8 hosts, which then look 7 ms after each other on average.
	reportSpread = 60 * time.Millisecond
	// queueTTL is how long an empty queue is kept after the last request of its service.
	queueTTL = time.Minute
	// entryBytes is the memory of a waiting request besides its body: its connection, goroutines
	// and header.
	entryBytes = 20 << 10
	// DefaultRequests and DefaultBytes bound what a host holds by default. 512 requests are 4 s of
	// the load of a host in the largest fleet (127 requests/s), and below a fifth of the
	// descriptors of the smallest hosts (2,870).
	DefaultRequests = 512
	DefaultBytes    = 24 << 20
)

// Request is a request that may wait.
type Request struct {
	View   *world.ServiceView
	Policy policy.Request
	// Refresh returns View and Policy as they are now, for each look for a free slot. It may be
	// nil if they do not change.
	Refresh func() (*world.ServiceView, policy.Request)
	// BodyBytes is the memory that the request's body occupies.
	BodyBytes int64
	// MaxWait limits the wait, 0 for no limit of its own.
	MaxWait time.Duration
}

// Decision is the end of a request's wait, or of a request that need not wait.
type Decision struct {
	ID uint64
	// Placement is the request's reservation on a server, nil if it is refused.
	Placement *policy.Placement
	// Err is why it is refused. RetryAfter is when its caller should return, 0 if the queue does
	// not determine it; Reason is why the queue does not hold it any longer, empty if it does not
	// come from the queue.
	Err        error
	RetryAfter time.Duration
	Reason     Reason
	// Waited is how long the request was in the queue, Ahead the number of requests ahead of it
	// when it came.
	Waited time.Duration
	Ahead  int
}

type entry struct {
	Request
	since time.Time
	ahead int
}

// Set holds the waiting requests of one host. It is not safe for concurrent use.
type Set struct {
	table    *policy.Table
	random   *rand.Rand
	usage    *Usage
	queues   map[string]*Queue
	entries  map[uint64]*entry
	lastID   uint64
	draining bool
	// reviewAt is when Review is due, zero if nothing waits.
	reviewAt time.Time
}

// NewSet returns an empty set. random spreads the looks of several hosts; hosts must use different
// seeds.
func NewSet(table *policy.Table, bounds Bounds, random *rand.Rand) *Set {
	return &Set{table: table, random: random, usage: &Usage{Bounds: bounds}, queues: make(map[string]*Queue), entries: make(map[uint64]*entry)}
}

// Usage returns what the set holds.
func (s *Set) Usage() *Usage { return s.usage }

// Submit places a request at a server, or refuses it, or lets it wait: then waiting is set, and a
// later Review returns the decision with the same ID.
func (s *Set) Submit(now time.Time, req Request) (d Decision, waiting bool) {
	if _, known := s.queues[req.Policy.Service]; !known {
		s.expireQueues(now)
	}
	q := s.queue(req.Policy.Service)
	q.observe(now)
	req.Policy.MayWait = req.Policy.MayWait && !s.draining
	req.Policy.OthersWait = q.Len() > 0
	placement, err := s.table.Pick(now, req.View, req.Policy)
	var wait *policy.NoFreeSlot
	if !errors.As(err, &wait) {
		return Decision{Placement: placement, Err: err}, false
	}
	s.lastID++
	id := s.lastID
	item := Item{ID: id, Priority: req.Policy.Priority, Rank: s.table.QueueRank(now, req.Policy), Deadline: req.Policy.Deadline, Until: wait.Until, Bytes: req.BodyBytes + entryBytes}
	if limit := now.Add(req.MaxWait); req.MaxWait > 0 && limit.Before(item.Until) {
		item.Until = limit
	}
	e := &entry{Request: req, since: now}
	e.Policy.Waited = true
	e.ahead = q.Len()
	if refusal := q.Push(now, item); refusal != nil {
		return s.refused(now, e, refusal), false
	}
	s.entries[id] = e
	s.reviewWithin(now, RecheckInterval)
	if req.Policy.OthersWait {
		s.reviewWithin(now, 0) // a slot may be free
	}
	return Decision{ID: id}, true
}

// Remove removes a request whose caller has left, and reports whether it was waiting.
func (s *Set) Remove(now time.Time, id uint64) bool {
	e, ok := s.entries[id]
	if !ok {
		return false
	}
	delete(s.entries, id)
	return s.queue(e.Policy.Service).Remove(now, id)
}

// RequestEnded records that a request of this host to a service has ended, so that a slot may be
// free.
func (s *Set) RequestEnded(now time.Time, service string) {
	s.queue(service).RequestEnded(now)
	s.reviewWithin(now, 0)
}

// LoadReported records that other hosts have reported loads, so that a slot may be free.
func (s *Set) LoadReported(now time.Time) {
	if s.usage.requests > 0 {
		s.reviewWithin(now, time.Duration(s.random.Int64N(int64(reportSpread))))
	}
}

// ReviewAt returns when Review is due, zero if nothing waits.
func (s *Set) ReviewAt() time.Time {
	if s.usage.requests == 0 {
		return time.Time{}
	}
	return s.reviewAt
}

// Review looks for free slots and returns the requests whose wait has ended.
func (s *Set) Review(now time.Time) []Decision {
	var decided []Decision
	s.reviewAt = time.Time{}
	for _, service := range s.services() {
		decided = s.review(now, s.queues[service], decided)
	}
	s.reviewWithin(now, RecheckInterval)
	for _, q := range s.queues {
		if next := q.NextUntil(); !next.IsZero() {
			s.reviewWithin(now, next.Sub(now))
		}
	}
	return decided
}

// Drain ends all waits, because the host stops: what can be placed is, the rest is refused. The set
// holds no request after that.
func (s *Set) Drain(now time.Time) []Decision {
	s.draining = true
	var decided []Decision
	for _, service := range s.services() {
		for _, item := range s.queues[service].Drain(now) {
			decided = append(decided, s.last(now, &Refusal{Item: item, Reason: ReasonExpired}))
		}
	}
	return decided
}

func (s *Set) review(now time.Time, q *Queue, decided []Decision) []Decision {
	for _, refusal := range q.Expire(now) {
		if refusal.Reason == ReasonExpired {
			decided = append(decided, s.last(now, &refusal))
			continue
		}
		decided = append(decided, s.refused(now, s.take(refusal.Item.ID), &refusal))
	}
	for {
		var d Decision
		item, ok := q.Pop(now, func(item *Item) bool {
			placement, err := s.pick(now, s.entries[item.ID], true)
			var wait *policy.NoFreeSlot
			if errors.As(err, &wait) {
				return false
			}
			d.Placement, d.Err = placement, err
			return true
		})
		if !ok {
			return decided
		}
		decided = append(decided, s.decided(now, item.ID, d))
	}
}

// last decides on a request that may wait no longer as if it could not have waited.
func (s *Set) last(now time.Time, refusal *Refusal) Decision {
	placement, err := s.pick(now, s.entries[refusal.Item.ID], false)
	d := Decision{Placement: placement, Err: err}
	if err != nil {
		d.Reason, d.RetryAfter = refusal.Reason, refusal.RetryAfter
	}
	return s.decided(now, refusal.Item.ID, d)
}

func (s *Set) pick(now time.Time, e *entry, mayWait bool) (*policy.Placement, error) {
	view, req := e.View, e.Policy
	if e.Refresh != nil {
		view, req = e.Refresh()
	}
	req.MayWait, req.OthersWait, req.Waited = mayWait, false, true
	return s.table.Pick(now, view, req)
}

func (s *Set) decided(now time.Time, id uint64, d Decision) Decision {
	e := s.take(id)
	d.ID, d.Waited, d.Ahead = id, now.Sub(e.since), e.ahead
	return d
}

func (s *Set) refused(now time.Time, e *entry, refusal *Refusal) Decision {
	service := e.Policy.Service
	message := "no slot of " + service + " is expected to be free in the time that the request has, with " + strconv.Itoa(refusal.Ahead) + " requests ahead"
	if refusal.Reason == ReasonFull {
		message = "this host holds as many waiting requests as it may"
	}
	return Decision{
		ID:         refusal.Item.ID,
		Err:        errs.New(errs.KindQueueFull, message, "repeat the request after the time in Retry-After; add capacity"),
		RetryAfter: refusal.RetryAfter,
		Reason:     refusal.Reason,
		Waited:     now.Sub(e.since),
		Ahead:      refusal.Ahead,
	}
}

func (s *Set) take(id uint64) *entry {
	e := s.entries[id]
	delete(s.entries, id)
	return e
}

func (s *Set) queue(service string) *Queue {
	q, ok := s.queues[service]
	if !ok {
		q = NewQueue(s.usage)
		s.queues[service] = q
	}
	return q
}

// expireQueues drops the queues of services that this host has not used for a while: they may have
// been removed.
func (s *Set) expireQueues(now time.Time) {
	for service, q := range s.queues {
		if q.Len() == 0 && now.Sub(q.observedAt) > queueTTL {
			delete(s.queues, service)
		}
	}
}

// services returns the services in a stable order, so that the same calls give the same decisions.
func (s *Set) services() []string {
	names := make([]string, 0, len(s.queues))
	for name, q := range s.queues {
		if q.Len() > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (s *Set) reviewWithin(now time.Time, d time.Duration) {
	if at := now.Add(d); s.reviewAt.IsZero() || at.Before(s.reviewAt) {
		s.reviewAt = at
	}
}
