package daemon

import (
	"context"
	"errors"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/world"
)

// StopRequests is closed when an operator asks this host to stop.
func (d *Daemon) StopRequests() <-chan struct{} { return d.stopAsk }

// Stop ends the host as planned: it announces the stop, goes on serving while
// the balancer and the other hosts learn of it, lets every request in flight
// finish, and leaves. ctx cuts the wait short.
func (d *Daemon) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(d.settings.Timing.StopTimeout))
	defer cancel()
	d.events.Record(event.HostStopping, "", "", "")
	err := d.engine.Do(ctx, func(_ *world.World, now time.Time) { d.engine.SetLeaving(now) })
	wait(ctx, time.Duration(d.settings.Timing.StopGrace))
	err = errors.Join(err, d.callerServer.Shutdown(ctx), d.peerServer.Shutdown(ctx))
	err = errors.Join(err, d.engine.Do(ctx, func(_ *world.World, now time.Time) { d.engine.Leave(now) }))
	d.events.Record(event.HostStopped, "", "", "")
	d.Kill()
	return err
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// repeat does something at even times until ctx ends.
func repeat(ctx context.Context, every time.Duration, do func()) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}

// Kill ends the host at once, as a crash would.
func (d *Daemon) Kill() {
	d.cancel()
	for _, server := range []*http.Server{d.callerServer, d.readyServer, d.peerServer, d.operatorServer} {
		if server == nil {
			continue
		}
		if err := server.Close(); err != nil {
			klog.V(3).InfoS("listener did not close cleanly", "err", err)
		}
	}
	d.closeSockets()
	d.bus.Close()
	d.clients.Close()
	d.backends.Close()
	d.owners.Close()
	d.wg.Wait()
}
