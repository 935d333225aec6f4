package daemon

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/customer"
	"github.com/pearshelf/pearshelf/internal/frontend"
	"github.com/pearshelf/pearshelf/internal/quota"
	"github.com/pearshelf/pearshelf/internal/world"
)

// limiter is the shell of package quota on a host: it holds the lock and the clock, and
// sends what the table has to tell.
type limiter struct {
	d    *Daemon
	kind peerpb.Datagram_Kind // of the datagrams of this table
	life uint64
	wake chan struct{} // the table is due earlier than it was

	mu       sync.Mutex
	table    *quota.Table
	snapshot *world.Snapshot // the one whose hosts the table knows
	due      time.Time
}

// newCustomerLimiter holds customers' limits, by this host's configuration.
func newCustomerLimiter(d *Daemon, life uint64) *limiter {
	return newLimiter(d, peerpb.Datagram_KIND_QUOTA, life, quota.CustomerRule(), func(name string) (customer.Limit, bool) {
		holder := d.engine.Snapshot().Customers.Named(name)
		if holder == nil {
			return customer.Limit{}, false
		}
		return holder.Limit, true
	})
}

func newLimiter(d *Daemon, kind peerpb.Datagram_Kind, life uint64, rule quota.Rule, limits func(name string) (customer.Limit, bool)) *limiter {
	table := quota.NewTable(d.settings.Host, rule, limits)
	return &limiter{d: d, kind: kind, life: life, wake: make(chan struct{}, 1), table: table}
}

// Allow implements frontend.Limiter.
func (l *limiter) Allow(ctx context.Context, name string, limit customer.Limit) (ok bool, retryAfter time.Duration) {
	verdict, err := l.take(ctx, name, limit)
	if err != nil {
		return false, 0 // the caller has gone
	}
	l.d.metrics.Limited(verdict.OK)
	return verdict.OK, verdict.RetryAfter
}

// take asks for one request. The error is that of ctx, if it ends before the home answers.
func (l *limiter) take(ctx context.Context, name string, limit customer.Limit) (quota.Verdict, error) {
	decided := make(chan quota.Verdict, 1)
	verdict, now := quota.Verdict{}, false
	l.do(func(at time.Time) {
		verdict, now = l.table.Take(at, name, limit, func(v quota.Verdict) { decided <- v })
	})
	if !now {
		select {
		case verdict = <-decided:
		case <-ctx.Done():
			go l.giveBackLate(name, decided)
			return quota.Verdict{}, context.Cause(ctx)
		}
	}
	return verdict, nil
}

// giveBackLate gives back what is allowed to a request that nobody waits for any more.
func (l *limiter) giveBackLate(name string, decided <-chan quota.Verdict) {
	if verdict := <-decided; verdict.OK {
		l.giveBack(name)
	}
}

// giveBack returns what was allowed to a request that is not sent.
func (l *limiter) giveBack(name string) {
	l.do(func(now time.Time) { l.table.Return(now, name) })
}

// do works on the table and then sends and schedules what came of it.
func (l *limiter) do(work func(now time.Time)) {
	now := time.Now()
	l.mu.Lock()
	if snap := l.d.engine.Snapshot(); snap != l.snapshot {
		l.snapshot = snap
		l.table.SetFleet(now, fleetOf(snap))
	}
	work(now)
	messages := l.table.Messages()
	due := l.table.Due()
	earlier := !due.IsZero() && (l.due.IsZero() || due.Before(l.due))
	if earlier {
		l.due = due
	}
	snap := l.snapshot
	l.mu.Unlock()
	if earlier {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
	l.send(snap, messages)
}

func fleetOf(snap *world.Snapshot) quota.Fleet {
	return quota.Fleet{
		Version: snap.HostsVersion,
		Homes:   snap.Homes,
		Live:    func(host string) bool { return snap.Reachable[host] },
		Size:    snap.FleetSize,
		Settled: snap.Settled,
	}
}

func (l *limiter) send(snap *world.Snapshot, messages []quota.Message) {
	for _, m := range messages {
		address, known := snap.Sharing.Address(m.To)
		if !known {
			klog.V(3).InfoS("use of limits not told: the host is not known", "kind", l.kind, "peer", m.To)
			continue
		}
		l.d.datagrams.Send(&peerpb.Datagram{
			Kind:   l.kind,
			From:   l.d.settings.Host,
			Life:   l.life,
			Usages: m.Usages,
			Grants: m.Grants,
		}, address)
	}
}

// receive takes what another host tells.
func (l *limiter) receive(datagram *peerpb.Datagram) {
	l.do(func(now time.Time) {
		l.table.Usages(now, datagram.From, datagram.Life, datagram.Usages)
		l.table.Grants(now, datagram.From, datagram.Grants)
	})
}

// run does what the time calls for until ctx ends.
func (l *limiter) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-timer.C:
			l.do(func(now time.Time) {
				l.table.Tick(now)
				l.due = time.Time{}
			})
		}
		if due := l.nextDue(); !due.IsZero() {
			timer.Reset(time.Until(due))
		}
	}
}

func (l *limiter) nextDue() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.due
}

// Limits returns the customers, or servers, that this host serves, the busiest first.
func (l *limiter) Limits() []quota.Row {
	var rows []quota.Row
	l.do(func(now time.Time) { rows = l.table.Rows(now) })
	return rows
}

// Interface guard.
var _ frontend.Limiter = (*limiter)(nil)
