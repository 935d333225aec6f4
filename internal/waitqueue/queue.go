// Package waitqueue holds requests that wait in a host until a backend server has a free slot for
// them, instead of in the servers' own queues, where a request with little time would wait behind
// those with much time, or instead of being refused.
//
// A Queue orders the requests of one service. A Set holds the queues of all services of a host and
// asks package policy which of the waiting requests can be placed. The package uses no clock, lock,
// socket or unseeded random number: package balance drives a Set in the daemon, experiment/replay
// in simulated time. docs/design/wait-queue.md describes the design.
package waitqueue

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// rateHalfLife is the half-life of the observations that the rate of slots is estimated from.
	// Bursts last 4 to 8 s, and a host places a few requests a second: with 4 s the rate before a
	// burst counted for too long, and requests were refused that could have been served.
	rateHalfLife = 2 * time.Second
	// priorWeight is how long a queue must have been non-empty for its own placements to count as
	// much as the rate at which requests ended before.
	priorWeight = 2 * time.Second
	// arrivalFactor is the multiple of its time from which on a new request is refused because of
	// the expected wait. At a few placements a second the actual wait is often half of the expected
	// one, and a request that is refused after a short wait has lost nothing by it. With 1 a burst
	// was served less well (short-timeouts), with 1.5 more was held in vain in a lasting overload
	// (mixed-timeouts).
	arrivalFactor = 1.25
	// hopelessFactor is the same for a request that waits already, of its remaining time. It is
	// larger because the remaining time gets short also for a request that is served next; with 4
	// too many of them were answered late.
	hopelessFactor = 2.0
	// maxBlocked is how many requests without a free slot a Pop asks for. Most requests of a service
	// may use the same servers, and each costs a comparison of some 50 servers.
	maxBlocked = 2
	// maxRetryAfter limits how far ahead a refused request is sent: longer than a burst lasts, the
	// queue ahead says nothing.
	maxRetryAfter = 10 * time.Second
	// maxPriorities bounds the priorities for which the last promised time is kept.
	maxPriorities = 16
)

// Item is a request that waits. Items are served in the order of Priority, Rank, then Deadline.
type Item struct {
	// ID identifies the item in its queue.
	ID uint64
	// Priority is the priority under overload, 0 is the highest.
	Priority int
	// Rank orders requests of the same priority, lower ones first: 0, or 1 for a request of a
	// customer above its fair share.
	Rank float64
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Until is the latest time at which it is of use to start the request.
	Until time.Time
	// Bytes is the memory that the request occupies while it waits.
	Bytes int64
}

// before reports whether a is served before b; equal ones are served in the order of arrival.
func (a *Item) before(b *Item) bool {
	order := cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Rank, b.Rank), a.Deadline.Compare(b.Deadline), cmp.Compare(a.ID, b.ID))
	return order < 0
}

// Reason is why a request is not held any longer, or not at all.
type Reason string

// Reasons of a refusal.
const (
	// ReasonNoTime: the expected wait exceeds the time that the request has.
	ReasonNoTime Reason = "no-time"
	// ReasonFull: the host holds as many requests, or bytes of them, as it may.
	ReasonFull Reason = "full"
	// ReasonExpired: the time until which the request could wait has passed.
	ReasonExpired Reason = "expired"
)

// Refusal is the result of Push or Expire for a request that is not held.
type Refusal struct {
	Item   Item
	Reason Reason
	// RetryAfter is the time until a slot is expected for the request.
	RetryAfter time.Duration
	// Ahead is the number of requests that would be served before it.
	Ahead int
}

// Bounds limits what a host holds in all its queues together.
type Bounds struct {
	Requests int
	Bytes    int64
}

// Usage is what a host holds in all its queues. Its queues share one.
type Usage struct {
	Bounds   Bounds
	requests int
	bytes    int64
}

func (u *Usage) add(n int, bytes int64) { u.requests += n; u.bytes += bytes }

// Requests is the number of requests held now.
func (u *Usage) Requests() int { return u.requests }

// Bytes is the memory held now.
func (u *Usage) Bytes() int64 { return u.bytes }

// Queue holds the waiting requests of one service.
type Queue struct {
	usage *Usage
	items []Item
	// popped and busy are the decaying number of placements from the queue and the time for which
	// it was not empty, up to observedAt.
	popped, busy float64
	// ended is the decaying number of requests of this host that ended, and hence of slots that
	// became free, up to endedAt.
	ended      float64
	endedAt    time.Time
	observedAt time.Time
	// promised is the latest time that a refused request was told to return at, by priority.
	promised map[int]time.Time
}

