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
	// useLogEvery is how often servers that fall out of use are looked for: more precise times
	// would cost more passes over all servers of the subsets.
	useLogEvery = 500 * time.Millisecond
	// useLinesPerSecond bounds the lines about servers that fall out of use or are in use again.
	useLinesPerSecond = 20
)

// useLog writes a line when a backend server of this host's subset falls out of use, and why, and
// one when it is in use again: `pearshelf unused` reads them.
type useLog struct {
	d     *Daemon
	limit *logging.Limit
}

func newUseLog(d *Daemon) *useLog {
	return &useLog{d: d, limit: logging.NewLimit(useLinesPerSecond)}
}

func (u *useLog) run(ctx context.Context) {
	repeat(ctx, useLogEvery, func() { u.write(u.d.engine.Snapshot()) })
}

func (u *useLog) write(snap *world.Snapshot) {
	req := policy.Request{DataCentre: u.d.settings.DataCentre, Availability: u.d.servers.Now()}
	for name, view := range snap.Services {
		req.Service = name
		for _, change := range u.d.balance.UseChanges(view, req) {
			u.line(snap, change)
		}
	}
}

func (u *useLog) line(snap *world.Snapshot, change policy.UseChange) {
	if !u.limit.Allows(time.Now()) {
		return
	}
	idle := change.Idle.Round(time.Millisecond)
	if change.InUse {
		klog.InfoS(logging.InUse, "service", change.Service, "backend", change.Server, "idle", idle, "missed", u.limit.TakeMissed())
		return
	}
	klog.InfoS(logging.OutOfUse,
		"service", change.Service,
		"backend", change.Server,
		"idle", idle,
		"why", string(change.Why),
		"belief", change.Belief,
		"troubled", change.Troubled,
		"limited", change.Limited,
		"hosts", u.hostsOf(snap, change),
		"missed", u.limit.TakeMissed())
}

// hostsOf is how many hosts of this data centre use a server.
func (u *useLog) hostsOf(snap *world.Snapshot, change policy.UseChange) int {
	service := snap.SharedService(change.Service)
	if service == nil {
		return 1
	}
	return 1 + len(snap.Sharing.Audience(service, change.Server, u.d.settings.DataCentre))
}
