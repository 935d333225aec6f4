package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/content"
)

// load is a minute of a service of 12 servers behind 36 hosts: 30 reads a second that are
// each their own, of 50 callers, and come again up to three times if they fail, and one
// popular read ten times a second. A read takes 0.3 s and is sent to two servers at most.
type load struct {
	// endsEvery is the mean time from one server's own end to the next, 0 for none; a
	// server is back, as another process, after 3 s.
	endsEvery time.Duration
	// badPerSecond is how often the request comes that ends its servers after 80 ms.
	badPerSecond float64
	// disturb does to the hosts what happens at a time since the start, nil for nothing.
	disturb func(f *fleet, at time.Duration)
}

// outcome of a load.
type outcome struct {
	arrivals, refused int // of requests that do nothing wrong
	badEnds           int // servers that the bad request has ended
	// badSends are the sends of the bad request later than graceTime after it has ended
	// the third server, by hosts that have run for that long, and early those before.
	badSends, early int
}

// graceTime is the users' bound (StableWindowS).
const graceTime = 3 * time.Second

type flight struct {
	id     content.ID
	caller content.ID
	host   string
	ends   time.Time // when it is answered, or ends its server if it is bad
	bad    bool
	sends  int
	visits int
}

type simServer struct {
	name    string
	lives   int
	upAt    time.Time
	flights []flight
}

func (s *simServer) id() string { return fmt.Sprintf("%s-%d", s.name, s.lives) }

type simulation struct {
	f       *fleet
	rng     *rand.Rand
	servers []*simServer
	out     outcome
	unique  int
	thirdAt time.Time
}

func simulate(t *testing.T, l load, seed uint64) outcome {
	s := &simulation{f: newFleet(t, 36), rng: rand.New(rand.NewPCG(seed, 7))}
	for i := range 12 {
		s.servers = append(s.servers, &simServer{name: fmt.Sprint("s", i)})
	}
	const step = 10 * time.Millisecond
	for i := range int(time.Minute / step) {
		s.f.pass(step)
		if l.disturb != nil {
			l.disturb(s.f, time.Duration(i)*step)
		}
		s.answer()
		s.arrive(30*step.Seconds(), func() flight {
			s.unique++
			return flight{id: idOf(fmt.Sprint("read", s.unique)), caller: idOf(fmt.Sprint("caller", s.rng.IntN(50)))}
		})
		s.arrive(10*step.Seconds(), func() flight { return flight{id: idOf("popular"), caller: idOf("poller")} })
		s.arrive(l.badPerSecond*step.Seconds(), func() flight { return flight{id: idOf("bad"), caller: idOf("bad caller"), bad: true} })
		if l.endsEvery > 0 && s.rng.Float64() < step.Seconds()/l.endsEvery.Seconds() {
			s.end(s.servers[s.rng.IntN(len(s.servers))])
		}
	}
	return s.out
}

func (s *simulation) arrive(chance float64, make func() flight) {
	if s.rng.Float64() >= chance {
		return
	}
	s.request(make())
}

// request lets a request come to any host.
func (s *simulation) request(r flight) {
	r.host = s.f.names[s.rng.IntN(len(s.f.names))]
	if s.f.hosts[r.host] == nil {
		return // it is down
	}
	r.sends = 0
	r.visits++
	if !r.bad {
		s.out.arrivals++
	}
	s.send(r)
}

// send sends a request to any server that is up, unless its content is refused.
func (s *simulation) send(r flight) {
	table := s.f.hosts[r.host].table
	for _, id := range (Subject{Content: r.id, Caller: r.caller}).IDs() {
		q := table.view.Get(id)
		if q == nil {
			continue
		}
		if tries, _ := table.Trial(s.f.now, q); !tries {
			s.refuse(r)
			return
		}
	}
	server := s.servers[s.rng.IntN(len(s.servers))]
	if s.f.now.Before(server.upAt) {
		return // no connection: it counts for nothing here
	}
	r.sends++
	if r.bad && !s.thirdAt.IsZero() {
		s.noteBadSend(r)
	}
	r.ends = s.f.now.Add(300 * time.Millisecond)
	if r.bad {
		r.ends = s.f.now.Add(80 * time.Millisecond)
	}
	server.flights = append(server.flights, r)
}

// noteBadSend counts a send of the bad request after it has ended the third server.
func (s *simulation) noteBadSend(r flight) {
	if s.f.now.Sub(s.thirdAt) > graceTime && s.f.now.Sub(s.f.hosts[r.host].since) > graceTime {
		s.out.badSends++
	} else {
		s.out.early++
	}
}

func (s *simulation) refuse(r flight) {
	if !r.bad {
		s.out.refused++
	}
}

// answer ends what is done, or what ends its server.
func (s *simulation) answer() {
	for _, server := range s.servers {
		for i := 0; i < len(server.flights); i++ {
			r := server.flights[i]
			if s.f.now.Before(r.ends) {
				continue
			}
			if r.bad {
				s.out.badEnds++
				if s.out.badEnds == 3 {
					s.thirdAt = s.f.now
				}
				s.end(server)
				break
			}
			server.flights = append(server.flights[:i], server.flights[i+1:]...)
			i--
			if s.f.hosts[r.host] != nil {
				s.f.served(r.host, r.id)
				s.f.served(r.host, r.caller)
			}
		}
	}
}

// end ends a server; what was there goes elsewhere, or comes again.
func (s *simulation) end(server *simServer) {
	if s.f.now.Before(server.upAt) {
		return
	}
	lost := server.flights
	id := server.id()
	server.flights = nil
	server.lives++
	server.upAt = s.f.now.Add(3 * time.Second)
	lost = slices.DeleteFunc(lost, func(r flight) bool { return s.f.hosts[r.host] == nil })
	for _, r := range lost {
		s.f.ended(r.host, r.id, id)
		s.f.hosts[r.host].table.Ended(s.f.now, r.caller, End{Scope: ScopeCaller, Service: "shop", Server: id, At: s.f.now})
	}
	s.f.deliver()
	for _, r := range lost {
		switch {
		case r.sends < 2:
			s.send(r)
		case !r.bad && r.visits < 3:
			s.request(r)
		}
	}
}

// Requests that did nothing wrong are served: popular reads by the answers that clear them. The
// bounds are for sums of four seeds.
func TestRequestsThatDidNothingWrong(t *testing.T) {
	loads := []struct {
		name string
		load load
	}{
		{"calm", load{}},
		{"servers end by themselves", load{endsEvery: 700 * time.Millisecond}},
		{"a request ends servers", load{badPerSecond: 2.5}},
		{"both", load{endsEvery: 700 * time.Millisecond, badPerSecond: 2.5}},
	}
	const seeds = 4
	for _, l := range loads {
		var sum outcome
		for seed := range uint64(seeds) {
			o := simulate(t, l.load, seed)
			sum.arrivals += o.arrivals
			sum.refused += o.refused
			sum.badEnds += o.badEnds
		}
		t.Logf("%s: refused %d of %d, servers ended %d", l.name, sum.refused, sum.arrivals, sum.badEnds)
		if sum.refused*2000 > sum.arrivals {
			t.Errorf("%s: %d of %d refused that did nothing wrong", l.name, sum.refused, sum.arrivals)
		}
		// three, what is under way, and a trial in each minute
		if sum.badEnds > seeds*7 {
			t.Errorf("%s: %d servers ended", l.name, sum.badEnds)
		}
	}
}