// NewQueue returns an empty queue. Its items count towards usage.
func NewQueue(usage *Usage) *Queue {
	return &Queue{usage: usage, promised: make(map[int]time.Time)}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Push adds a request. It returns a refusal if the request would not be started in its time, or if
// the host holds too many already.
func (q *Queue) Push(now time.Time, item Item) *Refusal {
	q.observe(now)
	at, _ := slices.BinarySearchFunc(q.items, item, func(a, b Item) int {
		if a.before(&b) {
			return -1
		}
		return 1
	})
	switch full := q.usage.requests >= q.usage.Bounds.Requests || q.usage.bytes+item.Bytes > q.usage.Bounds.Bytes; {
	case full:
		return q.refuse(now, item, ReasonFull, at)
	case float64(q.expectedWait(at)) > arrivalFactor*float64(item.Until.Sub(now)):
		return q.refuse(now, item, ReasonNoTime, at)
	}
	q.items = slices.Insert(q.items, at, item)
	q.usage.add(1, item.Bytes)
	return nil
}

// Pop removes and returns the first request for which free reports true. It asks for no more than a
// few that have no free slot.
func (q *Queue) Pop(now time.Time, free func(*Item) bool) (Item, bool) {
	q.observe(now)
	for i := range min(len(q.items), maxBlocked) {
		if free(&q.items[i]) {
			q.popped++
			return q.removeAt(i), true
		}
	}
	return Item{}, false
}

// Expire removes and returns the requests whose time to wait has passed, and those that the queue
// ahead of them leaves no time for.
func (q *Queue) Expire(now time.Time) []Refusal {
	q.observe(now)
	var refused []Refusal
	for i := 0; i < len(q.items); {
		item := q.items[i]
		left := item.Until.Sub(now)
		switch {
		case left <= 0:
			refused = append(refused, *q.refuse(now, q.removeAt(i), ReasonExpired, i))
		case float64(q.expectedWait(i)) > hopelessFactor*float64(left):
			refused = append(refused, *q.refuse(now, q.removeAt(i), ReasonNoTime, i))
		default:
			i++
		}
	}
	return refused
}

// Remove removes a request whose caller has left, and reports whether it was waiting.
func (q *Queue) Remove(now time.Time, id uint64) bool {
	q.observe(now)
	i := slices.IndexFunc(q.items, func(item Item) bool { return item.ID == id })
	if i < 0 {
		return false
	}
	q.removeAt(i)
	return true
}

// Drain removes and returns all requests in their order.
func (q *Queue) Drain(now time.Time) []Item {
	q.observe(now)
	drained := q.items
	for _, item := range drained {
		q.usage.add(-1, -item.Bytes)
	}
	q.items = nil
	return drained
}

// NextUntil returns the earliest time at which a waiting request expires, zero if none waits.
func (q *Queue) NextUntil() time.Time {
	var next time.Time
	for i := range q.items {
		if until := q.items[i].Until; next.IsZero() || until.Before(next) {
			next = until
		}
	}
	return next
}

// RequestEnded records that a request of this host has ended at a server.
func (q *Queue) RequestEnded(now time.Time) {
	q.decayEnded(now)
	q.ended++
}

func (q *Queue) removeAt(i int) Item {
	item := q.items[i]
	q.items = slices.Delete(q.items, i, i+1)
	q.usage.add(-1, -item.Bytes)
	return item
}

// refuse returns a refusal with a later time for each request of a priority: the callers that were
// refused before come back first, and those of a higher priority before them.
func (q *Queue) refuse(now time.Time, item Item, reason Reason, ahead int) *Refusal {
	step := q.slotInterval()
	at := now.Add(q.expectedWait(ahead))
	for priority, promised := range q.promised {
		switch {
		case promised.Before(now):
			delete(q.promised, priority)
		case priority <= item.Priority && promised.Add(step).After(at):
			at = promised.Add(step)
		}
	}
	if limit := now.Add(maxRetryAfter); at.After(limit) {
		at = limit
	}
	if _, known := q.promised[item.Priority]; known || len(q.promised) < maxPriorities {
		q.promised[item.Priority] = at
	}
	return &Refusal{Item: item, Reason: reason, RetryAfter: at.Sub(now), Ahead: ahead}
}

// expectedWait is the time until a request with the given number of others ahead of it is placed, 0
// if the rate of slots is not known.
func (q *Queue) expectedWait(ahead int) time.Duration {
	return time.Duration(min(float64(q.slotInterval())*float64(ahead+1), math.MaxInt64/4))
}

// slotInterval is the expected time between two placements from the queue, 0 if it is not known.
func (q *Queue) slotInterval() time.Duration {
	// A stationary decaying count is the rate times the mean age of the observations.
	const meanAge = float64(rateHalfLife) / math.Ln2
	weight := float64(priorWeight)
	popped, busy := q.popped+weight*q.ended/meanAge, q.busy+weight
	if popped <= 0 || q.ended <= 0 {
		return 0
	}
	return time.Duration(min(busy/popped, math.MaxInt64/4))
}

// observe advances the rate estimate. Time in which the queue is empty does not count.
func (q *Queue) observe(now time.Time) {
	q.decayEnded(now)
	elapsed := max(now.Sub(q.observedAt), 0)
	q.observedAt = now
	if len(q.items) == 0 {
		return
	}
	kept := decay(elapsed)
	q.popped *= kept
	q.busy = q.busy*kept + float64(rateHalfLife)/math.Ln2*(1-kept)
}

func (q *Queue) decayEnded(now time.Time) {
	if elapsed := now.Sub(q.endedAt); elapsed > 0 {
		q.ended *= decay(elapsed)
		q.endedAt = now
	}
}

func decay(elapsed time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(rateHalfLife))
}
