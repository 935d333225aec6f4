// Package clientlimit bounds the memory and the descriptors that clients take on all listeners of a host.
//
// A parsed request head takes many times its bytes, and a client may send one slowly, or never finish it. The bytes
// of heads are therefore charged to the host's memory budget as they arrive, before net/http parses them. Once a
// request is complete, the charge is replaced by an estimate of what the request takes until it is answered. If
// memory runs out, the request that has been incomplete for longest is given up; if a listener has no connection
// left, the connection that has waited for longest is closed. Neither has been sent to a server, and never is. After
// them go connections whose clients do not read their responses.
package clientlimit

import (
	"container/list"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pearshelf/pearshelf/internal/memory"
)

// Resource is what clients ran out of.
type Resource string

// Resources.
const (
	Memory      Resource = "memory"
	Connections Resource = "connections"
)

const (
	// bodyGrace is the time that the body of an accepted request may take before the request can be given up. A
	// body that follows its head at once arrives within it, even over a slow link.
	bodyGrace = 2 * time.Second
	// responseGrace is the time that a client may take nothing of its response before its connection can be closed
	// for another one.
	responseGrace = 2 * time.Second
	// calmPeriod is the time without a refusal after which a limit no longer binds.
	calmPeriod = 5 * time.Second
	// calmCheckInterval is the time between two checks whether a limit still binds.
	calmCheckInterval = time.Second
)

// Observer is told what the limits do. Its methods are called with no lock held and must not block.
type Observer interface {
	// ClientRefused counts a request that was refused, or a connection that was closed, for lack of a resource.
	ClientRefused(listener string, resource Resource)
	// LimitReached is called when clients begin to be refused for lack of a resource, LimitEnded when none has
	// been for a while.
	LimitReached(resource Resource)
	LimitEnded(resource Resource, refused int)
}

// Config configures a Limiter.
type Config struct {
	// Memory is charged for requests. Incomplete requests are given up when it is used up.
	Memory *memory.Budget
	// IsStreamed reports whether the body of a request is sent on as it arrives. Other bodies are read completely
	// before the request is sent.
	IsStreamed func(r *http.Request) bool
	// Refusal is sent to clients whose request head is given up: an HTTP/1.1 response that closes the connection.
	Refusal []byte
	// Observer is told what the limits do.
	Observer Observer
}

// Limiter bounds what the clients of all listeners take. It is safe for concurrent use.
type Limiter struct {
	conf   Config
	memory *memory.Budget

	mu sync.Mutex
	// heads and bodies are the requests that have not arrived completely, by the time at which they began: those
	// whose head is being read, and those with a handler that reads the body.
	heads, bodies list.List // of *incoming
	// headBytes are charged for heads.
	headBytes int64
	binding   map[Resource]*binding
}

// binding is the state of a limit that refuses clients.
type binding struct {
	last    time.Time
	refused int
}

// New returns a Limiter.
func New(conf Config) *Limiter {
	l := &Limiter{conf: conf, memory: conf.Memory, binding: make(map[Resource]*binding)}
	conf.Memory.OnFull(l.makeRoom)
	return l
}

// Run reports the end of limits until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	ticker := time.NewTicker(calmCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			l.reportEnds(now)
		}
	}
}

func (l *Limiter) reportEnds(now time.Time) {
	l.mu.Lock()
	ended := make(map[Resource]int)
	for resource, b := range l.binding {
		if now.Sub(b.last) >= calmPeriod {
			ended[resource] = b.refused
			delete(l.binding, resource)
		}
	}
	l.mu.Unlock()
	for resource, refused := range ended {
		l.conf.Observer.LimitEnded(resource, refused)
	}
}

// refused records that a client was refused. l.mu must not be held.
func (l *Limiter) refused(listener string, resource Resource) {
	l.mu.Lock()
	b, bound := l.binding[resource]
	if !bound {
		b = &binding{}
		l.binding[resource] = b
	}
	b.last = time.Now()
	b.refused++
	l.mu.Unlock()
	if !bound {
		l.conf.Observer.LimitReached(resource)
	}
	l.conf.Observer.ClientRefused(listener, resource)
}

