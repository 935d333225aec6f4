package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/pearshelf/pearshelf/internal/availability"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/process"
	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	// recheckInterval is the time between two scans for servers to recheck.
	recheckInterval = time.Second
	// recheckTimeout bounds one health check.
	recheckTimeout = 2 * time.Second
)

// rechecker sends health checks to servers that have been leaving for a long time. A server
// that no longer reports that it is leaving gets requests again. Without these checks, a
// server that reported leaving by mistake would never be used again.
type rechecker struct {
	servers  *availability.Table
	snapshot func() *world.Snapshot
	client   *http.Client
	protocol *protocol.Protocol
	events   event.Recorder
}

// Run rechecks servers periodically until ctx ends.
func (r *rechecker) Run(ctx context.Context) {
	runEvery(ctx, recheckInterval, func() { r.checkAll(ctx) })
}

func (r *rechecker) checkAll(ctx context.Context) {
	for _, server := range r.servers.ClaimRechecks(r.snapshot().LiveHosts) {
		r.check(ctx, server)
	}
}

func (r *rechecker) check(ctx context.Context, server process.Server) {
	available, err := r.isAvailable(ctx, server)
	if err != nil {
		klog.V(2).InfoS("cannot recheck leaving server", "service", server.Service, "backend", server.ID, "err", err)
		return
	}
	if available {
		r.servers.Forget(server)
		r.events.Record(event.BackendAvailable, server.Service, server.ID, "its health check says that it is not leaving")
	}
}

// isAvailable sends a health check to a server. The server is available if it answers 200,
// is the expected instance and does not report that it is leaving.
func (r *rechecker) isAvailable(ctx context.Context, server process.Server) (bool, error) {
	view, ok := r.snapshot().Services[server.Service]
	if !ok {
		return false, fmt.Errorf("service %s is not configured", server.Service)
	}
	i := slices.IndexFunc(view.Backends, func(b world.BackendView) bool { return b.ID == server.ID })
	if i < 0 || view.Config.Probe.Path == "" {
		return false, errors.New("server is not listed or its service has no health check path")
	}
	ctx, cancel := context.WithTimeout(ctx, recheckTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+view.Backends[i].Address+view.Config.Probe.Path, nil)
	if err != nil {
		return false, err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	sameInstance := r.protocol.Instance == "" || resp.Header.Get(r.protocol.Instance) == server.ID
	leaving := r.protocol.ReadServerState(time.Now(), resp.StatusCode, resp.Header).Leaving
	return resp.StatusCode == http.StatusOK && sameInstance && !leaving, nil
}
