package policy

import (
	"cmp"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
)

// RefreshInterval is the interval at which the number of requests in flight is sent to peers again.
const RefreshInterval = 500 * time.Millisecond

// Changes returns the updates for the other hosts of the data centre, and the failures that are
// sent to all hosts. Each change is returned once; lost updates are compensated by Refresh and by
// the next change, because the counts are cumulative.
func (t *Table) Changes(now time.Time) (local, failures []*peerpb.BackendLoad) {
	for k, s := range t.servers {
		if !s.dirty && !s.failureUnsent {
			continue
		}
		row := s.report(now, k)
		if s.dirty {
			local = append(local, row)
		}
		if s.failureUnsent {
			failure := failuresOf(row)
			if svc, known := t.services[k.service]; known && t.has(MechanismRemoteOutcomes) {
				svc.addRecentOutcomes(now, failure)
			}
			failures = append(failures, failure)
		}
		s.dirty, s.failureUnsent = false, false
	}
	for _, name := range sortedKeys(t.services) { // the same calls draw the same hosts to ask
		if svc := t.services[name]; svc.dirty {
			local = append(local, t.reportTotals(now, name, svc))
			svc.dirty = false
		}
	}
	slices.SortFunc(local, byServer)
	slices.SortFunc(failures, byServer)
	return local, failures
}

// byServer orders reports, so that the same calls return the same reports.
func byServer(a, b *peerpb.BackendLoad) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Backend, b.Backend))
}

// Refresh marks all servers with requests of this host to be reported again, and drops state that
// has not been updated for stateTTL. It reports whether there is something to send.
func (t *Table) Refresh(now time.Time) (dirty bool) {
	t.expireRoutes(now)
	for host, at := range t.heardAt {
		if now.Sub(at) > stateTTL {
			delete(t.heardAt, host)
		}
	}
	for _, svc := range t.services {
		svc.expireSharingHosts(now)
	}
	for k, s := range t.servers {
		if s.inFlight > 0 {
			s.dirty = true
			dirty = true
		} else if now.Sub(s.health.at) > stateTTL {
			delete(t.servers, k)
		}
	}
	return dirty
}

// stateTTL is long enough for a failure belief to return to its stationary value.
const stateTTL = 2 * time.Minute

// failuresOf is the part of a report that the hosts of other data centres need: they do not share
// the capacity of this one.
func failuresOf(row *peerpb.BackendLoad) *peerpb.BackendLoad {
	return &peerpb.BackendLoad{Service: row.Service, Backend: row.Backend, Failed: row.Failed, Unreachable: row.Unreachable, ConfirmedUnreachable: row.ConfirmedUnreachable}
}

func (s *server) report(now time.Time, k key) *peerpb.BackendLoad {
	row := s.counts.message(k)
	if s.pathFailures == 0 { // otherwise what waits here has not reached the server, or its answer cannot
		row.OldestMs = uint32(s.oldestAge(now).Milliseconds())
		row.InFlight = uint32(max(s.inFlight, 0))
	}
	row.ToldLoad = s.loadToForward
	s.loadToForward = 0
	return row
}

// Report applies a report of one incarnation of another host. isPeer is set if that host reports all
// its requests to this one; only then are its in-flight counts used. replyDue is set if the host waits
// for something that Changes returns.
func (t *Table) Report(now time.Time, host string, incarnation uint64, loads []*peerpb.BackendLoad, isPeer bool) (replyDue bool) {
	t.resetOnRestart(host, incarnation)
	if isPeer {
		t.heardAt[host] = now
	}
	for _, l := range loads {
		switch {
		case l.Backend != "":
			t.applyReport(now, host, l, isPeer)
			if !isPeer && t.has(MechanismRemoteOutcomes) {
				t.service(l.Service).recordRemoteOutcomes(now, l)
			}
		case isPeer:
			replyDue = t.recordPeerTotals(now, host, l) || replyDue
		}
	}
	return replyDue
}

// resetOnRestart discards what a previous incarnation of a host reported: its requests no longer
// exist.
func (t *Table) resetOnRestart(host string, incarnation uint64) {
	if t.incarnations[host] == incarnation {
		return
	}
	t.incarnations[host] = incarnation
	for _, s := range t.servers {
		s.setInFlight(s.peers[host], 0)
		delete(s.peers, host)
	}
	for _, svc := range t.services {
		if svc.shares != nil {
			svc.shares.ForgetHost(host)
		}
		if h, known := svc.sharingHosts[host]; known {
			h.counts, h.giftNumber = counts{}, 0 // both restart at zero
		}
	}
}

