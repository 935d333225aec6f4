package policy

import "time"

// A host whose own network path is broken sees the same as one whose servers are down: connections
// fail, and requests remain unanswered. Its observations are evidence against the servers only as
// long as it knows that it can reach them, which it checks (pathcheck.go). As long as its path is
// broken it neither uses nor reports what it observes:
//
//   - a request that waits on a server which this host cannot connect to is not evidence, and does
//     not count as load of the server;
//   - an unreachable server is reported as such only once another server has been reached since.
const (
	// maxHeld bounds the evidence that is held back; a host that fails more often has lost its path.
	maxHeld = 64
	// maxHeldEvidence limits how long an unreachable server is held back from reports.
	maxHeldEvidence = 5 * time.Second
	// answeredRecently is how long after an answer to any host of this data centre a server counts
	// as sound to hosts that hear that another one cannot connect to it.
	answeredRecently = time.Second
)

// detectorKey identifies a server in the path-loss detector.
func (k key) detectorKey() string { return k.service + "/" + k.backend }

// PathChecked records the result of a check.
func (t *Table) PathChecked(now time.Time, c PathCheck, reached bool) {
	if c.witness {
		t.witnesses.pending--
	}
	k := key{c.Service, c.Server}
	s, known := t.servers[k]
	switch {
	case !known:
	case reached:
		s.reachedAt = now
		t.recordConnected(now, s)
	default:
		t.recordUnreachable(now, k, s)
	}
}

// PathLost reports whether this host has lost its path to the servers.
func (t *Table) PathLost(now time.Time) bool {
	return t.witnesses.failed() && t.path.Lost(now, t.knownServers)
}

// PathEvidence returns how many servers were found unreachable since one was last reached.
func (t *Table) PathEvidence(now time.Time) int { return t.path.Count(now) }

// recordAnswered records that a server has answered this host.
func (t *Table) recordAnswered(now time.Time, s *server, newConnection bool) {
	s.answeredAt, s.reachedAt = now, now
	if newConnection {
		t.recordConnected(now, s)
	}
}

// recordConnected records that this host has opened a connection to a server. The other servers
// that it could not connect to are then unreachable for another reason than a loss of the whole
// path. An answer on a connection that was already open does not show that: these may live on while
// new ones are refused.
func (t *Table) recordConnected(now time.Time, s *server) {
	s.resetPath()
	if t.pathWasLost {
		for _, other := range t.servers {
			other.resetPath()
		}
		t.pathWasLost = false
	}
	t.path.Reached()
	t.witnesses.reached = true
	for _, held := range t.heldEvidence {
		if other, known := t.servers[held.key]; known && now.Sub(held.at) < maxHeldEvidence && other != s {
			other.health.observeUnreachable(now)
			other.counts.confirmedUnreachable++
			other.dirty, other.failureUnsent = true, true
		}
	}
	t.heldEvidence = t.heldEvidence[:0]
}

// heldEvidence is a failed connection that is not evidence against its server yet.
type heldEvidence struct {
	key key
	at  time.Time
}

// recordUnreachable records that this host could not connect to a server, which it avoids for a
// while.
func (t *Table) recordUnreachable(now time.Time, k key, s *server) {
	if s.pathFailures == 0 {
		s.undoPendingUses()
	}
	backoff := pathBackoff << min(s.pathFailures, 8)
	s.pathFailures++
	s.pathUntil = now.Add(min(backoff, maxPathBackoff))
	s.dirty = true // requests that wait there are not reported any more
	if now.Sub(s.answeredAt) <= answeredRecently {
		t.pathFaultAt = now
	}
	t.path.Unreachable(now, k.detectorKey())
	t.pathWasLost = t.pathWasLost || t.PathLost(now)
	if t.pathWasLost {
		t.heldEvidence = t.heldEvidence[:0]
		return
	}
	if len(t.heldEvidence) < maxHeld {
		t.heldEvidence = append(t.heldEvidence, heldEvidence{k, now})
	}
}

// undoPendingUses reverts the uses by requests that wait on a server which turns out to be out of
// reach: they have most likely not reached it. Other hosts are told as of requests that were not
// sent.
func (s *server) undoPendingUses() {
	for _, p := range s.pending {
		s.undoUse(p.use)
	}
	s.counts.unreachable += uint64(len(s.pending))
}

// resetPath forgets failed connections.
func (s *server) resetPath() {
	s.pathFailures = 0
	s.pathUntil = time.Time{}
}
