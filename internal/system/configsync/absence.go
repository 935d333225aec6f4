package configsync

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/world"
)

// keepAbsent reports whether this host uses a backend server on that is no longer registered,
// because its absence may be due to the platform's own. It is this host's choice alone: what
// hosts pass on to others is what the platform holds. The reader says in its list for how
// long registrations may still be missing; grace is 0 where it may have been cut off from the
// platform alone. Where others had answers meanwhile, a server that is not listed has left,
// and must get no more requests.
func keepAbsent(w *world.World, now time.Time, b *config.DiscoveredBackend, grace time.Duration) bool {
	if absent, ok := w.Absent[b.ID]; ok {
		return now.Before(absent.Until)
	}
	if grace <= 0 || b.Leaving {
		return false
	}
	w.Absent[b.ID] = world.AbsentBackend{Service: b.Service, Until: now.Add(grace)}
	w.Record(now, event.BackendKeptAbsent, b.Service, b.ID, grace.Round(time.Millisecond).String())
	return true
}

// dropAbsent takes out the backend servers that did not come back in time.
func dropAbsent(w *world.World, now time.Time) {
	for id, absent := range w.Absent {
		if now.Before(absent.Until) {
			continue
		}
		delete(w.Absent, id)
		replaceBackends(w, now, absent.Service, []replacement{{id: id}})
	}
}
