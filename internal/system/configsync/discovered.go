package configsync

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/registry"
	"github.com/pearshelf/pearshelf/internal/world"
)

// applyDiscovered applies a full list of the registered backend servers or a delta to it. The
// list is replicated by deltas because, with thousands of servers, the cost of sending it in
// full to each host at each change would grow with the cube of the fleet.
func applyDiscovered(w *world.World, now time.Time, doc *world.Document, revision uint64, raw []byte) error {
	list, faults, err := config.ParseDiscovered(raw)
	if err != nil {
		return err
	}
	if doc.Incomplete && list.Base > 0 {
		return registry.GapError{Base: list.Base}
	}
	for _, fault := range faults {
		w.Record(now, event.BackendMisregistered, "", "", fault)
	}
	updates, err := w.Registry.Apply(now, revision, list)
	var gap registry.GapError
	if errors.As(err, &gap) {
		return err
	}
	doc.Incomplete = false
	applyUpdates(w, now, updates, time.Duration(list.AbsenceGrace))
	applyEvacuated(w, now, list.Evacuated)
	if list.Base == 0 {
		return nil // a full list cannot be replaced by a more complete one
	}
	return err
}

// isIncomplete reports whether an error means that a delta did not fit the local list.
func isIncomplete(err error) bool {
	var gap registry.GapError
	var digest registry.DigestError
	return errors.As(err, &gap) || errors.As(err, &digest)
}

// markIncomplete marks a document of which the full content must be fetched.
func markIncomplete(w *world.World, now time.Time, doc *world.Document, cause error) {
	doc.Incomplete = true
	w.Record(now, event.ListIncomplete, "", "", doc.Key+": "+cause.Error())
}

// refetchIncomplete fetches incomplete documents in full, even if no host announces them.
func (s *System) refetchIncomplete(w *world.World, now time.Time) {
	for _, key := range w.Required {
		if doc := w.Document(key); doc.Incomplete {
			s.fetch(w, now, doc, fetchSource{platform: IsReader(w)})
		}
	}
}

// applyUpdates applies changes of registered backend servers to the services.
func applyUpdates(w *world.World, now time.Time, updates []registry.Update, grace time.Duration) {
	if !w.Platform.RegistrationsMayHaveExpired(now) {
		grace = 0
	}
	byService := make(map[string][]replacement)
	for _, u := range updates {
		if u.Before != nil && (u.After == nil || u.After.Service != u.Before.Service) {
			name := u.Before.Service
			if u.After != nil || !retainAbsent(w, now, u.Before, grace) {
				byService[name] = append(byService[name], replacement{id: u.ID})
			}
		}
		if u.After != nil {
			name := u.After.Service
			delete(w.Absent, u.ID)
			byService[name] = append(byService[name], replacement{id: u.ID, backend: &u.After.Backend})
		}
	}
	for name, replaced := range byService {
		replaceBackends(w, now, name, replaced)
	}
}

// replacement is the new configuration of a backend server, nil if it is removed.
type replacement struct {
	id      string
	backend *config.Backend
}

// replaceBackends replaces, adds or removes servers of a service. The replacements are ordered
// by ID.
func replaceBackends(w *world.World, now time.Time, service string, replaced []replacement) {
	w.Discovered[service] = merge(w.Discovered[service], replaced,
		func(held config.Backend) string { return held.ID },
		func(b config.Backend) config.Backend { return b })
	held, ok := w.Services[service]
	if !ok || held.ListsBackends {
		return
	}
	svc := *held
	conf := *held.Config
	conf.Backends = w.Discovered[service]
	svc.Config = &conf
	svc.Backends = merge(held.Backends, replaced,
		func(held *world.BackendServer) string { return held.Config.ID },
		func(b config.Backend) *world.BackendServer { return mergeBackend(w, now, held, b) })
	svc.Dirty = true
	svc.DetectionActive = svc.DetectionActive || !w.DirectPicking
	w.Services[service] = &svc
}

// merge returns held, which is ordered by ID, with the replacements applied.
func merge[T any](held []T, replaced []replacement, idOf func(T) string, row func(config.Backend) T) []T {
	next := make([]T, 0, len(held)+len(replaced))
	for _, r := range replaced {
		n, found := slices.BinarySearchFunc(held, r.id, func(h T, id string) int { return cmp.Compare(idOf(h), id) })
		next = append(next, held[:n]...)
		held = held[n:]
		if found {
			held = held[1:]
		}
		if r.backend != nil {
			next = append(next, row(*r.backend))
		}
	}
	return append(next, held...)
}

// applyEvacuated sets the data centres whose servers get no requests.
func applyEvacuated(w *world.World, now time.Time, evacuated []string) {
	next := slices.Compact(slices.Sorted(slices.Values(evacuated)))
	if slices.Equal(next, w.Evacuated) {
		return
	}
	for _, dataCentre := range next {
		if !slices.Contains(w.Evacuated, dataCentre) {
			w.Record(now, event.EvacuationBegan, "", "", describeEvacuation(w, dataCentre))
		}
	}
	for _, dataCentre := range w.Evacuated {
		if !slices.Contains(next, dataCentre) {
			w.Record(now, event.EvacuationEnded, "", "", dataCentre)
		}
	}
	w.Evacuated = next
	for _, svc := range w.Services {
		svc.Dirty = true
	}
}

// describeEvacuation returns the number of evacuated servers by service.
func describeEvacuation(w *world.World, dataCentre string) string {
	var parts []string
	for _, name := range w.ServiceNames() {
		parts = append(parts, fmt.Sprintf("%d of %s", w.Services[name].CountIn(dataCentre), name))
	}
	return dataCentre + ": no requests to its servers (" + strings.Join(parts, ", ") + ")"
}
