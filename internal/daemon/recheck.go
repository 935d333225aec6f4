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
	// recheckRound is the time between two looks for servers that must be asked.
	recheckRound = time.Second
	// recheckTimeout bounds one question.
	recheckTimeout = 2 * time.Second
)

// rechecker asks servers that have been leaving for long whether they still are: one that
// says otherwise gets requests again. Without it a server that said so wrongly would be lost
// for good.
type rechecker struct {
	servers  *availability.Table
	snapshot func() *world.Snapshot
	client   *http.Client
	protocol *protocol.Protocol
	events   event.Recorder
}

// Run asks until ctx ends.
func (r *rechecker) Run(ctx context.Context) {
	repeat(ctx, recheckRound, func() { r.round(ctx) })
}

func (r *rechecker) round(ctx context.Context) {
	for _, server := range r.servers.TakeRechecks(r.snapshot().LiveHosts) {
		r.recheck(ctx, server)
	}
}

func (r *rechecker) recheck(ctx context.Context, server process.Server) {
	stays, err := r.isStaying(ctx, server)
	if err != nil {
		klog.V(2).InfoS("leaving server not asked", "service", server.Service, "backend", server.ID, "err", err)
		return
	}
	if stays {
		r.servers.Forget(server)
		r.events.Record(event.BackendAvailable, server.Service, server.ID, "its health check says that it is not leaving")
	}
}

// isStaying asks a server's health path. It stays if it is well, the one that was meant, and
// does not say that it is leaving.
func (r *rechecker) isStaying(ctx context.Context, server process.Server) (bool, error) {
	view, ok := r.snapshot().Services[server.Service]
	if !ok {
		return false, fmt.Errorf("service %s is not configured", server.Service)
	}
	i := slices.IndexFunc(view.Backends, func(b world.BackendView) bool { return b.ID == server.ID })
	if i < 0 || view.Config.Probe.Path == "" {
		return false, errors.New("it is not listed, or has no health path")
	}
	ctx, cancel := context.WithTimeout(ctx, recheckTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+view.Backends[i].Address+view.Config.Probe.Path, nil)
	if err != nil {
		return false, err
	}
	answer, err := r.client.Do(req)
	if err != nil {
		return false, err
	}
	defer answer.Body.Close()
	named := r.protocol.Instance == "" || answer.Header.Get(r.protocol.Instance) == server.ID
	leaves := r.protocol.ReadServerState(time.Now(), answer.StatusCode, answer.Header).Leaving
	return answer.StatusCode == http.StatusOK && named && !leaves, nil
}
