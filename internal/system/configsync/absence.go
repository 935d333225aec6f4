package configsync

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/world"
)

// retainAbsent reports whether this host keeps using a backend server that is no longer
// registered, because its registration may have lapsed during an outage of the platform. The
// decision is local: hosts pass on only what the platform holds. The list carries the grace
// period for which registrations may still be missing. It is 0 if only the reader may have been
// cut off from the platform: if other hosts received answers meanwhile, an unlisted server has
// left and must get no more requests.
func retainAbsent(w *world.World, now time.Time, b *config.DiscoveredBackend, grace time.Duration) bool {
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

// removeExpired removes absent backend servers whose grace period has ended.
func removeExpired(w *world.World, now time.Time) {
	for id, absent := range w.Absent {
		if now.Before(absent.Until) {
			continue
		}
		delete(w.Absent, id)
		replaceBackends(w, now, absent.Service, []replacement{{id: id}})
	}
}
