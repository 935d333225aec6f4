package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/pearshelf/pearshelf/experiment/simtime"
	"github.com/pearshelf/pearshelf/internal/protocol"
)

// errorAfter is how soon a server in a spell of errors answers.
const errorAfter = 3 * time.Millisecond

// reply is how a server's work on a request ended.
type reply int

const (
	replyGood reply = iota
	replyError
	replyShed
	replyBroken      // the server ended while it had the request
	replyUnreachable // it had ended before the request came
)

// endsAfter is how long a request that ends servers has run by then.
const endsAfter = 10 * time.Millisecond

// answer is what a server sends back, and what it says of itself with it.
type answer struct {
	reply reply
	said  protocol.ServerState
}

// job is a request at a server.
type job struct {
	route *Route
	// deadline is when the server gives up, by what it was told.
	deadline time.Duration
	done     func(answer)
	end      *simtime.Timer
	over     bool
	// ended is called when the request has ended the server that ran it, nil for one that
	// does not end servers.
	ended func()
}

// server is a backend server with slots and a queue.
type server struct {
	id         string
	dataCentre int
	service    *Service
	clock      *simtime.Clock
	random     *rand.Rand
	working    []*job
	queue      []*job
	inSpell    bool
	// lastTaken is when a request last came, lastFailed when one last met trouble.
	lastTaken, lastFailed time.Duration
	faults                []Fault // those that come to this server
	// downUntil is when the server has started again after it ended.
	downUntil time.Duration
	losesPath bool // one of those that Paths concerns
	// pathDisturbed is set while its links to some hosts are disturbed, and for a while after.
	pathDisturbed bool
}

func newServer(service *Service, dataCentre, number int, c *simtime.Clock, random *rand.Rand) *server {
	s := &server{
		id:         fmt.Sprintf("%s-%d-%d", service.Name, dataCentre, number),
		dataCentre: dataCentre,
		service:    service,
		clock:      c,
		random:     random,
	}
	for _, f := range service.Faults {
		if random.Float64() < f.Share {
			s.faults = append(s.faults, f)
		}
	}
	if service.Spells.Share > 0 {
		s.inSpell = random.Float64() < service.Spells.Share
		s.nextSpell()
	}
	return s
}

// nextSpell schedules the end of a spell, or of the time between two.
func (s *server) nextSpell() {
	mean := float64(s.service.Spells.Mean)
	if !s.inSpell {
		mean *= (1 - s.service.Spells.Share) / s.service.Spells.Share
	}
	length := distuv.Exponential{Rate: 1 / mean, Src: s.random}.Rand()
	if s.inSpell && s.service.Spells.Fixed {
		length = mean
	}
	s.clock.After(time.Duration(length), func() {
		s.inSpell = !s.inSpell
		s.nextSpell()
	})
}

// trouble draws what a request meets that begins now, "" for nothing.
func (s *server) trouble() (kind string, factor float64) {
	for _, f := range s.faults {
		if !s.isNow(f) || f.Kind == KindLeaving || f.Kind == KindLimit {
			continue
		}
		if f.Kind == KindSlow {
			return KindSlow, f.Factor
		}
		if s.random.Float64() < f.Fails {
			return f.Kind, 1
		}
	}
	if s.inSpell && s.random.Float64() < s.service.Spells.Fails {
		return s.service.Spells.Kind, 1
	}
	return "", 1
}

func (s *server) isNow(f Fault) bool {
	return s.clock.Now >= time.Duration(f.From) && s.clock.Now < time.Duration(f.From+f.For)
}

// namesLimit reports whether the server's answers name a rate limit now.
func (s *server) namesLimit() bool {
	return slices.ContainsFunc(s.faults, func(f Fault) bool { return f.Kind == KindLimit && s.isNow(f) })
}

// limitAllows is how many requests the limits that the server names let through in a time, by the
// value that is in force at each moment.
func (s *server) limitAllows(from, to time.Duration) float64 {
	var allowed float64
	for _, f := range s.faults {
		if f.Kind != KindLimit {
			continue
		}
		begin, end := max(from, time.Duration(f.From)), min(to, time.Duration(f.From+f.For))
		allowed += f.PerSecond * max(end-begin, 0).Seconds()
	}
	return allowed
}

