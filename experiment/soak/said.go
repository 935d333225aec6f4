package soak

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/standin/backend"
)

// Servers leave and ask for rest without the platform's knowledge: their answers are the only
// sign.
const (
	// leastRest and mostRest bound the rest that a server asks for.
	leastRest = 700 * time.Millisecond
	mostRest  = 3 * time.Second
	// leastLeaving and mostLeaving bound the time from a server's first report to its end.
	leastLeaving = 2500 * time.Millisecond
	mostLeaving  = 5 * time.Second
	// drainLimit is how long after a host has passed on such an answer requests may reach a
	// leaving server from there; the users' bound.
	drainLimit = 2 * time.Second
	// restBegins is how long after a request for rest it counts, restAllows how many requests
	// of a host may reach the server then; the users' bounds.
	restBegins = 500 * time.Millisecond
	restAllows = 2
)

// arrival is a request that has reached a server.
type arrival struct {
	server  int
	process int // counts the server's starts
	path    string
	at      time.Time
	said    protocol.ServerState
	// origin is the address that the request's connection came from: that of the host which sent
	// it.
	origin netip.Addr
}

// said is what servers have told hosts of themselves.
type said struct {
	mu        sync.Mutex
	processes [serverCount]int
	arrivals  []arrival
}

// arrived notes a request at a server and what its answer says.
func (s *said) arrived(server int, path string, state protocol.ServerState, origin netip.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, arrival{server, s.processes[server], path, time.Now(), state, origin})
}

func (s *said) startAgain(server int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes[server]++
}

// leaveServer makes a server say that it leaves, and after a while replaces its process.
func (s *soak) leaveServer(ctx context.Context) {
	i := s.rng.IntN(len(s.servers))
	ended := s.disturbAll(kindServers)
	s.servers[i].SetFaults(backend.Faults{Draining: true})
	length := s.between(leastLeaving, mostLeaving)
	s.ends.Go(func() {
		pause(ctx, length)
		s.said.startAgain(i)
		s.servers[i].SetFaults(backend.Faults{})
		s.servers[i].SetLimit(0) // the new process names none
		s.noteStart(i)
		s.change()
		ended()
	})
}

// noteStart writes a server's new start into the document that is published next.
func (s *soak) noteStart(server int) {
	s.publishing.Lock()
	defer s.publishing.Unlock()
	s.document.Services[0].Backends[server].Started = time.Now().UnixMilli()
}

// checkSaid holds what reached servers against what they had said. Which host sent a request is
// known where hosts pick directly: the one that its caller asked, unless that one has relayed it.
func (s *soak) checkSaid() []Finding {
	if !s.direct {
		return nil
	}
	s.said.mu.Lock()
	defer s.said.mu.Unlock()
	var found []Finding
	for i, first := range s.said.arrivals {
		from := s.sender(first)
		if from == nil || from.left || !from.sameLife {
			continue
		}
		if first.said.Leaving && from.served() && s.answeredBy(first) {
			found = append(found, s.afterLeaving(s.said.arrivals[i+1:], first, from)...)
		}
		if first.said.Rest > 0 && !from.done.IsZero() {
			found = append(found, s.inRest(s.said.arrivals[i+1:], first, from)...)
		}
	}
	return found
}

// sender is the request as its caller made it, nil if none of the callers that are checked, or if
// another host than the one that the caller asked has sent it.
func (s *soak) sender(a arrival) *attempt {
	s.journal.mu.Lock()
	defer s.journal.mu.Unlock()
	asked := s.journal.asked[a.path]
	if asked == nil || asked.host.serverSide != a.origin {
		return nil
	}
	return asked
}

// answeredBy reports whether a request reached this server only, so that the answer which
// its caller got is this server's.
func (s *soak) answeredBy(first arrival) bool {
	for _, other := range s.said.arrivals {
		if other.path == first.path && other != first {
			return false
		}
	}
	return true
}

// sameWay reports whether two requests went from one process of a host to one process of a
// server, and the host ran all the while.
func (s *soak) sameWay(first arrival, from *attempt, later arrival) (*attempt, bool) {
	if later.server != first.server || later.process != first.process {
		return nil, false
	}
	sent := s.sender(later)
	if sent == nil || sent.host != from.host || sent.life != from.life {
		return nil, false
	}
	troubles := from.host.disturbedBy(first.at, later.at)
	return sent, !troubles[kindPause] && !troubles[kindKill] && !troubles[kindPlannedStop]
}

func (s *soak) afterLeaving(arrivals []arrival, first arrival, from *attempt) []Finding {
	for _, later := range arrivals {
		sent, same := s.sameWay(first, from, later)
		if same && sent.sent.Sub(from.done) > drainLimit {
			return []Finding{{Rule: "leaving server", Detail: fmt.Sprintf("%s reached server %d through %s, sent %s after %s had passed on that it leaves",
				later.path, first.server, from.host.name, sent.sent.Sub(from.done), first.path)}}
		}
	}
	return nil
}

// inRest counts what reaches a server in a rest. Where a link to a server is disturbed the
// host may not have got the answer.
func (s *soak) inRest(arrivals []arrival, first arrival, from *attempt) []Finding {
	begin, end := first.at.Add(restBegins), first.at.Add(first.said.Rest)
	if from.host.disturbedBy(first.at, end)[kindServerLink] {
		return nil
	}
	n := 0
	for _, later := range arrivals {
		if _, same := s.sameWay(first, from, later); same && later.at.After(begin) && later.at.Before(end) {
			n++
		}
	}
	if n <= restAllows {
		return nil
	}
	return []Finding{{Rule: "server at rest", Detail: fmt.Sprintf("%d requests reached server %d through %s in the %s of rest that it had asked for with %s", n, first.server, from.host.name, first.said.Rest, first.path)}}
}
