package daemon

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/dispatch"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/quarantine"
	"github.com/pearshelf/pearshelf/internal/world"
)

// contentGuard is the shell of package quarantine on a host: it holds the lock and the
// clock, sends what the table has to tell and writes what it decides.
type contentGuard struct {
	d *Daemon
	// watching mirrors Table.Watches, for requests that need no lock then.
	watching atomic.Bool

	mu       sync.Mutex
	table    *quarantine.Table
	snapshot *world.Snapshot // the one that the table knows
	timer    *time.Timer
	timerFor time.Time     // when the timer is due
	granted  chan struct{} // closed with the next grant of another host
}

// grantWait is how long a request waits to be granted a trial: some round trips between data
// centres.
const grantWait = 50 * time.Millisecond

func newContentGuard(d *Daemon) *contentGuard {
	return &contentGuard{d: d, table: quarantine.NewTable(d.settings.Host), granted: make(chan struct{})}
}

// Active implements dispatch.Quarantine.
func (q *contentGuard) Active() bool {
	return q.watching.Load() || !q.d.engine.Snapshot().Quarantine.Empty()
}

// Check implements dispatch.Quarantine.
func (q *contentGuard) Check(subject quarantine.Subject) (refused *quarantine.Quarantine, onTrial bool) {
	view := q.d.engine.Snapshot().Quarantine
	for _, id := range subject.IDs() {
		held := view.Get(id)
		switch {
		case held == nil:
		case q.tries(held):
			onTrial = true
		default:
			q.d.metrics.Quarantined(held.Service)
			return held, false
		}
	}
	return nil, onTrial
}

// tries reports whether a request may be sent to see whether it still ends servers. It waits for
// the answer of the content's first home, if it has asked that: the next request of the content may
// come to this host much later.
func (q *contentGuard) tries(held *quarantine.Quarantine) bool {
	granted := q.nextGrant()
	tried, asked := q.trial(held)
	if asked {
		select {
		case <-granted:
		case <-time.After(grantWait):
		}
		tried, _ = q.trial(held)
	}
	if tried {
		klog.InfoS("content tried", "content", held.Content.Label(), "scope", held.Scope, "service", held.Service, "trials", held.Trials, "host", q.d.settings.Host)
	}
	return tried
}

func (q *contentGuard) trial(held *quarantine.Quarantine) (tried, asked bool) {
	q.do(func(now time.Time) { tried, asked = q.table.Trial(now, held) })
	return tried, asked
}

// nextGrant returns a channel that is closed when another host next grants a trial to this one.
func (q *contentGuard) nextGrant() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.granted
}

// noteGrant wakes those that wait for a grant.
func (q *contentGuard) noteGrant() {
	q.mu.Lock()
	defer q.mu.Unlock()
	close(q.granted)
	q.granted = make(chan struct{})
}

// Ended implements dispatch.Quarantine.
func (q *contentGuard) Ended(subject quarantine.Subject, service, server string) {
	q.d.metrics.ServerEnded(service)
	q.do(func(now time.Time) {
		for scope, id := range subject.IDs() {
			q.table.Ended(now, id, quarantine.End{Scope: quarantine.Scope(scope), Service: service, Server: server, At: now})
		}
	})
}

// Served implements dispatch.Quarantine.
func (q *contentGuard) Served(subject quarantine.Subject) {
	q.do(func(now time.Time) {
		for _, id := range subject.IDs() {
			q.table.Served(now, id)
		}
	})
}

// receive takes what another host tells.
func (q *contentGuard) receive(datagram *peerpb.Datagram) {
	q.do(func(now time.Time) { q.table.Receive(now, datagram) })
	if len(datagram.TrialGrants) > 0 {
		q.noteGrant()
	}
}

func (q *contentGuard) tick() {
	if q.d.ctx.Err() == nil {
		q.do(q.table.Tick)
	}
}

// do works on the table and then does what came of it.
func (q *contentGuard) do(work func(now time.Time)) {
	now := time.Now()
	q.mu.Lock()
	snap := q.d.engine.Snapshot()
	if snap != q.snapshot {
		q.snapshot = snap
		q.table.SetView(now, snap.Quarantine)
		q.table.SetFleet(now, quarantine.Fleet{Version: snap.HostsVersion, Homes: snap.Homes})
	}
	work(now)
	messages := q.table.Messages()
	decisions := q.table.Decisions()
	q.watching.Store(q.table.Watches())
	q.schedule(now)
	q.mu.Unlock()
	q.send(snap, messages)
	for _, decision := range decisions {
		q.carryOut(decision)
	}
}

// schedule sets the timer to when the table is due next, where that has changed.
func (q *contentGuard) schedule(now time.Time) {
	due := q.table.Due()
	if due.Equal(q.timerFor) {
		return
	}
	if q.timer != nil {
		q.timer.Stop()
	}
	q.timerFor = due
	if !due.IsZero() {
		q.timer = time.AfterFunc(due.Sub(now), q.tick)
	}
}

func (q *contentGuard) send(snap *world.Snapshot, messages []quarantine.Message) {
	for _, m := range messages {
		address, known := snap.Sharing.Address(m.To)
		if !known {
			klog.V(3).InfoS("servers' ends not told: the host is not known", "peer", m.To)
			continue
		}
		q.d.datagrams.Send(&peerpb.Datagram{
			Kind:        peerpb.Datagram_KIND_SERVER_ENDS,
			From:        q.d.settings.Host,
			Ends:        m.Ends,
			Served:      m.Served,
			TrialAsks:   m.Asks,
			TrialGrants: m.Grants,

			AnsweredBefore: m.Answered,
		}, address)
	}
}

// carryOut tells all hosts of a decision.
func (q *contentGuard) carryOut(decision quarantine.Decision) {
	posted := q.d.engine.Post(func(now time.Time) {
		if decision.Quarantine == nil {
			q.d.engine.Announce(now, quarantine.Lift(decision.Cleared))
			q.d.engine.Record(now, event.ContentCleared, "", decision.Cleared.Label()+": answered")
			return
		}
		q.announce(now, decision.Quarantine)
	})
	if !posted {
		klog.InfoS("decision on a content dropped: the control loop is too slow", "cleared", decision.Quarantine == nil)
	}
}

func (q *contentGuard) announce(now time.Time, decided *quarantine.Quarantine) {
	if q.d.engine.Snapshot().Quarantine.Supersedes(decided) {
		klog.InfoS("content not put under quarantine: another home has, or it was lifted meanwhile", "content", decided.Content.Label())
		return
	}
	r, err := decided.Register(now)
	if err != nil {
		klog.ErrorS(err, "content not put under quarantine", "content", decided.Content.Label())
		return
	}
	q.d.engine.Announce(now, r)
	ends := ""
	for _, e := range decided.Ends {
		ends += fmt.Sprintf(" %s/%s/%s", e.Server, now.Sub(e.At).Round(time.Millisecond), e.Host)
	}
	q.d.engine.Record(now, event.ContentQuarantined, decided.Service, fmt.Sprintf("%s %s for %s after %d trials; server/age/host:%s", decided.Scope, decided.Content.Label(), decided.Until.Sub(now).Round(time.Second), decided.Trials, ends))
}

// Interface guard.
var _ dispatch.Quarantine = (*contentGuard)(nil)
