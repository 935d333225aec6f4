package balance

import "time"

// A service that leaves many requests unserved must not also have narrowed
// itself to a few servers: what was learnt of the others may be out of date.
const (
	// troubleHalfLife is how fast outcomes lose their weight.
	troubleHalfLife = 1500 * time.Millisecond
	// troubleShare is the part of unserved requests above which all servers are
	// tried. The users' rule speaks of a tenth.
	troubleShare = 0.06
	// troubleLeast is how many outcomes must be known.
	troubleLeast = 5
	// unusedFor is how long a server may then go without a request. The users'
	// rule allows 2 s.
	unusedFor = 1200 * time.Millisecond
	// breadthGain outweighs any belief in a spell, and no blocked path.
	breadthGain = 2.0
)

// noteSent counts a request that is sent to a server.
func (svc *service) noteSent(now time.Time, length time.Duration, s *server, repeat bool) {
	if repeat {
		s.counts.retries++
		svc.retries.add(now, length, 1)
		return
	}
	s.counts.requests++
	svc.requests.add(now, length, 1)
}

// learnOutcome counts an outcome of this host's own.
func (svc *service) learnOutcome(now time.Time, outcome Outcome) {
	switch outcome {
	case Good:
		svc.weigh(now, 1, 0)
	case Failed, Shed, Unreachable:
		svc.weigh(now, 0, 1)
	}
}

// learnPeer counts what another host did since its last report.
func (svc *service) learnPeer(now time.Time, length time.Duration, was, is counts, near bool) {
	svc.weigh(now, float64(is.good-was.good), float64(is.failed-was.failed+is.shed-was.shed))
	if near {
		svc.requests.add(now, length, int(is.requests-was.requests))
		svc.retries.add(now, length, int(is.retries-was.retries))
	}
}

func (svc *service) weigh(now time.Time, served, unserved float64) {
	weight := decay(now.Sub(svc.troubleAt), troubleHalfLife)
	svc.served = svc.served*weight + served
	svc.unserved = svc.unserved*weight + unserved
	svc.troubleAt = now
}

// breadth is what a request gains by going to a server that has had none for
// long, while many requests fail.
func (svc *service) breadth(now time.Time, s *server) float64 {
	total := svc.served + svc.unserved
	troubled := total >= troubleLeast && svc.unserved > troubleShare*total
	if troubled && now.Sub(s.lastSent) > unusedFor {
		return breadthGain
	}
	return 0
}
