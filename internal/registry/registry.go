// Package registry holds the backend servers that have registered themselves and brings
// them up to date by changes, so that the cost of a change follows the change and not the
// number of servers.
//
// A change names the revision that it starts from. A table applies it if it holds that
// revision or a newer one: a change carries whole entries, so applying one twice, or one
// that overlaps with what is held, gives the same table. Each change carries a digest of the
// whole list; a table whose digest differs has missed something and must get the whole list.
//
// The package is pure: lists in, lists out.
package registry

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pearshelf/pearshelf/internal/config"
)

const (
	// historyPerServer times the number of servers is how many changes a table remembers: a
	// restart of every server is three changes each (leaving, gone, joined).
	historyPerServer = 3
	// leastHistory is how many changes a table with few servers remembers.
	leastHistory = 1024
	// coldAgain is by how much a server must be cold for longer than was known for it to have
	// become cold again: what it states and when that is read vary by less.
	coldAgain = time.Second
)

// GapError is a change that starts from a revision that the table has not seen.
type GapError struct{ Base, Held uint64 }

// Error implements error.
func (e GapError) Error() string {
	return fmt.Sprintf("change starts from revision %d, the list held has revision %d", e.Base, e.Held)
}

// DigestError is a list that differs from its sender's after a change was applied.
type DigestError struct{ Revision uint64 }

// Error implements error.
func (e DigestError) Error() string {
	return fmt.Sprintf("list at revision %d differs from the sender's", e.Revision)
}

// Update is what became of one server: it joined (Before is nil), left (After is nil) or
// changed.
type Update struct {
	ID     string
	Before *config.DiscoveredBackend
	After  *config.DiscoveredBackend
}

// entry is a server, and until when it is cold by what it last stated.
type entry struct {
	server    *config.DiscoveredBackend
	coldUntil time.Time
}

// at returns the server with the warm-up time that is left.
func (e entry) at(now time.Time) config.DiscoveredBackend {
	server := *e.server
	server.Warmup = config.Duration(max(e.coldUntil.Sub(now), 0).Round(time.Millisecond))
	return server
}

// differs reports whether an entry says something new. The time for which a server is still
// cold runs down by itself.
func (e entry) differs(now time.Time, other *config.DiscoveredBackend) bool {
	same := *other
	same.Warmup = e.server.Warmup
	return same != *e.server || now.Add(time.Duration(other.Warmup)).Sub(e.coldUntil) > coldAgain && other.Warmup > 0
}

// logged is one line of the history.
type logged struct {
	revision uint64
	id       string
}

// Table is the registered backend servers at one revision. It is not safe for concurrent
// use.
type Table struct {
	revision  uint64
	servers   map[string]entry
	evacuated []string
	digest    uint64
	// graceUntil is until when registrations may be missing although their servers live.
	graceUntil time.Time
	// history holds every change after complete, oldest first.
	history  []logged
	complete uint64
}

// New returns an empty table at revision 0.
func New() *Table {
	return &Table{servers: make(map[string]entry)}
}

// Revision is that of the last list or change applied.
func (t *Table) Revision() uint64 { return t.revision }

// Len is the number of servers.
func (t *Table) Len() int { return len(t.servers) }

// Has reports whether a server is registered.
func (t *Table) Has(id string) bool {
	_, ok := t.servers[id]
	return ok
}

// Differs reports whether an entry says something that the table does not hold.
func (t *Table) Differs(now time.Time, server *config.DiscoveredBackend) bool {
	held, ok := t.servers[server.ID]
	return !ok || held.differs(now, server)
}

// Evacuated are the data centres whose servers get no requests.
func (t *Table) Evacuated() []string { return t.evacuated }

// Apply brings the table to a revision by a whole list or a change, and returns what became
// of each server that differs, by ID. It returns a GapError and applies nothing if the change
// starts from a revision that the table has not seen, and a DigestError with the updates if
// the result differs from the sender's table.
func (t *Table) Apply(now time.Time, revision uint64, list *config.Discovered) ([]Update, error) {
	if list.Base > t.revision {
		return nil, GapError{Base: list.Base, Held: t.revision}
	}
	var updates []Update
	if list.Base == 0 {
		updates = t.removeUnlisted(list.Backends)
	}
	for _, id := range list.Removed {
		updates = t.remove(updates, id)
	}
	for i := range list.Backends {
		updates = t.set(now, updates, &list.Backends[i])
	}
	t.revision = max(t.revision, revision)
	t.evacuated = list.Evacuated
	t.graceUntil = now.Add(time.Duration(list.AbsenceGrace))
	t.log(list, updates)
	slices.SortFunc(updates, func(a, b Update) int { return cmp.Compare(a.ID, b.ID) })
	if list.Digest != 0 && list.Digest != t.digest {
		return updates, DigestError{Revision: t.revision}
	}
	return updates, nil
}

