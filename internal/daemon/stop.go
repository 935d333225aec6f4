package daemon

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"k8s.io/klog/v2"

	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/world"
)

// StopRequests returns a channel that is closed when an operator asks this host to stop.
func (d *Daemon) StopRequests() <-chan struct{} { return d.stopRequested }

// AwaitStop runs until an operator or a signal asks for a planned stop, and performs it. A signal
// limits the time that is left to Timing.TerminationTimeout, since the platform may kill the
// process after it; a further one ends the stop at once.
func (d *Daemon) AwaitStop(signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	signalled := false
	select {
	case <-signals:
		signalled = true
	case <-d.StopRequests():
	}
	go d.limitStop(ctx, cancel, signals, signalled)
	err := d.Stop(ctx)
	if cause := context.Cause(ctx); cause != nil && err != nil {
		return errs.Wrap(cause, errs.KindCanceled, "planned stop cut short", "allow more time for the requests in flight: timing.kill_after is what the platform gives")
	}
	return err
}

var (
	errStopTimeout  = errors.New("the time before the platform kills the process is over")
	errSecondSignal = errors.New("second signal")
)

// limitStop cancels a stop that a signal has limited, see AwaitStop. It returns when ctx ends.
func (d *Daemon) limitStop(ctx context.Context, cancel context.CancelCauseFunc, signals <-chan os.Signal, signalled bool) {
	if !signalled {
		select {
		case <-signals:
		case <-ctx.Done():
			return
		}
	}
	limit := time.NewTimer(d.settings.Timing.TerminationTimeout())
	defer limit.Stop()
	select {
	case <-limit.C:
		cancel(errStopTimeout)
	case <-signals:
		cancel(errSecondSignal)
	case <-ctx.Done():
	}
}

// Stop shuts the host down gracefully: it announces the stop, keeps serving while the load
// balancer and the other hosts learn of it, sends on or refuses the requests that wait for a slot,
// drains the requests in flight and leaves the fleet. If ctx ends, the remaining steps do not wait.
func (d *Daemon) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(d.settings.Timing.StopTimeout))
	defer cancel()
	d.events.Record(event.HostStopping, "", "", "")
	err := d.engine.Do(ctx, func(_ *world.World, now time.Time) { d.engine.SetLeaving(now) })
	if d.balance != nil {
		d.balance.DrainWaits()
	}
	wait(ctx, d.settings.Timing.ServingGrace())
	err = errors.Join(err, d.callerServer.Shutdown(ctx), d.peerServer.Shutdown(ctx))
	err = errors.Join(err, d.engine.Do(ctx, func(_ *world.World, now time.Time) { d.engine.Leave(now) }))
	d.events.Record(event.HostStopped, "", "", "")
	d.Kill()
	return err
}

// wait blocks for d or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// runEvery calls do at a fixed interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
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

// Kill stops the host immediately, as a crash would.
func (d *Daemon) Kill() {
	d.cancel()
	for _, server := range []*http.Server{d.callerServer, d.readyServer, d.peerServer, d.operatorServer} {
		if server == nil {
			continue
		}
		if err := server.Close(); err != nil {
			klog.V(3).InfoS("cannot close listener", "err", err)
		}
	}
	d.closeSockets()
	d.bus.Close()
	d.clients.Close()
	d.backends.Close()
	d.owners.Close()
	d.wg.Wait()
}
