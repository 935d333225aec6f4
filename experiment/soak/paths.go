package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pearshelf/pearshelf/standin/link"
)

// Hosts lose their path to all backend servers beside the other faults: a single host, several, or
// a whole data centre, while they still hear callers, the platform and each other.
const (
	// leastPathCut and mostPathCut bound how long a path is lost, leastPathPause and mostPathPause
	// the time between two losses.
	leastPathCut   = 500 * time.Millisecond
	mostPathCut    = 5 * time.Second
	leastPathPause = 300 * time.Millisecond
	mostPathPause  = 2 * time.Second
	// severalCut is the share of the hosts that lose their path if several do.
	severalCut = 0.3
	// pathStream is the stream of random numbers that path losses are drawn from.
	pathStream = 1 << 32
)

// The users' rule on hosts without a path: from pathGrace after the loss callers' first tries there
// must not be served less than pathServed as often as those at the others, while more than
// pathFailures, and one in pathFailureShare of them, fail.
const (
	pathGrace        = 3 * time.Second
	pathServed       = 2.0 / 3
	pathFailures     = 10
	pathFailureShare = 50
)

// pathLoss is a time in which some hosts did not reach any server.
type pathLoss struct {
	from, to time.Time
	hosts    map[*host]bool
}

var pathFaults = []link.Fault{link.FaultReset, link.FaultRefuse}

// serverSide is the address that a host connects to servers from.
func serverSide(i int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)}) }

// startPathLosses cuts hosts off from the servers until stop. It draws from a series of its own, so
// that the other faults of a seed stay what they are.
func (s *soak) startPathLosses(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	rng := rand.New(rand.NewPCG(s.conf.Seed, pathStream))
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(rng.Int64N(int64(most-least)))
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			pause(ctx, between(leastPathPause, mostPathPause))
			s.losePaths(ctx, s.drawCut(rng), pathFaults[rng.IntN(len(pathFaults))], between(leastPathCut, mostPathCut))
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// drawCut draws the hosts that lose their path.
func (s *soak) drawCut(rng *rand.Rand) []int {
	var cut []int
	switch rng.IntN(3) {
	case 0:
		cut = []int{rng.IntN(len(s.hosts))}
	case 1:
		for i := range s.hosts {
			if rng.Float64() < severalCut {
				cut = append(cut, i)
			}
		}
	default:
		lost := rng.IntN(dataCentres)
		for i := range s.hosts {
			if i%dataCentres == lost {
				cut = append(cut, i)
			}
		}
	}
	return cut
}

// losePaths cuts hosts off from all servers for a time.
func (s *soak) losePaths(ctx context.Context, cut []int, fault link.Fault, length time.Duration) {
	if len(cut) == 0 || ctx.Err() != nil {
		return
	}
	loss := pathLoss{from: time.Now(), hosts: make(map[*host]bool)}
	var sources []netip.Addr
	var ends []func()
	for _, i := range cut {
		loss.hosts[s.hosts[i]] = true
		sources = append(sources, serverSide(i))
		ends = append(ends, s.hosts[i].disturb(kindPath))
	}
	s.cutSources(fault, sources)
	pause(ctx, length)
	s.cutSources(link.FaultNone, nil)
	loss.to = time.Now()
	for _, end := range ends {
		end()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults["path lost"]++
	s.pathLosses = append(s.pathLosses, loss)
}

func (s *soak) cutSources(fault link.Fault, sources []netip.Addr) {
	for _, l := range s.serverLinks {
		l.CutSources(fault, sources...)
	}
}

// checkPaths compares what callers got at hosts without a path with what they got at the others,
// while nothing else disturbed the hosts.
func (s *soak) checkPaths() []Finding {
	s.mu.Lock()
	losses := s.pathLosses
	s.mu.Unlock()
	var cut, others tally
	for _, loss := range losses {
		s.journal.tallyPaths(loss, &cut, &others)
	}
	s.pathTally = cut
	failed := cut.sent - cut.served
	if failed <= pathFailures+cut.sent/pathFailureShare || cut.share() >= pathServed*others.share() {
		return nil
	}
	return []Finding{{Rule: "hosts without a path", Detail: fmt.Sprintf("they served %d of %d first tries, the others %d of %d", cut.served, cut.sent, others.served, others.sent)}}
}

// tally counts requests, and those that were served.
type tally struct{ sent, served int }

func (t tally) share() float64 { return float64(t.served) / float64(max(t.sent, 1)) }

// tallyPaths counts the requests sent while paths were lost, from a while after the loss, at hosts
// that nothing else disturbed.
func (j *journal) tallyPaths(loss pathLoss, cut, others *tally) {
	from := loss.from.Add(pathGrace)
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, a := range j.attempts {
		if a.sent.Before(from) || a.sent.After(loss.to) || a.left || a.kind == pathVersion {
			continue
		}
		troubles := a.host.disturbedBy(from.Add(-pathGrace), a.done)
		for _, allowed := range []string{kindPath, kindServers, kindPlatform} {
			delete(troubles, allowed)
		}
		if len(troubles) > 0 {
			continue
		}
		t := others
		if loss.hosts[a.host] {
			t = cut
		}
		t.sent++
		if a.served() {
			t.served++
		}
	}
}
