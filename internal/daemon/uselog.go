package daemon

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/pearshelf/pearshelf/internal/logging"
	"github.com/pearshelf/pearshelf/internal/policy"
	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	// useLogInterval is the time between two scans for servers that went out of use. A shorter
	// interval would give more precise times, but needs more passes over all servers of the subsets.
	useLogInterval = 500 * time.Millisecond
	// useLogLinesPerSecond limits the log lines about servers that go out of use or are in use again.
	useLogLinesPerSecond = 20
)

// useLog logs when and why a backend server of this host's subset goes out of use, and when it is
// in use again. The command `pearshelf unused` reads these lines.
type useLog struct {
	d     *Daemon
	limit *logging.LineLimiter
}

func newUseLog(d *Daemon) *useLog {
	return &useLog{d: d, limit: logging.NewLineLimiter(useLogLinesPerSecond)}
}

func (u *useLog) run(ctx context.Context) {
	runEvery(ctx, useLogInterval, func() { u.write(u.d.engine.Snapshot()) })
}

func (u *useLog) write(snap *world.Snapshot) {
	req := policy.Request{DataCentre: u.d.settings.DataCentre, Availability: u.d.servers.Now()}
	for name, view := range snap.Services {
		req.Service = name
		for _, change := range u.d.balance.UseChanges(view, req) {
			u.log(snap, change)
		}
	}
}

func (u *useLog) log(snap *world.Snapshot, change policy.UseChange) {
	if !u.limit.Allow(time.Now()) {
		return
	}
	idle := change.Idle.Round(time.Millisecond)
	if change.InUse {
		klog.InfoS(logging.InUse, "service", change.Service, "backend", change.Server, "idle", idle, "missed", u.limit.TakeSuppressed())
		return
	}
	klog.InfoS(logging.OutOfUse,
		"service", change.Service,
		"backend", change.Server,
		"idle", idle,
		"why", string(change.Why),
		"belief", change.Belief,
		"troubled", change.Degraded,
		"limited", change.Limited,
		"near-limit", change.NearLimit,
		"accuser", change.Accuser,
		"evidence", change.Evidence,
		"hosts", u.hostCount(snap, change),
		"missed", u.limit.TakeSuppressed())
}

// hostCount returns how many hosts of this data centre use a server.
func (u *useLog) hostCount(snap *world.Snapshot, change policy.UseChange) int {
	service := snap.ServiceRings(change.Service)
	if service == nil {
		return 1
	}
	return 1 + len(snap.Sharing.Recipients(service, change.Server, u.d.settings.DataCentre))
}
