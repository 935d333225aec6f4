package startup

import (
	"container/heap"
	"time"
)

const (
	// MaxHeld and MaxHeldShare bound the requests that wait for the first configuration and the
	// share of the host's memory that they may take. A waiting request takes about heldBytes for
	// its goroutines, buffers and header, besides the part of its body that has arrived.
	MaxHeld      = 1024
	MaxHeldShare = 16
	heldBytes    = 16 << 10
	// maxHeldBody is the part of a request's body that arrives before it is read: it stays in the
	// buffers of the socket.
	maxHeldBody = 64 << 10

	// reserveShare of a request's time is kept for serving it. A request that is refused later than
	// at three quarters of its time has cost its caller as much as one that is never answered.
	reserveShare = 4
	// DefaultTime is the time of a request whose caller sends no deadline: callers of services with
	// short requests wait about 2 s.
	DefaultTime = 2 * time.Second

	// MaxSpread is the time over which waiting requests are let in. At that moment no host knows of
	// the requests of the others, which it learns some 3 ms after they are sent, and all would pick
	// the same idle servers.
	MaxSpread = 200 * time.Millisecond
	// spreadShare is the share of the time left to a request that letting it in may take.
	spreadShare = 8
)

// Held is a request that waits for the first configuration.
type Held struct {
	// Deadline is when its caller gives up.
	Deadline time.Time
	// GiveUp is when it can no longer be served.
	GiveUp time.Time
	bytes  int64
	index  int
}

// Hold is the set of requests that wait for the first configuration. It is not safe for concurrent use.
type Hold struct {
	// MaxBytes bounds the memory of the waiting requests.
	MaxBytes int64
	bytes    int64
	byTime   heldHeap
}

// Enter adds a request that arrived now, with the time that its caller allows (0 if it does not say)
// and the length of its body (-1 if unknown). It returns nil if there is no room or no time to wait.
func (h *Hold) Enter(now time.Time, allowed time.Duration, body int64) *Held {
	if allowed <= 0 {
		allowed = DefaultTime
	}
	if body < 0 || body > maxHeldBody {
		body = maxHeldBody
	}
	r := &Held{Deadline: now.Add(allowed), GiveUp: now.Add(allowed - allowed/reserveShare), bytes: heldBytes + body}
	if len(h.byTime) >= MaxHeld || h.bytes+r.bytes > h.MaxBytes {
		return nil
	}
	h.bytes += r.bytes
	heap.Push(&h.byTime, r)
	return r
}

// Leave removes a request that stopped waiting. Removing it again has no effect.
func (h *Hold) Leave(r *Held) {
	if r.index < 0 {
		return
	}
	heap.Remove(&h.byTime, r.index)
	h.bytes -= r.bytes
}

// Len returns the number of waiting requests.
func (h *Hold) Len() int { return len(h.byTime) }

// Next removes and returns the request with the earliest deadline, and the pause after it, so that
// those that remain are let in evenly over the rest of the spread. It returns nil if none waits.
// began is when the first request was let in.
func (h *Hold) Next(now, began time.Time) (next *Held, pause time.Duration) {
	if len(h.byTime) == 0 {
		return nil, 0
	}
	next = h.byTime[0]
	h.Leave(next)
	if len(h.byTime) == 0 {
		return next, 0
	}
	left := min(began.Add(MaxSpread).Sub(now), h.byTime[0].Deadline.Sub(now)/spreadShare)
	return next, max(left, 0) / time.Duration(len(h.byTime))
}

// FirstPause returns the pause before the first request is let in, for a host that drew random from
// [0, 1): the hosts of a fleet become ready within milliseconds of each other, and each has few
// requests.
func (h *Hold) FirstPause(now time.Time, random float64) time.Duration {
	if len(h.byTime) == 0 {
		return 0
	}
	spread := min(MaxSpread/time.Duration(1+len(h.byTime)), h.byTime[0].Deadline.Sub(now)/spreadShare)
	return time.Duration(random * float64(max(spread, 0)))
}

// heldHeap orders requests by deadline.
type heldHeap []*Held

func (q heldHeap) Len() int           { return len(q) }
func (q heldHeap) Less(i, j int) bool { return q[i].Deadline.Before(q[j].Deadline) }
func (q heldHeap) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *heldHeap) Push(x any) {
	r := x.(*Held)
	r.index = len(*q)
	*q = append(*q, r)
}

// Pop implements heap.Interface.
func (q *heldHeap) Pop() any {
	old := *q
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	r.index = -1
	return r
}

var _ heap.Interface = (*heldHeap)(nil)