// removeUnlisted takes out the servers that a whole list does not name.
func (t *Table) removeUnlisted(list []config.DiscoveredBackend) []Update {
	listed := make(map[string]bool, len(list))
	for i := range list {
		listed[list[i].ID] = true
	}
	var updates []Update
	for id := range t.servers {
		if !listed[id] {
			updates = t.remove(updates, id)
		}
	}
	return updates
}

// set replaces a server and adds an update if that makes a difference.
func (t *Table) set(now time.Time, updates []Update, after *config.DiscoveredBackend) []Update {
	before, known := t.servers[after.ID]
	if known && !before.differs(now, after) {
		return updates
	}
	if known {
		t.digest ^= digestOf(before.server)
	}
	t.servers[after.ID] = entry{server: after, coldUntil: now.Add(time.Duration(after.Warmup))}
	t.digest ^= digestOf(after)
	return append(updates, Update{ID: after.ID, Before: before.server, After: after})
}

// remove takes out a server and adds an update if it was there.
func (t *Table) remove(updates []Update, id string) []Update {
	before, known := t.servers[id]
	if !known {
		return updates
	}
	t.digest ^= digestOf(before.server)
	delete(t.servers, id)
	return append(updates, Update{ID: id, Before: before.server})
}

// log adds to the history what a list has changed. Entries that a change names and that were
// held already are logged too: the sender may pass on to others what this table got earlier
// under a lower revision.
func (t *Table) log(list *config.Discovered, updates []Update) {
	if list.Base == 0 {
		if len(t.history) == 0 && t.complete == 0 { // the first list: nothing is known of what came before
			t.complete = t.revision
			return
		}
		for _, u := range updates {
			t.history = append(t.history, logged{t.revision, u.ID})
		}
	} else {
		for _, id := range list.Removed {
			t.history = append(t.history, logged{t.revision, id})
		}
		for i := range list.Backends {
			t.history = append(t.history, logged{t.revision, list.Backends[i].ID})
		}
	}
	t.trim()
}

// trim forgets the oldest changes, all of one revision together.
func (t *Table) trim() {
	most := max(leastHistory, historyPerServer*len(t.servers))
	if len(t.history) <= 2*most {
		return
	}
	cut := len(t.history) - most
	t.complete = t.history[cut-1].revision
	for cut < len(t.history) && t.history[cut].revision == t.complete {
		cut++
	}
	t.history = slices.Clone(t.history[cut:])
}

// Since returns what has changed after a revision, or the whole list if the history does not
// reach back so far.
func (t *Table) Since(now time.Time, revision uint64) *config.Discovered {
	if revision == 0 || revision < t.complete {
		return t.whole(now)
	}
	first, _ := slices.BinarySearchFunc(t.history, revision, func(l logged, revision uint64) int {
		if l.revision <= revision {
			return -1
		}
		return 1
	})
	ids := make(map[string]bool)
	for _, l := range t.history[first:] {
		ids[l.id] = true
	}
	if len(ids) > len(t.servers) {
		return t.whole(now)
	}
	change := t.list(now, slices.Sorted(maps.Keys(ids)))
	change.Base = revision
	return change
}

func (t *Table) whole(now time.Time) *config.Discovered {
	return t.list(now, slices.Sorted(maps.Keys(t.servers)))
}

// list names servers as they are now.
func (t *Table) list(now time.Time, ids []string) *config.Discovered {
	list := &config.Discovered{
		Digest:       t.digest,
		Evacuated:    t.evacuated,
		AbsenceGrace: config.Duration(max(t.graceUntil.Sub(now), 0)),
		Backends:     []config.DiscoveredBackend{},
	}
	for _, id := range ids {
		if held, known := t.servers[id]; known {
			list.Backends = append(list.Backends, held.at(now))
		} else {
			list.Removed = append(list.Removed, id)
		}
	}
	return list
}

// digestOf is a hash of an entry. Warmup is left out: it is a time left, and each list states
// it as of another moment.
func digestOf(b *config.DiscoveredBackend) uint64 {
	raw := make([]byte, 0, 256)
	for _, text := range []string{b.Service, b.ID, b.Address, b.DataCentre} {
		raw = append(raw, text...)
		raw = append(raw, 0)
	}
	raw = strconv.AppendInt(raw, int64(b.Slots), 10)
	raw = append(raw, 0)
	raw = strconv.AppendBool(raw, b.Leaving)
	raw = strconv.AppendInt(raw, b.Started, 10)
	return xxhash.Sum64(raw)
}
