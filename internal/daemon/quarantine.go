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

// contentGuard runs a quarantine.Table on a host: it provides locking, the clock and the
// transport of the table's messages, and publishes its decisions.
type contentGuard struct {
	d *Daemon
	// watching mirrors Table.HasEvidence, so that requests can check it without the lock.
	watching atomic.Bool

	mu       sync.Mutex
	table    *quarantine.Table
	snapshot *world.Snapshot // last snapshot passed to the table
	timer    *time.Timer
	timerDue time.Time     // when the timer fires
	granted  chan struct{} // closed when another host next grants a trial
}

// grantWait is how long a request waits for a trial grant. It allows several round trips
// between data centres.
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
		case q.allowTrial(held):
			onTrial = true
		default:
			q.d.metrics.Quarantined(held.Service)
			return held, false
		}
	}
	return nil, onTrial
}

// allowTrial reports whether a request with quarantined content may be sent as a trial, to find out
// whether the content still crashes servers. If the content's first home has to be asked, it waits for
// the answer, because the next request with this content may reach this host much later.
func (q *contentGuard) allowTrial(held *quarantine.Quarantine) bool {
	granted := q.nextGrant()
	allowed, asked := q.requestTrial(held)
	if asked {
		select {
		case <-granted:
		case <-time.After(grantWait):
		}
		allowed, _ = q.requestTrial(held)
	}
	if allowed {
		klog.InfoS("sending quarantined content on trial", "content", held.Content.Short(), "scope", held.Scope, "service", held.Service, "trials", held.Trials, "host", q.d.settings.Host)
	}
	return allowed
}

func (q *contentGuard) requestTrial(held *quarantine.Quarantine) (allowed, asked bool) {
	q.update(func(now time.Time) { allowed, asked = q.table.RequestTrial(now, held) })
	return allowed, asked
}

// nextGrant returns a channel that is closed when another host next grants a trial to this one.
func (q *contentGuard) nextGrant() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.granted
}

// notifyGrant wakes all requests that wait for a trial grant.
func (q *contentGuard) notifyGrant() {
	q.mu.Lock()
	defer q.mu.Unlock()
	close(q.granted)
	q.granted = make(chan struct{})
}

// RecordCrash implements dispatch.Quarantine.
func (q *contentGuard) RecordCrash(subject quarantine.Subject, service, server string) {
	q.d.metrics.ServerCrashed(service)
	q.update(func(now time.Time) {
		for scope, id := range subject.IDs() {
			q.table.RecordCrash(now, id, quarantine.Crash{Scope: quarantine.Scope(scope), Service: service, Server: server, At: now})
		}
	})
}

// RecordAnswer implements dispatch.Quarantine.
func (q *contentGuard) RecordAnswer(subject quarantine.Subject) {
	q.update(func(now time.Time) {
		for _, id := range subject.IDs() {
			q.table.RecordAnswer(now, id)
		}
	})
}

// receive applies a datagram from another host and wakes waiting requests if it grants a
// trial.
func (q *contentGuard) receive(datagram *peerpb.Datagram) {
	q.update(func(now time.Time) { q.table.Receive(now, datagram) })
	if len(datagram.TrialGrants) > 0 {
		q.notifyGrant()
	}
}

func (q *contentGuard) tick() {
	if q.d.ctx.Err() == nil {
		q.update(q.table.Tick)
	}
}

// update applies work to the table under the lock, then sends the resulting messages and
// publishes the resulting decisions.
func (q *contentGuard) update(work func(now time.Time)) {
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
	q.watching.Store(q.table.HasEvidence())
	q.schedule(now)
	q.mu.Unlock()
	q.send(snap, messages)
	for _, decision := range decisions {
		q.publish(decision)
	}
}

// schedule resets the timer if the table's next due time has changed.
func (q *contentGuard) schedule(now time.Time) {
	due := q.table.Due()
	if due.Equal(q.timerDue) {
		return
	}
	if q.timer != nil {
		q.timer.Stop()
	}
	q.timerDue = due
	if !due.IsZero() {
		q.timer = time.AfterFunc(due.Sub(now), q.tick)
	}
}

func (q *contentGuard) send(snap *world.Snapshot, messages []quarantine.Message) {
	for _, m := range messages {
		address, known := snap.Sharing.Address(m.To)
		if !known {
			klog.V(3).InfoS("dropping server crash report: unknown host", "peer", m.To)
			continue
		}
		q.d.datagrams.Send(&peerpb.Datagram{
			Kind:        peerpb.Datagram_KIND_SERVER_ENDS,
			From:        q.d.settings.Host,
			Ends:        m.Ends,
			Served:      m.Served,
			TrialAsks:   m.TrialRequests,
			TrialGrants: m.GrantedTrials,

			AnsweredBefore: m.Answered,
		}, address)
	}
}

// publish announces a decision to all hosts through the control loop.
func (q *contentGuard) publish(decision quarantine.Decision) {
	posted := q.d.engine.Post(func(now time.Time) {
		if decision.Quarantine == nil {
			q.d.engine.Announce(now, quarantine.Lift(decision.Cleared))
			q.d.engine.Record(now, event.ContentCleared, "", decision.Cleared.Short()+": answered")
			return
		}
		q.announce(now, decision.Quarantine)
	})
	if !posted {
		klog.InfoS("dropping quarantine decision: control loop queue is full", "cleared", decision.Quarantine == nil)
	}
}

func (q *contentGuard) announce(now time.Time, decided *quarantine.Quarantine) {
	if q.d.engine.Snapshot().Quarantine.Supersedes(decided) {
		klog.InfoS("content not quarantined: superseded by another home host or lifted in the meantime", "content", decided.Content.Short())
		return
	}
	r, err := decided.Register(now)
	if err != nil {
		klog.ErrorS(err, "cannot quarantine content", "content", decided.Content.Short())
		return
	}
	q.d.engine.Announce(now, r)
	ends := ""
	for _, e := range decided.Ends {
		ends += fmt.Sprintf(" %s/%s/%s", e.Server, now.Sub(e.At).Round(time.Millisecond), e.Host)
	}
	q.d.engine.Record(now, event.ContentQuarantined, decided.Service, fmt.Sprintf("%s %s for %s after %d trials; server/age/host:%s", decided.Scope, decided.Content.Short(), decided.Until.Sub(now).Round(time.Second), decided.Trials, ends))
}

// Interface guard.
var _ dispatch.Quarantine = (*contentGuard)(nil)
