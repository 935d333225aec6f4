package replay

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/pearshelf/pearshelf/experiment/simtime"
)

// Bound plays a pattern with one central queue for each service that knows at each
// moment which servers are in a spell and leaves them out. Requests that can still
// be in time go first, in order of their objectives, then late ones; what can no longer
// be served is dropped. Its figures are what a policy is measured against. Requests
// still meet their own errors and tails; sheds count as spells.
func Bound(pattern *Pattern, seed uint64) *Result {
	f := &fleet{
		pattern: pattern,
		seed:    seed,
		clock:   &simtime.Clock{},
		random:  rand.New(rand.NewPCG(seed, 1)),
		servers: make(map[string]*server),
		result:  newResult(pattern),
	}
	queues := make(map[string]*centralQueue)
	for i := range pattern.Services {
		service := &pattern.Services[i]
		queues[service.Name] = &centralQueue{
			fleet:   f,
			random:  rand.New(rand.NewPCG(seed, uint64(i)+500)),
			servers: f.serversOf(service),
		}
	}
	for i := range pattern.Routes {
		f.arrive(&pattern.Routes[i], rand.New(rand.NewPCG(seed, uint64(i)+100)), queues[pattern.Routes[i].Service].take)
	}
	f.clock.Run(time.Duration(pattern.Length) + settle)
	return f.result
}

// centralQueue is the bound's queue of one service.
type centralQueue struct {
	fleet   *fleet
	random  *rand.Rand
	servers []*server
	// hopeful can still be in time, late cannot.
	hopeful waiting
	late    waiting
}

func (q *centralQueue) take(route *Route) {
	heap.Push(&q.hopeful, &request{host: &host{fleet: q.fleet}, route: route, asked: q.fleet.clock.Now})
	q.begin()
}

// begin starts what waits, as long as a sound server has a free slot.
func (q *centralQueue) begin() {
	q.sort()
	for len(q.hopeful)+len(q.late) > 0 {
		s := q.free()
		if s == nil {
			q.fleet.clock.After(lookAgain, q.begin)
			return
		}
		from := &q.hopeful
		if len(q.hopeful) == 0 {
			from = &q.late
		}
		q.run(s, heap.Pop(from).(*request))
	}
}

func (q *centralQueue) run(s *server, r *request) {
	work := draw(r.route.Work, q.random)
	if work > r.deadline()-q.fleet.clock.Now {
		q.fleet.result.note(r, refused)
		return
	}
	o := served
	if q.random.Float64() < r.route.OwnErrors && (!r.route.Idempotent || r.route.Attempts < 2) {
		o = failed
	}
	j := &job{route: r.route}
	s.working = append(s.working, j)
	q.fleet.clock.After(work, func() {
		s.leave(j)
		q.fleet.result.note(r, o)
		q.begin()
	})
}

// lookAgain is how long the queue waits for a spell to end before it looks again.
const lookAgain = 20 * time.Millisecond

// sort moves what will be late behind what can be in time, and drops what can no
// longer be served.
func (q *centralQueue) sort() {
	soonest := func(r *request) time.Duration { return q.fleet.clock.Now + time.Duration(r.route.Work.Mean) }
	for len(q.hopeful) > 0 && q.hopeful[0].objective() < soonest(q.hopeful[0]) {
		heap.Push(&q.late, heap.Pop(&q.hopeful))
	}
	for len(q.late) > 0 && q.late[0].deadline() < soonest(q.late[0]) {
		q.fleet.result.note(heap.Pop(&q.late).(*request), refused)
	}
}

func (q *centralQueue) free() *server {
	for _, s := range q.servers {
		if len(s.working) < s.service.Slots && !s.inSpell && !s.faulty() {
			return s
		}
	}
	return nil
}

// faulty reports whether a fault that fails requests is at the server now.
func (s *server) faulty() bool {
	for _, f := range s.faults {
		if f.Kind != KindSlow && s.clock.Now >= time.Duration(f.From) && s.clock.Now < time.Duration(f.From+f.For) {
			return f.Share < 1 // where all servers fail, there is no better one
		}
	}
	return false
}

// waiting orders requests by objective.
type waiting []*request

func (w waiting) Len() int           { return len(w) }
func (w waiting) Less(i, j int) bool { return w[i].objective() < w[j].objective() }
func (w waiting) Swap(i, j int)      { w[i], w[j] = w[j], w[i] }
func (w *waiting) Push(x any)        { *w = append(*w, x.(*request)) }
func (w *waiting) Pop() any {
	last := len(*w) - 1
	x := (*w)[last]
	*w = (*w)[:last]
	return x
}

func (r *request) objective() time.Duration { return r.asked + time.Duration(r.route.Objective) }
