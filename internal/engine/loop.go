package engine

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pearshelf/pearshelf/internal/startup"
	"github.com/pearshelf/pearshelf/internal/system/configsync"
	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	// idleTickFactor is the factor by which an idle host extends its tick interval to
	// reduce wake-ups. The extended interval must stay below the freshness of the view
	// (1 s) and the time after which other hosts take over from a silent reader (1.25 s).
	idleTickFactor = 3

	// inboxSize is the maximum number of inputs queued for the loop.
	inboxSize = 4096
)

// Run processes inputs and ticks until ctx is done.
func (e *Engine) Run(ctx context.Context) {
	timer := time.NewTimer(0) // a host that starts has no time to lose
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case input := <-e.inbox:
			previousInterval := e.interval()
			e.Input(time.Now(), input)
			if e.interval() < previousInterval {
				timer.Reset(e.interval())
			}
		case <-timer.C:
			if e.conf.BeforeTick != nil {
				e.conf.BeforeTick()
			}
			start := time.Now()
			e.Step(start)
			e.effects.Ticked(time.Since(start), e.world)
			timer.Reset(e.interval())
		}
	}
}

// interval returns the time until the next tick. It is longer while the host is idle,
// because wake-ups are costly on hosts that have only a fraction of a CPU core.
func (e *Engine) interval() time.Duration {
	if !e.ready && e.lastTick.Sub(e.world.StartedAt) < startup.EagerTickFor {
		return min(e.conf.Tick, startup.Tick)
	}
	if e.idle() {
		return idleTickFactor * e.conf.Tick
	}
	return e.conf.Tick
}

// Interval returns the time until the next scheduled tick, for simulations.
func (e *Engine) Interval() time.Duration { return e.interval() }

// idle reports whether no work is waiting for the next tick. Inputs that need an
// immediate tick are covered by needsImmediateTick, and all other timers tolerate
// a delay of idleTickFactor intervals.
func (e *Engine) idle() bool {
	return e.ready && !e.isStale() && !e.world.Leaving && !e.conf.Forwarding &&
		e.world.Settled && !configsync.NeedsTick(e.world, e.lastTick) && e.members.Idle()
}

// Input runs an input and ticks immediately if the input requires it. It must be called
// on the loop's goroutine.
func (e *Engine) Input(now time.Time, input func(now time.Time)) {
	if pause, _ := e.pauseSince(now); pause > e.conf.Freshness {
		e.Step(now) // before this host answers others from a view that may be out of date
	}
	input(now)
	if e.needsImmediateTick() {
		e.Step(now)
	}
}

// needsImmediateTick reports whether pending work cannot wait for the next tick, such
// as a document to fetch, announce or apply. A change propagates over three hosts and
// would otherwise wait for a tick on each of them.
func (e *Engine) needsImmediateTick() bool {
	w := e.world
	if e.isConfirmed() {
		return true // requests are waiting for a fresh view
	}
	if w.QuarantineChanged {
		return true // any matching request accepted until then may crash a backend server
	}
	if w.RateLimitsChanged {
		return true // hosts that do not know the limit yet exceed it
	}
	return e.conf.RequiredDocuments != nil && (len(w.Outbox.Fetches) > 0 || w.HeadsChanged || w.ServicesChanged || e.headAnnounced)
}

// Post queues an input for the loop. It returns false if the inbox is full.
func (e *Engine) Post(input func(now time.Time)) bool {
	select {
	case e.inbox <- input:
		return true
	default:
		return false
	}
}

// Deliver queues an input for the loop, and waits for room if the inbox is full. It returns an error
// if ctx ends before. It must not be called from the loop's goroutine.
func (e *Engine) Deliver(ctx context.Context, input func(now time.Time)) error {
	select {
	case e.inbox <- input:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Do runs f on the loop's goroutine and waits for it to finish. An error means that f has
// not run and never will, so variables that f writes are safe to use once Do returns.
func (e *Engine) Do(ctx context.Context, f func(w *world.World, now time.Time)) error {
	done := make(chan struct{})
	var claimed atomic.Bool // set by the loop when it starts f, or by Do when ctx is done
	input := func(now time.Time) {
		if !claimed.CompareAndSwap(false, true) {
			return
		}
		defer close(done)
		f(e.world, now)
	}
	select {
	case e.inbox <- input:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		if claimed.CompareAndSwap(false, true) {
			return ctx.Err()
		}
		<-done
		return nil
	}
}
