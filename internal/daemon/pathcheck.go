package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"k8s.io/klog/v2"

	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/policy"
)

// resetWait is how long a new connection must stay open to count. A middlebox that cuts the host
// off may accept connections only to reset them at once.
const resetWait = 20 * time.Millisecond

// pathChecker opens connections to backend servers when the balancer asks whether this host reaches
// them, and records the loss of the path to all of them.
type pathChecker struct {
	d       *Daemon
	timeout time.Duration
	lost    bool
}

func newPathChecker(d *Daemon) *pathChecker {
	return &pathChecker{d: d, timeout: time.Duration(d.settings.Backend.DialTimeout)}
}

func (c *pathChecker) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.d.balance.PathWork():
		case <-timer.C:
		}
		due, after := c.d.balance.DuePathChecks(c.d.engine.Snapshot().Services)
		for _, check := range due {
			c.d.wg.Go(func() { c.check(ctx, check) })
		}
		timer.Stop()
		if after > 0 {
			timer.Reset(after)
		}
		c.recordState()
	}
}

func (c *pathChecker) check(ctx context.Context, check policy.PathCheck) {
	err := c.connect(ctx, check.Address)
	if ctx.Err() != nil {
		return // this host stops
	}
	c.d.metrics.PathCheck(err == nil)
	c.d.balance.PathChecked(check, err == nil)
}

// connect opens a connection, and waits whether it stays open.
func (c *pathChecker) connect(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	conn, err := c.d.dialServer(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(resetWait)); err != nil {
		return err
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return nil
}

// recordState records when the path to all servers is lost, and when it is back.
func (c *pathChecker) recordState() {
	state := c.d.balance.UpdatePathState()
	if state.Lost == c.lost {
		return
	}
	c.lost = state.Lost
	c.d.metrics.SetPathLost(state.Lost)
	c.d.announcePathLost(state.Lost)
	if state.Lost {
		c.d.events.Record(event.PathLost, "", "", fmt.Sprintf("%d backend servers could not be connected to, none has been since", state.Unreachable))
		return
	}
	c.d.events.Record(event.PathRegained, "", "", "a backend server has been connected to")
}

// announcePathLost tells the other hosts whether this one has lost its path to the backend servers.
func (d *Daemon) announcePathLost(lost bool) {
	if !d.engine.Post(func(now time.Time) { d.engine.SetPathLost(now, lost) }) {
		klog.InfoS("dropping announcement of the path's state: control loop queue is full", "lost", lost)
	}
}
