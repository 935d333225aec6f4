package policy

import (
	"cmp"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
)

// RefreshEvery is the period in which requests in flight are told again.
const RefreshEvery = 500 * time.Millisecond

// Changes returns what the other hosts of the data centre must be told, and
// what all hosts must be: the servers that failed. Both are told once; what
// was told before is repeated by Refresh and by the next change.
func (t *Table) Changes(now time.Time) (near, failing []*peerpb.BackendLoad) {
	for k, s := range t.servers {
		if !s.dirty && !s.failing {
			continue
		}
		row := s.report(now, k)
		if s.dirty {
			near = append(near, row)
		}
		if s.failing {
			failing = append(failing, failuresOf(row))
		}
		s.dirty, s.failing = false, false
	}
	for name, svc := range t.services {
		if svc.dirty {
			near = append(near, svc.totals.row(key{service: name}))
			svc.dirty = false
		}
	}
	slices.SortFunc(near, byServer)
	slices.SortFunc(failing, byServer)
	return near, failing
}

// byServer orders reports, so that the same calls bring the same reports.
func byServer(a, b *peerpb.BackendLoad) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Backend, b.Backend))
}

// Refresh marks all servers with requests of this host to be told again, and
// forgets those that nothing has been heard of for long. It reports whether
// there is something to tell.
func (t *Table) Refresh(now time.Time) (dirty bool) {
	t.forgetRoutes(now)
	for _, svc := range t.services {
		svc.forgetNear(now)
	}
	for k, s := range t.servers {
		if s.inFlight > 0 {
			s.dirty = true
			dirty = true
		} else if now.Sub(s.spell.at) > forgetAfter {
			delete(t.servers, k)
		}
	}
	return dirty
}

// forgetAfter is long enough for the belief to have faded.
const forgetAfter = 2 * time.Minute

// failuresOf is what the hosts of other data centres need: they do not share
// this one's slots.
func failuresOf(row *peerpb.BackendLoad) *peerpb.BackendLoad {
	return &peerpb.BackendLoad{Service: row.Service, Backend: row.Backend, Failed: row.Failed, Unreachable: row.Unreachable}
}

func (s *server) report(now time.Time, k key) *peerpb.BackendLoad {
	row := s.counts.row(k)
	row.OldestMs = uint32(s.oldestAge(now).Milliseconds())
	row.InFlight = uint32(max(s.inFlight, 0))
	row.ToldLoad = s.toldNow
	s.toldNow = 0
	return row
}

// Report takes what another host told in one of its lives. near is whether that
// host tells this one of all its requests; its in-flight counts are used only
// then.
func (t *Table) Report(now time.Time, host string, life uint64, loads []*peerpb.BackendLoad, near bool) {
	t.meet(host, life)
	for _, l := range loads {
		t.reportOne(now, host, l, near)
	}
}

// meet forgets what an earlier life of a host told: its requests are gone.
func (t *Table) meet(host string, life uint64) {
	if t.lives[host] == life {
		return
	}
	t.lives[host] = life
	for _, s := range t.servers {
		s.setInFlight(s.peers[host], 0)
		delete(s.peers, host)
	}
	for _, svc := range t.services {
		if h, known := svc.near[host]; known {
			h.counts = counts{} // they begin anew
		}
	}
}

func (t *Table) reportOne(now time.Time, host string, l *peerpb.BackendLoad, near bool) {
	if l.Backend == "" {
		if near {
			t.service(l.Service).learnNear(now, t.conf.Retry.Window, host, countsOf(l))
		}
		return
	}
	k := key{l.Service, l.Backend}
	s := t.row(now, k, nil)
	p, known := s.peers[host]
	if !known {
		p = &peerLoad{}
		s.peers[host] = p
	}
	next := countsOf(l)
	if !known {
		p.counts = next.history()
	}
	if next.before(p.counts) {
		return // an older datagram that came late
	}
	if t.has(MechanismOutcomes) {
		s.learnPeer(now, p.counts, next)
	}
	if near {
		t.service(l.Service).learnUse(now, s, p, next, !known)
	}
	p.counts = next
	p.at = now
	if near && t.has(MechanismLoads) {
		t.learnWaiting(now, k, s, p, l)
		if l.ToldLoad > 0 {
			s.learnLoad(now, int(l.ToldLoad)-1)
		}
	}
}

// learnUse takes that another host has sent to a server, which it tells at once, or that it found
// the server out of its reach.
func (svc *service) learnUse(now time.Time, s *server, p *peerLoad, next counts, first bool) {
	sends := next.requests + next.retries - p.counts.requests - p.counts.retries
	unreached := next.unreachable - p.counts.unreachable
	switch {
	case first:
		svc.noteSends(now, 1)
		p.use = s.noteUse(now)
	case sends > unreached:
		svc.noteSends(now, sends-unreached)
		p.use = s.noteUse(now)
	case unreached > 0:
		s.takeBackUse(p.use)
	}
}

// learnWaiting takes what requests of another host wait at a server. How long the
// oldest was expected to take is estimated from the load that is known here and
// the usual time of the service: its route is not told.
func (t *Table) learnWaiting(now time.Time, k key, s *server, p *peerLoad, l *peerpb.BackendLoad) {
	oldest := now.Add(-time.Duration(l.OldestMs) * time.Millisecond)
	began := p.inFlight == 0 || oldest.Sub(p.oldest) > otherRequest
	s.setInFlight(p, int(l.InFlight))
	p.oldest = oldest
	if p.inFlight > 0 && began {
		svc := t.service(k.service)
		p.expected = s.estimate(now, svc, svc.usual, s.load(now)-1).expected
	}
}

// setInFlight keeps busy in step with what a peer has in flight; p may be nil.
func (s *server) setInFlight(p *peerLoad, n int) {
	if p == nil {
		return
	}
	switch {
	case p.inFlight == 0 && n > 0:
		s.busy = append(s.busy, p)
	case p.inFlight > 0 && n == 0:
		i := slices.Index(s.busy, p)
		s.busy = slices.Delete(s.busy, i, i+1)
	}
	p.inFlight = n
}

// otherRequest is by how much the oldest request of a host must have begun later
// for it to be another one; reports are some milliseconds under way.
const otherRequest = 20 * time.Millisecond

// maxNews bounds the outcomes taken from one datagram: more are a backlog,
// whose order and time are lost.
const maxNews = 4

func (s *server) learnPeer(now time.Time, was, is counts) {
	good := is.good - was.good
	for range min(good, maxNews) {
		s.spell.good(now)
	}
	for range min(is.failed-was.failed, maxNews) {
		s.spell.failed(now)
		s.failedAt = now
	}
	weak := is.lateErrors - was.lateErrors + is.staleConnections - was.staleConnections
	for range min(weak, maxNews) {
		s.spell.lateError(now)
	}
	if is.unreachable > was.unreachable {
		s.spell.unreachable(now)
	}
	if is.silentMillinats > was.silentMillinats {
		s.learnSilence(now, min(float64(is.silentMillinats-was.silentMillinats)/1000, maxSilence))
	}
	if good > 0 {
		s.learnSlowness(float64(is.goodSlowness-was.goodSlowness) / 1e6 / float64(good))
	}
}
