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

// rateLimiter keeps what all hosts together send to backend servers within the rate limits that
// these name.
type rateLimiter struct {
	*limiter
	listener *ratelimit.Listener
}

func newRateLimiter(d *Daemon, life uint64) *rateLimiter {
	limits := func(name string) (customer.Limit, bool) {
		key, _ := process.ParseKey(name) // of another version of the daemon, and then not known
		limit, known := d.engine.Snapshot().RateLimits.Bound(key)
		return limit.Bound(), known
	}
	return &rateLimiter{
		limiter:  newLimiter(d, peerpb.Datagram_KIND_SERVER_QUOTA, life, quota.ServerRule(), limits),
		listener: ratelimit.NewListener(),
	}
}

// Heard implements dispatch.RateLimits.
func (r *rateLimiter) Heard(server process.Server, sentAt time.Time, said protocol.RateLimit) {
	if said.Unreadable != "" && r.listener.FirstUnreadable(server) {
		klog.InfoS("rate limit of a server cannot be read", "service", server.Service, "backend", server.ID, "value", said.Unreadable)
	}
	report, isNew := r.listener.Hear(time.Now(), r.d.engine.Snapshot().RateLimits, server, sentAt, said)
	if !isNew {
		return
	}
	if !r.d.engine.Post(func(now time.Time) { r.tell(now, report) }) {
		klog.InfoS("rate limit of a server not told: the control loop is too slow", "service", server.Service, "backend", server.ID)
	}
}

// tell tells all hosts of a report. It runs in the control loop.
func (r *rateLimiter) tell(now time.Time, report ratelimit.Report) {
	register, err := report.Register(now)
	if err != nil {
		klog.ErrorS(err, "rate limit of a server not told", "service", report.Server.Service, "backend", report.Server.ID)
		return
	}
	r.d.engine.Write(now, register)
	switch report.Kind {
	case ratelimit.Began:
		r.record(event.BackendLimited, report, fmt.Sprintf("the server takes %.4g requests a second from all hosts", report.PerSecond))
	case ratelimit.Changed:
		r.record(event.BackendLimited, report, fmt.Sprintf("the server takes %.4g requests a second from all hosts, before %.4g", report.PerSecond, report.Before))
	case ratelimit.Ended:
		r.record(event.BackendUnlimited, report, fmt.Sprintf("the server names no rate limit any more, before %.4g requests a second", report.Before))
	}
}

func (r *rateLimiter) record(number event.Number, report ratelimit.Report, detail string) {
	r.d.events.Record(number, report.Server.Service, report.Server.ID, detail)
}

// Take implements dispatch.RateLimits.
func (r *rateLimiter) Take(ctx context.Context, limit ratelimit.Limit) (quota.Verdict, error) {
	verdict, err := r.take(ctx, limit.Server.Key().String(), limit.Bound())
	if err == nil {
		r.d.metrics.RateLimited(verdict.OK)
	}
	return verdict, err
}

// Return implements dispatch.RateLimits.
func (r *rateLimiter) Return(server process.Server) { r.giveBack(server.Key().String()) }

// Promise implements dispatch.RateLimits.
func (r *rateLimiter) Promise(servers []process.Server) time.Duration {
	names := make([]string, 0, len(servers))
	for _, s := range servers {
		names = append(names, s.Key().String())
	}
	var after time.Duration
	r.do(func(now time.Time) { after = r.table.Promise(now, names) })
	return after
}

// Interface guard.
var _ dispatch.RateLimits = (*rateLimiter)(nil)
