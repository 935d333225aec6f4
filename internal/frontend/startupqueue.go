package frontend

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/startup"
	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	// defaultMaxHeldBytes bounds the waiting requests if the configuration does not.
	defaultMaxHeldBytes = 8 << 20
	// stopCheckInterval is how often a waiting request checks whether the host stops. It is short
	// compared with the grace period of a planned stop.
	stopCheckInterval = 200 * time.Millisecond
)

// Results of a request that waited for the first configuration, as counted.
const (
	waitAdmitted = "admitted" // let in
	waitNoRoom   = "no_room"  // refused on arrival
	waitExpired  = "expired"  // refused when too little time was left
	waitStopped  = "stopped"  // refused because the host stops
	waitLeft     = "left"     // the caller disconnected
)

// startupQueue holds requests until the first configuration is in force, and lets them in by deadline.
type startupQueue struct {
	mu       sync.Mutex
	hold     startup.Hold
	admitted map[*startup.Held]chan struct{} // closed when the request is let in
	draining bool
	results  map[string]int // since the last log line
}

func newStartupQueue(maxBytes int64) *startupQueue {
	if maxBytes <= 0 {
		maxBytes = defaultMaxHeldBytes
	}
	return &startupQueue{
		hold:     startup.Hold{MaxBytes: maxBytes},
		admitted: make(map[*startup.Held]chan struct{}),
		results:  make(map[string]int),
	}
}

// awaitReady returns the latest snapshot. If the host has no configuration yet, the request waits for
// one as long as it could still be served, and is then let in in its turn. The error is a refusal, which
// is true because the request has not been sent anywhere. waited reports whether it had to wait.
func (f *Frontend) awaitReady(r *http.Request, arrived time.Time) (snap *world.Snapshot, waited bool, err error) {
	if snap := f.snapshot(); snap.Ready {
		return snap, false, nil
	}
	result := f.startup.wait(r.Context(), f.conf.WhenReady, func() bool { return f.snapshot().Leaving }, arrived, f.allowedTime(r), r.ContentLength)
	f.metrics.AwaitedConfiguration(result)
	switch result {
	case waitAdmitted:
		return f.snapshot(), true, nil
	case waitNoRoom:
		return nil, true, refuse(http.StatusServiceUnavailable, errs.KindNotConfigured, "this host has no configuration yet, and too many requests wait for it", "repeat the request at another host; the balancer should ask "+f.conf.Protocol.ReadyPath)
	case waitStopped:
		return nil, true, refuse(http.StatusServiceUnavailable, errs.KindNotConfigured, "this host stops and has no configuration", "repeat the request at another host")
	default:
		return nil, true, refuse(http.StatusServiceUnavailable, errs.KindNotConfigured, "this host has no configuration yet", "repeat the request; the balancer should ask "+f.conf.Protocol.ReadyPath)
	}
}

// allowedTime returns the time that the caller allows, 0 if it does not say or not validly.
func (f *Frontend) allowedTime(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(f.conf.Protocol.Timeout), 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// wait blocks until the request is let in or can wait no longer, and returns the result.
func (w *startupQueue) wait(ctx context.Context, ready <-chan struct{}, stopping func() bool, arrived time.Time, allowed time.Duration, body int64) (result string) {
	w.mu.Lock()
	held := w.hold.Enter(arrived, allowed, body)
	admit := make(chan struct{})
	if held != nil {
		w.admitted[held] = admit
	}
	w.mu.Unlock()
	if held == nil {
		return waitNoRoom
	}
	timer := time.NewTimer(time.Until(held.GiveUp))
	defer timer.Stop()
	check := time.NewTicker(stopCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-admit:
			return waitAdmitted
		case <-ready:
			ready = nil // admit is closed in turn
			w.drain()
		case <-timer.C:
			return w.leave(held, waitExpired)
		case <-ctx.Done():
			return w.leave(held, waitLeft)
		case <-check.C:
			if ready != nil && stopping() {
				return w.leave(held, waitStopped)
			}
		}
	}
}

// leave removes a request that gives up, unless it has been let in meanwhile.
func (w *startupQueue) leave(held *startup.Held, result string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, waiting := w.admitted[held]; !waiting {
		return waitAdmitted
	}
	w.hold.Leave(held)
	delete(w.admitted, held)
	w.results[result]++
	return result
}

// drain starts letting the requests in, if that has not begun.
func (w *startupQueue) drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.draining {
		return
	}
	w.draining = true
	go w.admitAll(time.Now(), w.hold.FirstPause(time.Now(), rand.Float64()))
}

// admitAll lets the waiting requests in, the one with the earliest deadline first.
func (w *startupQueue) admitAll(began time.Time, pause time.Duration) {
	for {
		time.Sleep(pause)
		w.mu.Lock()
		var next *startup.Held
		next, pause = w.hold.Next(time.Now(), began)
		if next == nil {
			w.draining = false
			w.log(time.Since(began))
			w.mu.Unlock()
			return
		}
		w.results[waitAdmitted]++
		close(w.admitted[next])
		delete(w.admitted, next)
		w.mu.Unlock()
	}
}

// log writes one line about the requests that waited.
func (w *startupQueue) log(took time.Duration) {
	klog.InfoS("requests waited for the first configuration",
		"admitted", w.results[waitAdmitted],
		"expired", w.results[waitExpired],
		"left", w.results[waitLeft],
		"letInOver", took.Round(time.Millisecond))
	clear(w.results)
}
