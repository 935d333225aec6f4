package balance

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
)

// RefreshEvery is the period in which requests in flight are told again.
const RefreshEvery = 500 * time.Millisecond

// Changes returns what the other hosts of the data centre must be told, and
// what all hosts must be: the servers that failed. Both are told once; what
// was told before is repeated by Refresh and by the next change.
func (t *Table) Changes() (near, failing []*peerpb.BackendLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, s := range t.servers {
		if !s.dirty && !s.failing {
			continue
		}
		row := s.report(k)
		if s.dirty {
			near = append(near, row)
		}
		if s.failing {
			failing = append(failing, row)
		}
		s.dirty, s.failing = false, false
	}
	return near, failing
}

// Refresh marks all servers with requests of this host to be told again, and
// forgets those that nothing has been heard of for long.
func (t *Table) Refresh(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, s := range t.servers {
		if s.inFlight > 0 {
			s.dirty = true
			t.notify()
		} else if now.Sub(s.spell.at) > forgetAfter {
			delete(t.servers, k)
		}
	}
}

// forgetAfter is long enough for the belief to have faded.
const forgetAfter = 2 * time.Minute

func (s *server) report(k key) *peerpb.BackendLoad {
	return &peerpb.BackendLoad{
		Service:     k.service,
		Backend:     k.backend,
		InFlight:    uint32(max(s.inFlight, 0)),
		Good:        s.counts.good,
		Failed:      s.counts.failed,
		Unreachable: s.counts.unreachable,
		GoodUs:      uint64(s.counts.goodTime.Microseconds()),
		Requests:    s.counts.requests,
		Retries:     s.counts.retries,
		Shed:        s.counts.shed,
	}
}

// Report takes what another host told. near is whether that host tells this one
// of all its requests; its in-flight counts are used only then.
func (t *Table) Report(now time.Time, host string, loads []*peerpb.BackendLoad, near bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range loads {
		t.reportOne(now, host, l, near)
	}
}

func (t *Table) reportOne(now time.Time, host string, l *peerpb.BackendLoad, near bool) {
	k := key{l.Service, l.Backend}
	s := t.row(now, k, nil)
	p, known := s.peers[host]
	if !known {
		p = &peerLoad{}
		s.peers[host] = p
	}
	next := countsOf(l)
	if next.before(p.counts) {
		if !now.After(p.at.Add(reorderWindow)) {
			return // an older datagram that came late
		}
		p.counts = counts{} // the host has begun a new life
	}
	s.learnPeer(now, p.counts, next)
	t.service(k.service).learnPeer(now, t.conf.Retry.Window, p.counts, next, near)
	if near && next.requests+next.retries > p.counts.requests+p.counts.retries {
		s.lastSent = now
	}
	p.counts = next
	p.at = now
	if near {
		p.inFlight = int(l.InFlight)
	}
}

// reorderWindow is how late a datagram may arrive behind a newer one.
const reorderWindow = 200 * time.Millisecond

// maxNews bounds the outcomes taken from one datagram: more are a backlog,
// whose order is lost.
const maxNews = 4

func countsOf(l *peerpb.BackendLoad) counts {
	return counts{
		good:        l.Good,
		failed:      l.Failed,
		unreachable: l.Unreachable,
		shed:        l.Shed,
		requests:    l.Requests,
		retries:     l.Retries,
		goodTime:    time.Duration(l.GoodUs) * time.Microsecond,
	}
}

// before reports whether any count is lower: an older report of the same life
// of a host, or one of a new life.
func (c counts) before(d counts) bool {
	return c.good < d.good || c.failed < d.failed || c.unreachable < d.unreachable ||
		c.shed < d.shed || c.requests < d.requests || c.retries < d.retries
}

func (s *server) learnPeer(now time.Time, was, is counts) {
	good := is.good - was.good
	for range min(good, maxNews) {
		s.spell.good(now)
	}
	for range min(is.failed-was.failed, maxNews) {
		s.spell.failed(now)
	}
	if is.unreachable > was.unreachable {
		s.spell.unreachable(now)
	}
	if good > 0 {
		s.learnSpeed((is.goodTime - was.goodTime) / time.Duration(good))
	}
}
