package configsync

import (
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/world"
)

// absenceGrace is how long after the platform's return a backend server's
// registration may be missing although the server lives: registrations lapse
// while the platform is away, and are back within about 2 s of its return.
const absenceGrace = 2200 * time.Millisecond

// awayAfter is how old the last answer from the platform must be for it to
// count as away. Registrations lapse after some 4.5 s without a heartbeat of
// their server, at least 3 s of them with the platform away; an answer and two
// heartbeats of a reader are at most 1.6 s apart in calm.
const awayAfter = 2500 * time.Millisecond

// notePlatform keeps until when the platform was out of touch, as far as this
// host knows by its own calls and by what readers tell.
func (s *System) notePlatform(w *world.World, now time.Time) {
	contact := s.standIn.fresh
	if s.standIn.answered.After(contact) {
		contact = s.standIn.answered
	}
	if s.conf.StandIn && now.Sub(contact) > awayAfter {
		w.PlatformAwayAt = now
	}
}

// keepAbsent adds to the registered backend servers those that were registered
// before and whose absence may be due to the platform's own. It is this host's
// choice alone: what hosts pass on to others is what the platform holds.
func keepAbsent(w *world.World, now time.Time, service string, held, listed []config.Backend) []config.Backend {
	until := w.PlatformAwayAt.Add(absenceGrace)
	for _, b := range held {
		if slices.ContainsFunc(listed, func(l config.Backend) bool { return l.ID == b.ID }) {
			delete(w.Absent, b.ID)
			continue
		}
		if _, absent := w.Absent[b.ID]; !absent && now.Before(until) && !b.Leaving {
			w.Absent[b.ID] = world.AbsentBackend{Service: service, Until: until}
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
