package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/content"
)

// workload describes one minute of traffic to a service of 12 servers behind 36 hosts: 30 distinct
// reads per second from 50 callers, and one popular read ten times per second. A caller sends a
// failed read up to three times. A read takes 0.3 s and is sent to at most two servers.
type workload struct {
	// crashInterval is the mean time between crashes that no request causes, 0 for none. A
	// crashed server is back as a new process after 3 s.
	crashInterval time.Duration
	// crashingPerSecond is the rate of the request that crashes its servers after 80 ms.
	crashingPerSecond float64
	// disrupt is called with the time since the start and applies disruptions to the hosts; nil
	// for none.
	disrupt func(f *fleet, at time.Duration)
}

// outcome is the result of a simulated workload.
type outcome struct {
	arrivals, refused int // harmless requests
	crashes           int // servers crashed by the crashing request
	// lateSends counts the sends of the crashing request more than gracePeriod after its third
	// crash, by hosts that have been connected for that long. earlySends counts all others
	// after the third crash.
	lateSends, earlySends int
}

// gracePeriod is the time within which all hosts must refuse the request after the third crash.
const gracePeriod = 3 * time.Second

// inFlightRequest is a request that is being sent or is running at a server.
type inFlightRequest struct {
	id       content.ID
	caller   content.ID
	host     string
	doneAt   time.Time // when it is answered, or crashes its server if crashing
	crashing bool
	sends    int
	attempts int
}

// simServer is a simulated server; each restart is a new incarnation.
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

// simulate runs a workload and returns its outcome.
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

// arrive lets a request arrive with the given probability.
func (s *simulation) arrive(chance float64, make func() inFlightRequest) {
	if s.rng.Float64() >= chance {
		return
	}
	s.request(make())
}

// request delivers a request to a random host.
func (s *simulation) request(r inFlightRequest) {
	r.host = s.f.names[s.rng.IntN(len(s.f.names))]
	if s.f.hosts[r.host] == nil {
		return // the host is down
	}
	r.sends = 0
	r.attempts++
	if !r.crashing {
		s.out.arrivals++
	}
	s.send(r)
}

// send sends a request to a random server, unless the host refuses its content.
func (s *simulation) send(r inFlightRequest) {
	table := s.f.hosts[r.host].table
	for _, id := range (Subject{Content: r.id, Caller: r.caller}).IDs() {
		q := table.view.Get(id)
		if q == nil {
			continue
		}
		if allowed, _ := table.RequestTrial(s.f.now, q); !allowed {
			s.refuse(r)
			return
		}
	}
	server := s.servers[s.rng.IntN(len(s.servers))]
	if s.f.now.Before(server.upAt) {
		return // no connection: not counted
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

// countCrashingSend counts a send of the crashing request after its third crash.
func (s *simulation) countCrashingSend(r inFlightRequest) {
	if s.f.now.Sub(s.thirdCrashAt) > gracePeriod && s.f.now.Sub(s.f.hosts[r.host].connectedSince) > gracePeriod {
		s.out.lateSends++
	} else {
		s.out.earlySends++
	}
}

// refuse counts a refused request, if it is harmless.
func (s *simulation) refuse(r inFlightRequest) {
	if !r.crashing {
		s.out.refused++
	}
}

// completeRequests answers the requests that are done, or crashes their servers.
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

// crash crashes a server. Its requests are resent to another server, or sent again by the caller.
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
		s.f.hosts[r.host].table.RecordCrash(s.f.now, r.caller, Crash{Scope: ScopeCaller, Service: "shop", Server: id, At: s.f.now})
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

// Harmless requests are served although servers crash; popular reads are cleared by their answers.
// The bounds apply to the sum of four seeds.
func TestHarmlessRequestsAreServed(t *testing.T) {
	loads := []struct {
		name string
		load workload
	}{
		{"calm", workload{}},
		{"unrelated server crashes", workload{crashInterval: 700 * time.Millisecond}},
		{"a crashing request", workload{crashingPerSecond: 2.5}},
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
		t.Logf("%s: refused %d of %d harmless requests, %d servers crashed", l.name, sum.refused, sum.arrivals, sum.crashes)
		if sum.refused*2000 > sum.arrivals {
			t.Errorf("%s: refused %d of %d harmless requests, want at most 1 in 2000", l.name, sum.refused, sum.arrivals)
		}
		// three crashes, requests in progress, and the trials of one minute
		if sum.crashes > seeds*7 {
			t.Errorf("%s: the crashing request crashed %d servers", l.name, sum.crashes)
		}
	}
}
