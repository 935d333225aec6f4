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

// limiter runs a quota.Table on a host: it provides locking, the clock and the transport
// of the table's messages.
type limiter struct {
	d    *Daemon
	kind peerpb.Datagram_Kind // kind of this table's datagrams
	life uint64               // identifies this run of the host to its peers
	wake chan struct{}        // signals that due has moved to an earlier time

	mu       sync.Mutex
	table    *quota.Table
	snapshot *world.Snapshot // last snapshot passed to the table
	due      time.Time       // next time that the table needs a tick
}

// newCustomerLimiter returns a limiter that enforces the customer limits of this host's
// configuration.
func newCustomerLimiter(d *Daemon, life uint64) *limiter {
	rule := quota.CustomerRule()
	tolerance := d.settings.Quota
	rule.Tolerance = quota.Tolerance{Excess: tolerance.Excess, Slack: tolerance.Slack, Window: time.Duration(tolerance.Window)}
	return newLimiter(d, peerpb.Datagram_KIND_QUOTA, life, rule, func(name string) (customer.Limit, bool) {
		holder := d.engine.Snapshot().Customers.ByName(name)
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
		return false, 0 // the caller has disconnected
	}
	l.d.metrics.CustomerLimitChecked(verdict.OK)
	return verdict.OK, verdict.RetryAfter
}

// take acquires a permit for one request. It returns an error only if ctx ends before the
// home host answers.
func (l *limiter) take(ctx context.Context, name string, limit customer.Limit) (quota.Decision, error) {
	decided := make(chan quota.Decision, 1)
	verdict, immediate := quota.Decision{}, false
	l.update(func(now time.Time) {
		verdict, immediate = l.table.Take(now, name, limit, func(v quota.Decision) { decided <- v })
	})
	if !immediate {
		select {
		case verdict = <-decided:
		case <-ctx.Done():
			go l.refundLate(name, decided)
			return quota.Decision{}, context.Cause(ctx)
		}
	}
	return verdict, nil
}

// refundLate waits for the decision on an abandoned request and returns its permit if it
// was granted.
func (l *limiter) refundLate(name string, decided <-chan quota.Decision) {
	if verdict := <-decided; verdict.OK {
		l.refund(name)
	}
}

// refund returns the permit of a request that was not sent.
func (l *limiter) refund(name string) {
	l.update(func(now time.Time) { l.table.ReturnToken(now, name) })
}

// update applies work to the table under the lock, sends the resulting messages and wakes
// run if the table is now due earlier.
func (l *limiter) update(work func(now time.Time)) {
	now := time.Now()
	l.mu.Lock()
	if snap := l.d.engine.Snapshot(); snap != l.snapshot {
		l.snapshot = snap
		l.table.SetFleet(now, fleetOf(snap))
	}
	work(now)
	messages := l.table.TakeMessages()
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
		Version:  snap.HostsVersion,
		Homes:    snap.Homes,
		Live:     func(host string) bool { return snap.Reachable[host] },
		PeakSize: snap.FleetSize,
		Settled:  snap.Settled,
	}
}

func (l *limiter) send(snap *world.Snapshot, messages []quota.Message) {
	for _, m := range messages {
		address, known := snap.Sharing.Address(m.To)
		if !known {
			klog.V(3).InfoS("dropping limit usage report: unknown host", "kind", l.kind, "peer", m.To)
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

// receive applies the usages and grants reported by another host.
func (l *limiter) receive(datagram *peerpb.Datagram) {
	l.update(func(now time.Time) {
		l.table.Usages(now, datagram.From, datagram.Life, datagram.Usages)
		l.table.Grants(now, datagram.From, datagram.Grants)
	})
}

// run ticks the table whenever it is due, until ctx ends.
func (l *limiter) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-timer.C:
			l.update(func(now time.Time) {
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

// Limits returns the limits of the customers or backend servers that this host serves,
// busiest first.
func (l *limiter) Limits() []quota.CustomerStatus {
	var rows []quota.CustomerStatus
	l.update(func(now time.Time) { rows = l.table.CustomerStatuses(now) })
	return rows
}

// Interface guard.
var _ frontend.Limiter = (*limiter)(nil)
