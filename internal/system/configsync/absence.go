package configsync

import (
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/world"
)

// keepAbsent adds to the registered backend servers those that were registered
// before and whose absence may be due to the platform's own. It is this host's
// choice alone: what hosts pass on to others is what the platform holds. The
// reader says in its list for how long registrations may still be missing. It may have been
// cut off from the platform alone: where others had answers meanwhile, a server that is not listed
// has left, and must get no more requests.
func keepAbsent(w *world.World, now time.Time, service string, held, listed []config.Backend, grace time.Duration) []config.Backend {
	if !w.Platform.MayHaveLapsed(now) {
		grace = 0
	}
	for _, b := range held {
		if slices.ContainsFunc(listed, func(l config.Backend) bool { return l.ID == b.ID }) {
			delete(w.Absent, b.ID)
			continue
		}
		if _, absent := w.Absent[b.ID]; !absent && grace > 0 && !b.Leaving {
			w.Absent[b.ID] = world.AbsentBackend{Service: service, Until: now.Add(grace)}
			w.Record(now, event.BackendKeptAbsent, service, b.ID, grace.Round(time.Millisecond).String())
		}
		if absent, ok := w.Absent[b.ID]; ok && now.Before(absent.Until) {
			listed = append(listed, b)
		}
	}
	return listed
}

// dropAbsent takes out the backend servers that did not come back in time.
func dropAbsent(w *world.World, now time.Time) {
	for id, absent := range w.Absent {
		if now.Before(absent.Until) {
			continue
		}
		delete(w.Absent, id)
		kept := slices.DeleteFunc(slices.Clone(w.Discovered[absent.Service]), func(b config.Backend) bool { return b.ID == id })
		w.Discovered[absent.Service] = kept
		if svc, ok := w.Services[absent.Service]; ok && !svc.ListsBackends {
			applyService(w, now, svc.Document, svc.Config)
		}
	}
}
