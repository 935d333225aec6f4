package daemon

import (
	"context"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/customer"
	"github.com/pearshelf/pearshelf/internal/dispatch"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/process"
	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/internal/quota"
	"github.com/pearshelf/pearshelf/internal/ratelimit"
)

// rateLimiter enforces the rate limits that backend servers announce, across all hosts.
type rateLimiter struct {
	*limiter
	listener *ratelimit.ChangeDetector
}

func newRateLimiter(d *Daemon, life uint64) *rateLimiter {
	limits := func(name string) (customer.Limit, bool) {
		key, _ := process.ParseKey(name) // fails for keys of another daemon version, which Bound then does not find
		limit, known := d.engine.Snapshot().RateLimits.Bound(key)
		return limit.Bound(), known
	}
	return &rateLimiter{
		limiter:  newLimiter(d, peerpb.Datagram_KIND_SERVER_QUOTA, life, quota.ServerRule(), limits),
		listener: ratelimit.NewListener(),
	}
}

// RecordLimit implements dispatch.RateLimits.
func (r *rateLimiter) RecordLimit(server process.Server, sentAt time.Time, announced protocol.RateLimit) {
	if announced.Invalid != "" && r.listener.FirstUnreadable(server) {
		klog.InfoS("cannot parse rate limit announced by server", "service", server.Service, "backend", server.ID, "value", announced.Invalid)
	}
	report, isNew := r.listener.Observe(time.Now(), r.d.engine.Snapshot().RateLimits, server, sentAt, announced)
	if !isNew {
		return
	}
	if !r.d.engine.Post(func(now time.Time) { r.announce(now, report) }) {
		klog.InfoS("dropping server rate limit report: control loop queue is full", "service", server.Service, "backend", server.ID)
	}
}

// announce publishes a report to all hosts. It must run in the control loop.
func (r *rateLimiter) announce(now time.Time, report ratelimit.Report) {
	register, err := report.Register(now)
	if err != nil {
		klog.ErrorS(err, "cannot publish server rate limit", "service", report.Server.Service, "backend", report.Server.ID)
		return
	}
	r.d.engine.Write(now, register)
	switch report.Kind {
	case ratelimit.Began:
		r.record(event.BackendLimited, report, fmt.Sprintf("the server takes %.4g requests a second from all hosts", report.PerSecond))
	case ratelimit.Changed:
		r.record(event.BackendLimited, report, fmt.Sprintf("the server takes %.4g requests a second from all hosts, before %.4g", report.PerSecond, report.Previous))
	case ratelimit.Ended:
		r.record(event.BackendUnlimited, report, fmt.Sprintf("the server names no rate limit any more, before %.4g requests a second", report.Previous))
	}
}

func (r *rateLimiter) record(number event.Number, report ratelimit.Report, detail string) {
	r.d.events.Record(number, report.Server.Service, report.Server.ID, detail)
}

// Take implements dispatch.RateLimits.
func (r *rateLimiter) Take(ctx context.Context, limit ratelimit.Limit) (quota.Decision, error) {
	verdict, err := r.take(ctx, limit.Server.Key().String(), limit.Bound())
	if err == nil {
		r.d.metrics.RateLimited(verdict.OK)
	}
	return verdict, err
}

// Return implements dispatch.RateLimits.
func (r *rateLimiter) Return(server process.Server) { r.refund(server.Key().String()) }

// ReserveRetry implements dispatch.RateLimits.
func (r *rateLimiter) ReserveRetry(servers []process.Server) time.Duration {
	names := make([]string, 0, len(servers))
	for _, s := range servers {
		names = append(names, s.Key().String())
	}
	var after time.Duration
	r.update(func(now time.Time) { after = r.table.ReserveRetry(now, names) })
	return after
}

// Interface guard.
var _ dispatch.RateLimits = (*rateLimiter)(nil)