func (t *Table) applyReport(now time.Time, host string, l *peerpb.BackendLoad, isPeer bool) {
	k := key{l.Service, l.Backend}
	s := t.state(now, k, nil)
	p, known := s.peers[host]
	if !known {
		p = &peerLoad{}
		s.peers[host] = p
	}
	next := countsFrom(l)
	if !known {
		p.counts = next.withoutNewest()
	}
	if next.isOlderThan(p.counts) {
		return // a datagram that arrived out of order
	}
	if t.has(MechanismSharedOutcomes) {
		s.recordPeerOutcomes(now, host, p.counts, next)
	}
	if isPeer {
		t.service(l.Service).recordPeerUse(now, s, p, next, !known)
	}
	p.counts = next
	p.at = now
	if isPeer && t.has(MechanismSharedLoads) {
		t.recordPeerInFlight(now, k, s, p, l)
		if l.ToldLoad > 0 {
			s.recordReportedLoad(now, int(l.ToldLoad)-1)
		}
	}
}

// recordPeerUse records that another host has sent requests to a server, which hosts report
// immediately, or that it could not connect to the server.
func (svc *service) recordPeerUse(now time.Time, s *server, p *peerLoad, next counts, first bool) {
	sends := next.requests + next.retries - p.counts.requests - p.counts.retries
	unreached := next.unreachable - p.counts.unreachable
	switch {
	case first:
		svc.recordSends(now, 1)
		p.use = s.recordUse(now)
	case sends > unreached:
		svc.recordSends(now, sends-unreached)
		p.use = s.recordUse(now)
	case unreached > 0:
		s.undoUse(p.use)
	}
	if unreached > 0 {
		p.unreachableAt = now
	}
}

// recordPeerInFlight updates what requests of another host a server has in flight. The expected
// latency of the oldest is estimated from the load known to this host and the typical latency of
// the service, since its route is not reported.
func (t *Table) recordPeerInFlight(now time.Time, k key, s *server, p *peerLoad, l *peerpb.BackendLoad) {
	oldest := now.Add(-time.Duration(l.OldestMs) * time.Millisecond)
	began := p.inFlight == 0 || oldest.Sub(p.oldest) > newOldestThreshold
	s.setInFlight(p, int(l.InFlight))
	p.oldest = oldest
	if p.inFlight > 0 && began {
		svc := t.service(k.service)
		p.expected = s.estimate(now, svc, svc.typicalLatency, s.load(now)-1).expected
	}
}

// setInFlight sets the in-flight count of a peer and keeps busyPeers consistent; p may be nil.
func (s *server) setInFlight(p *peerLoad, n int) {
	if p == nil {
		return
	}
	switch {
	case p.inFlight == 0 && n > 0:
		s.busyPeers = append(s.busyPeers, p)
	case p.inFlight > 0 && n == 0:
		i := slices.Index(s.busyPeers, p)
		s.busyPeers = slices.Delete(s.busyPeers, i, i+1)
	}
	p.inFlight = n
}

// newOldestThreshold is how much later the oldest request of a host must have been sent to count as
// a different one, because the delay of reports varies by some milliseconds.
const newOldestThreshold = 20 * time.Millisecond

// maxOutcomesPerReport limits the outcomes taken from one datagram: more than that is a backlog
// whose order and timing are unknown.
const maxOutcomesPerReport = 4

// accusation is the latest evidence against a server that another host reported.
type accusation struct {
	host     string
	evidence string
}

// Evidence that another host reports against a server, as logged.
const (
	evidenceFailed      = "failed"
	evidenceUnreachable = "unreachable"
	evidenceUnanswered  = "unanswered"
)

func (s *server) recordPeerOutcomes(now time.Time, host string, previous, current counts) {
	good := current.good - previous.good
	if good > 0 {
		s.answeredAt = now
	}
	for range min(good, maxOutcomesPerReport) {
		s.health.observeSuccess(now)
	}
	for range min(current.failed-previous.failed, maxOutcomesPerReport) {
		s.health.observeFailure(now)
		s.failedAt = now
		s.accused = accusation{host, evidenceFailed}
	}
	weak := current.lateErrors - previous.lateErrors + current.staleConnections - previous.staleConnections
	for range min(weak, maxOutcomesPerReport) {
		s.health.observeLateError(now)
	}
	if current.confirmedUnreachable > previous.confirmedUnreachable && now.Sub(s.answeredAt) > answeredRecently {
		s.health.observeUnreachable(now)
		s.accused = accusation{host, evidenceUnreachable}
	}
	if current.silentMillinats > previous.silentMillinats {
		s.recordUnanswered(now, min(float64(current.silentMillinats-previous.silentMillinats)/1000, maxUnansweredLogOdds))
		s.accused = accusation{host, evidenceUnanswered}
	}
	if good > 0 {
		s.recordSlowness(float64(current.goodSlowness-previous.goodSlowness) / 1e6 / float64(good))
	}
}
