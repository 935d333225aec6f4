package engine

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pearshelf/pearshelf/internal/system/configsync"
	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	// calmTicks is how many times the interval a calm host waits between two ticks, to wake up
	// less often. Its view is trusted for a second, and others take over from a reader after
	// 1.25 s.
	calmTicks = 3

	// inboxSize is how many inputs may wait for the loop.
	inboxSize = 4096
)

// Run ticks until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	timer := time.NewTimer(e.conf.Tick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case input := <-e.inbox:
			waited := e.interval()
			e.Input(time.Now(), input)
			if e.interval() < waited {
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

// interval is the time from one tick to the next: longer where nothing is under way,
// because on hosts with a small part of a core each wake-up counts.
func (e *Engine) interval() time.Duration {
	if e.calm() {
		return calmTicks * e.conf.Tick
	}
	return e.conf.Tick
}

// calm reports whether nothing waits for the next tick: what calls for one at once is
// in urgent, and all else that goes by time allows for calmTicks.
func (e *Engine) calm() bool {
	return e.ready && e.wokeAt.IsZero() && !e.world.Leaving && !e.conf.Forwarding &&
		e.world.Settled && !configsync.Active(e.world, e.lastTick) && e.members.Calm()
}

// Input gives an input to the loop, and ticks at once where it asks for it. It belongs
// to the loop's goroutine.
func (e *Engine) Input(now time.Time, input func(now time.Time)) {
	input(now)
	if e.urgent() {
		e.Step(now)
	}
}

// urgent reports whether an input asks for a tick at once: a document is to be
// fetched, told of or put into force. A change passes three hosts, and would
// wait for a tick on each.
func (e *Engine) urgent() bool {
	w := e.world
	if w.QuarantineChanged {
		return true // each arrival until then may end a server
	}
	if w.RateLimitsChanged {
		return true // hosts that do not know a limit send beyond it
	}
	return e.conf.Documents != nil && (len(w.Out.Fetches) > 0 || w.HeadsChanged || w.ServicesChanged || e.headTold)
}

// Post queues an input; it reports false if the inbox is full.
func (e *Engine) Post(input func(now time.Time)) bool {
	select {
	case e.inbox <- input:
		return true
	default:
		return false
	}
}

// Do runs read on the loop's goroutine and waits for it. An error means that read has not run
// and never will: what it writes may be used once Do has returned.
func (e *Engine) Do(ctx context.Context, read func(w *world.World, now time.Time)) error {
	done := make(chan struct{})
	var taken atomic.Bool // by the loop, or by the caller who has given up
	input := func(now time.Time) {
		if !taken.CompareAndSwap(false, true) {
			return
		}
		defer close(done)
		read(e.world, now)
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
		if taken.CompareAndSwap(false, true) {
			return ctx.Err()
		}
		<-done
		return nil
	}
}
