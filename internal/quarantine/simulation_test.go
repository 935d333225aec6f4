package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/content"
)

// workload is a minute of a service of 12 servers behind 36 hosts: 30 reads a second that are
// each their own, of 50 callers, and come again up to three times if they fail, and one
// popular read ten times a second. A read takes 0.3 s and is sent to two servers at most.
type workload struct {
	// crashInterval is the mean time from one server's own end to the next, 0 for none; a
	// server is back, as another process, after 3 s.
	crashInterval time.Duration
	// crashingPerSecond is how often the request comes that ends its servers after 80 ms.
	crashingPerSecond float64
	// disrupt does to the hosts what happens at a time since the start, nil for nothing.
	disrupt func(f *fleet, at time.Duration)
}

// outcome of a load.
type outcome struct {
	arrivals, refused int // of requests that do nothing wrong
	crashes           int // servers that the bad request has ended
	// lateSends are the sends of the bad request later than graceTime after it has ended
	// the third server, by hosts that have run for that long, and earlySends those before.
	lateSends, earlySends int
}

// gracePeriod is the users' bound (StableWindowS).
const gracePeriod = 3 * time.Second

type inFlightRequest struct {
	id       content.ID
	caller   content.ID
	host     string
	doneAt   time.Time // when it is answered, or ends its server if it is bad
	crashing bool
	sends    int
	attempts int
}

type simServer struct {
	name        string
	incarnation int
	upAt        time.Time
	inFlight    []inFlightRequest
}

func (s *simServer) id() string { return fmt.Sprintf("%s-%d", s.name, s.incarnation) }

type simulation struct {
	f            *fleet
	rng          *rand.Rand
	servers      []*simServer
	out          outcome
	reads        int
	thirdCrashAt time.Time
}

func simulate(t *testing.T, l workload, seed uint64) outcome {
	s := &simulation{f: newFleet(t, 36), rng: rand.New(rand.NewPCG(seed, 7))}
	for i := range 12 {
		s.servers = append(s.servers, &simServer{name: fmt.Sprint("s", i)})
	}
	const step = 10 * time.Millisecond
	for i := range int(time.Minute / step) {
		s.f.advance(step)
		if l.disrupt != nil {
			l.disrupt(s.f, time.Duration(i)*step)
		}
		s.completeRequests()
		s.arrive(30*step.Seconds(), func() inFlightRequest {
			s.reads++
			return inFlightRequest{id: contentID(fmt.Sprint("read", s.reads)), caller: contentID(fmt.Sprint("caller", s.rng.IntN(50)))}
		})
		s.arrive(10*step.Seconds(), func() inFlightRequest { return inFlightRequest{id: contentID("popular"), caller: contentID("poller")} })
		s.arrive(l.crashingPerSecond*step.Seconds(), func() inFlightRequest {
			return inFlightRequest{id: contentID("bad"), caller: contentID("bad caller"), crashing: true}
		})
		if l.crashInterval > 0 && s.rng.Float64() < step.Seconds()/l.crashInterval.Seconds() {
			s.crash(s.servers[s.rng.IntN(len(s.servers))])
		}
	}
	return s.out
}

func (s *simulation) arrive(chance float64, make func() inFlightRequest) {
	if s.rng.Float64() >= chance {
		return
	}
	s.request(make())
}

// request lets a request come to any host.
func (s *simulation) request(r inFlightRequest) {
	r.host = s.f.names[s.rng.IntN(len(s.f.names))]
	if s.f.hosts[r.host] == nil {
		return // it is down
	}
	r.sends = 0
	r.attempts++
	if !r.crashing {
		s.out.arrivals++
	}
	s.send(r)
}

// send sends a request to any server that is up, unless its content is refused.
func (s *simulation) send(r inFlightRequest) {
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
	if r.crashing && !s.thirdCrashAt.IsZero() {
		s.countCrashingSend(r)
	}
	r.doneAt = s.f.now.Add(300 * time.Millisecond)
	if r.crashing {
		r.doneAt = s.f.now.Add(80 * time.Millisecond)
	}
	server.inFlight = append(server.inFlight, r)
}

// countCrashingSend counts a send of the bad request after it has ended the third server.
func (s *simulation) countCrashingSend(r inFlightRequest) {
	if s.f.now.Sub(s.thirdCrashAt) > gracePeriod && s.f.now.Sub(s.f.hosts[r.host].connectedSince) > gracePeriod {
		s.out.lateSends++
	} else {
		s.out.earlySends++
	}
}

func (s *simulation) refuse(r inFlightRequest) {
	if !r.crashing {
		s.out.refused++
	}
}

// completeRequests ends what is done, or what ends its server.
func (s *simulation) completeRequests() {
	for _, server := range s.servers {
		for i := 0; i < len(server.inFlight); i++ {
			r := server.inFlight[i]
			if s.f.now.Before(r.doneAt) {
				continue
			}
			if r.crashing {
				s.out.crashes++
				if s.out.crashes == 3 {
					s.thirdCrashAt = s.f.now
				}
				s.crash(server)
				break
			}
			server.inFlight = append(server.inFlight[:i], server.inFlight[i+1:]...)
			i--
			if s.f.hosts[r.host] != nil {
				s.f.answered(r.host, r.id)
				s.f.answered(r.host, r.caller)
			}
		}
	}
}

// crash ends a server; what was there goes elsewhere, or comes again.
func (s *simulation) crash(server *simServer) {
	if s.f.now.Before(server.upAt) {
		return
	}
	lost := server.inFlight
	id := server.id()
	server.inFlight = nil
	server.incarnation++
	server.upAt = s.f.now.Add(3 * time.Second)
	lost = slices.DeleteFunc(lost, func(r inFlightRequest) bool { return s.f.hosts[r.host] == nil })
	for _, r := range lost {
		s.f.serverCrashed(r.host, r.id, id)
		s.f.hosts[r.host].table.Ended(s.f.now, r.caller, End{Scope: ScopeCaller, Service: "shop", Server: id, At: s.f.now})
	}
	s.f.deliver()
	for _, r := range lost {
		switch {
		case r.sends < 2:
			s.send(r)
		case !r.crashing && r.attempts < 3:
			s.request(r)
		}
	}
}

// Requests that did nothing wrong are served: popular reads by the answers that clear them. The
// bounds are for sums of four seeds.
func TestHarmlessRequestsAreServed(t *testing.T) {
	loads := []struct {
		name string
		load workload
	}{
		{"calm", workload{}},
		{"servers end by themselves", workload{crashInterval: 700 * time.Millisecond}},
		{"a request ends servers", workload{crashingPerSecond: 2.5}},
		{"both", workload{crashInterval: 700 * time.Millisecond, crashingPerSecond: 2.5}},
	}
	const seeds = 4
	for _, l := range loads {
		var sum outcome
		for seed := range uint64(seeds) {
			o := simulate(t, l.load, seed)
			sum.arrivals += o.arrivals
			sum.refused += o.refused
			sum.crashes += o.crashes
		}
		t.Logf("%s: refused %d of %d, servers ended %d", l.name, sum.refused, sum.arrivals, sum.crashes)
		if sum.refused*2000 > sum.arrivals {
			t.Errorf("%s: %d of %d refused that did nothing wrong", l.name, sum.refused, sum.arrivals)
		}
		// three, what is under way, and a trial in each minute
		if sum.crashes > seeds*7 {
			t.Errorf("%s: %d servers ended", l.name, sum.crashes)
		}
	}
}
