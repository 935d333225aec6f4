package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/platform"
)

// platformWatcher watches the platform for configuration changes while this host is a reader.
type platformWatcher struct {
	d *Daemon

	mu     sync.Mutex
	cancel context.CancelFunc
	lost   bool
	seen   map[string]uint64
}

func (w *platformWatcher) setReader(reader bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case reader && w.cancel == nil:
		w.start()
	case !reader && w.cancel != nil:
		w.cancel()
		w.cancel = nil
	}
}

func (w *platformWatcher) start() {
	ctx, cancel := context.WithCancel(w.d.ctx)
	w.cancel = cancel
	w.seen = make(map[string]uint64)
	w.d.wg.Go(func() { w.d.platform.Watch(ctx, w.lastRevision, w.deliver, w.health) })
}

func (w *platformWatcher) lastRevision(key string) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.seen[key]
}

func (w *platformWatcher) deliver(v *platform.Value) {
	w.mu.Lock()
	w.seen[v.Key] = max(w.seen[v.Key], v.Revision)
	w.mu.Unlock()
	w.d.publishDocument(v.Key, v.Revision, v.Raw)
}

// health records an event when the platform becomes unreachable and when it is reachable
// again.
func (w *platformWatcher) health(err error) {
	w.d.metrics.PlatformCall(err)
	if err == nil {
		w.d.engine.Post(func(now time.Time) { w.d.engine.PlatformAnswered(now) })
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if lost := err != nil; lost != w.lost {
		w.lost = lost
		w.record(err)
	}
}

func (w *platformWatcher) record(err error) {
	if err != nil {
		w.d.events.Record(event.PlatformLost, "", "", err.Error())
		return
	}
	w.d.events.Record(event.PlatformBack, "", "", "")
}