// answer ends a request with what the server says of itself now.
func (s *server) answer(j *job, result reply) {
	j.over = true
	a := answer{reply: result, said: protocol.ServerState{Load: &protocol.Load{Running: len(s.working), Waiting: len(s.queue)}}}
	if result == replyShed {
		a.said.Rest = time.Duration(s.service.Rest)
	}
	for _, f := range s.faults {
		switch {
		case f.Kind == KindLeaving && s.clock.Now >= time.Duration(f.From):
			a.said.Leaving = true
		case f.Kind == KindLimit && s.isNow(f):
			a.said.Limit = protocol.RateLimit{Named: true, PerSecond: f.PerSecond}
		case f.Kind == KindShed && result == replyShed:
			a.said.Rest = max(a.said.Rest, time.Duration(f.Rest))
		}
	}
	j.done(a)
}

// take begins a request, queues it or sheds it.
func (s *server) take(j *job) {
	if s.clock.Now < s.downUntil {
		s.lastFailed = s.clock.Now
		j.over = true
		j.done(answer{reply: replyUnreachable})
		return
	}
	s.lastTaken = s.clock.Now
	switch {
	case len(s.working) < s.service.Slots:
		s.begin(j)
	case len(s.queue) < s.service.Queue:
		s.queue = append(s.queue, j)
	default:
		s.answer(j, replyShed)
	}
}

func (s *server) begin(j *job) {
	kind, factor := s.trouble()
	if kind != "" {
		s.lastFailed = s.clock.Now
	}
	left := j.deadline - s.clock.Now
	if kind == KindShed || left <= 0 {
		s.answer(j, replyShed)
		s.next()
		return
	}
	s.working = append(s.working, j)
	if j.ended != nil {
		j.end = s.clock.After(min(endsAfter, left), func() {
			s.endProcess()
			j.ended()
		})
		return
	}
	result := replyGood
	work := time.Duration(factor * float64(draw(j.route.Work, s.random)))
	switch {
	case kind == KindErrors:
		work, result = errorAfter, replyError
	case kind == KindHang:
		work = math.MaxInt64
	case s.random.Float64() < j.route.OwnErrors:
		result = replyError
	}
	if work > left {
		work, result = left, replyError
	}
	j.end = s.clock.After(work, func() { s.finish(j, result) })
}

func (s *server) finish(j *job, result reply) {
	s.leave(j)
	s.answer(j, result)
	s.next()
}

// leave takes a request from those that the server works on.
func (s *server) leave(j *job) {
	i := slices.Index(s.working, j)
	s.working = slices.Delete(s.working, i, i+1)
}

// endProcess ends the server with all requests that it has.
func (s *server) endProcess() {
	s.lastFailed = s.clock.Now
	s.downUntil = s.clock.Now + time.Duration(s.service.Restart)
	jobs := slices.Concat(s.working, s.queue)
	s.working, s.queue = nil, nil
	for _, j := range jobs {
		j.over = true
		if j.end != nil {
			j.end.Stop()
		}
		j.done(answer{reply: replyBroken})
	}
}

func (s *server) next() {
	for len(s.working) < s.service.Slots && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		s.begin(j)
	}
}

// cancel ends a request whose sender has left.
func (s *server) cancel(j *job) {
	if j.over {
		return
	}
	j.over = true
	if i := slices.Index(s.queue, j); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		return
	}
	if j.end == nil {
		return // still on its way here
	}
	j.end.Stop()
	s.leave(j)
	s.next()
}

// draw draws a request's work.
func draw(w Work, random *rand.Rand) time.Duration {
	// the mean of a log-normal distribution is exp(mu + sigma^2/2)
	mu := math.Log(float64(w.Mean)) - w.Spread*w.Spread/2
	work := distuv.LogNormal{Mu: mu, Sigma: w.Spread, Src: random}.Rand()
	if random.Float64() < w.Tail {
		work *= w.TailFactor
	}
	return time.Duration(work)
}