// incoming is a request that has not arrived completely, with the memory that is charged for it. Its fields are
// protected by Limiter.mu.
type incoming struct {
	listener string
	since    time.Time
	charged  int64
	// ended is set once nothing more can be charged, givenUp if that is because the request was given up.
	ended, givenUp bool
	// conn is the connection on which the head is being read, nil once a handler has the request.
	conn *conn
	// interrupt ends the handler's read of the body. It is called with Limiter.mu held and must not block.
	interrupt func()
	// queue and element are its place in Limiter.heads or bodies, nil if it cannot be given up.
	queue   *list.List
	element *list.Element
}

// enqueue makes a request one that can be given up. l.mu must be held.
func (l *Limiter) enqueue(in *incoming, queue *list.List) {
	in.since = time.Now()
	in.queue, in.element = queue, queue.PushBack(in)
}

// dequeue makes a request one that cannot be given up. l.mu must be held.
func (l *Limiter) dequeue(in *incoming) {
	if in.element != nil {
		in.queue.Remove(in.element)
		in.queue, in.element = nil, nil
	}
}

// charge charges n more bytes to a request, and reports whether it may go on. A request of ordinary size may use all
// of the budget, a larger one leaves room for others.
func (l *Limiter) charge(in *incoming, n int64) bool {
	l.mu.Lock()
	large := in.charged+n > ordinaryRequestBytes
	l.mu.Unlock()
	if large {
		return l.chargeWith(l.memory.TryAcquireLarge, in, n)
	}
	return l.chargeWith(l.memory.TryAcquire, in, n)
}

// chargeWith charges bytes that acquire reserves.
func (l *Limiter) chargeWith(acquire func(int64) bool, in *incoming, n int64) bool {
	if !acquire(n) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if in.ended { // meanwhile: it may have been given up to make this room, or its connection closed
		l.memory.Release(n)
		return false
	}
	l.addCharge(in, n)
	return true
}

// addCharge adds reserved bytes to the charge of a request. l.mu must be held.
func (l *Limiter) addCharge(in *incoming, n int64) {
	in.charged += n
	if in.conn != nil {
		l.headBytes += n
	}
}

// discharge releases the memory of a request, which can no longer be given up or charged. l.mu must be held.
func (l *Limiter) discharge(in *incoming) {
	l.dequeue(in)
	in.ended = true
	l.memory.Release(in.charged)
	l.addCharge(in, -in.charged)
}

// makeRoom gives up the request that has been incomplete for longest. It returns false if there is none, or if all
// heads together have not the missing bytes.
func (l *Limiter) makeRoom(missing int64) bool {
	return l.giveUp(func() *incoming {
		body, head := l.oldestBody(time.Now()), front(&l.heads)
		if head == nil || missing > l.headBytes || body != nil && body.since.Before(head.since) {
			return body
		}
		return head
	})
}

// giveUpBody gives up a request whose body has been incomplete for longest, and reports whether there was one.
func (l *Limiter) giveUpBody() bool {
	return l.giveUp(func() *incoming { return l.oldestBody(time.Now()) })
}

// giveUp gives up the request that choose returns, unless it is nil. choose is called with l.mu held.
func (l *Limiter) giveUp(choose func() *incoming) bool {
	victim := l.endChosen(choose)
	if victim == nil {
		return false
	}
	if victim.conn != nil {
		victim.conn.refuse()
	}
	l.refused(victim.listener, Memory)
	return true
}

// endChosen keeps a request from being served, and ends the read of its body if a handler has it.
func (l *Limiter) endChosen(choose func() *incoming) *incoming {
	l.mu.Lock()
	defer l.mu.Unlock()
	victim := choose()
	if victim == nil {
		return nil
	}
	l.discharge(victim)
	victim.givenUp = true
	if victim.conn != nil {
		victim.conn.abandon()
	} else {
		victim.interrupt()
	}
	return victim
}

// oldestBody returns the request whose body has been incomplete for longest, nil if none may be given up. l.mu must be
// held.
func (l *Limiter) oldestBody(now time.Time) *incoming {
	body := front(&l.bodies)
	if body == nil || now.Sub(body.since) < bodyGrace {
		return nil
	}
	return body
}

// front returns the first request of a queue, nil if it is empty.
func front(queue *list.List) *incoming {
	element := queue.Front()
	if element == nil {
		return nil
	}
	return element.Value.(*incoming)
}
