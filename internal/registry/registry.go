// Package registry holds the table of self-registered backend servers. The table is
// replicated by deltas, so that the cost of an update depends on the number of changed
// servers and not on the size of the table.
//
// A delta names its base revision. A table applies it if it holds that revision or a newer
// one. Deltas carry whole entries, so applying one twice, or one that overlaps with the
// table's state, is idempotent. Each delta carries a digest of the full list; a table whose
// digest differs has missed an update and must fetch the full list.
//
// The package performs no I/O and reads no clock.
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
	// historyPerServer is the number of changes kept in the history per server: a restart of
	// a server takes three (leaving, removed, joined).
	historyPerServer = 3
	// minHistory is the number of changes kept by a table with few servers.
	minHistory = 1024
	// warmupTolerance is the extension of a server's warm-up above which the server counts as
	// having become cold again: the reported value and the time of reading it vary by less.
	warmupTolerance = time.Second
)

// GapError reports a delta whose base revision is newer than the table.
type GapError struct{ Base, Held uint64 }

// Error implements error.
func (e GapError) Error() string {
	return fmt.Sprintf("delta has base revision %d, local list is at revision %d", e.Base, e.Held)
}

// DigestError reports that the table differs from the sender's after a delta was applied.
type DigestError struct{ Revision uint64 }

// Error implements error.
func (e DigestError) Error() string {
	return fmt.Sprintf("digest mismatch: local list at revision %d differs from the sender's", e.Revision)
}

// Update describes the change of one server: it joined (Before is nil), left (After is nil)
// or was modified.
type Update struct {
	ID     string
	Before *config.DiscoveredBackend
	After  *config.DiscoveredBackend
}

// entry is a server and the end of its warm-up as last reported.
type entry struct {
	server    *config.DiscoveredBackend
	coldUntil time.Time
}

// withRemainingWarmup returns the server with the warm-up time that remains at now.
func (e entry) withRemainingWarmup(now time.Time) config.DiscoveredBackend {
	server := *e.server
	server.Warmup = config.Duration(max(e.coldUntil.Sub(now), 0).Round(time.Millisecond))
	return server
}

// differs reports whether other differs from the entry. A warm-up that has merely run down is
// no difference.
func (e entry) differs(now time.Time, other *config.DiscoveredBackend) bool {
	same := *other
	same.Warmup = e.server.Warmup
	return same != *e.server || now.Add(time.Duration(other.Warmup)).Sub(e.coldUntil) > warmupTolerance && other.Warmup > 0
}

// historyEntry records that a server changed at a revision.
type historyEntry struct {
	revision uint64
	id       string
}

// Table holds the registered backend servers at one revision. It is not safe for concurrent
// use.
type Table struct {
	revision  uint64
	servers   map[string]entry
	evacuated []string
	digest    uint64
	// graceUntil is the time until which registrations of live servers may be missing.
	graceUntil time.Time
	// history holds every change after revision completeSince, oldest first.
	history       []historyEntry
	completeSince uint64
}

// New returns an empty table at revision 0.
func New() *Table {
	return &Table{servers: make(map[string]entry)}
}

// Revision returns the revision of the last list or delta applied.
func (t *Table) Revision() uint64 { return t.revision }

// Len returns the number of servers.
func (t *Table) Len() int { return len(t.servers) }

// Has reports whether a server is registered.
func (t *Table) Has(id string) bool {
	_, ok := t.servers[id]
	return ok
}

// Differs reports whether server is missing from the table or differs from its entry.
func (t *Table) Differs(now time.Time, server *config.DiscoveredBackend) bool {
	held, ok := t.servers[server.ID]
	return !ok || held.differs(now, server)
}

// Evacuated returns the data centres whose servers get no requests.
func (t *Table) Evacuated() []string { return t.evacuated }

// Apply brings the table to a revision with a full list (base revision 0) or a delta, and
// returns an update for each server that changed, ordered by ID. It returns a GapError and
// applies nothing if the base revision is newer than the table, and a DigestError along with
// the updates if the result differs from the sender's table.
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
		updates = t.upsert(now, updates, &list.Backends[i])
	}
	t.revision = max(t.revision, revision)
	t.evacuated = list.Evacuated
	t.graceUntil = now.Add(time.Duration(list.AbsenceGrace))
	t.appendHistory(list, updates)
	slices.SortFunc(updates, func(a, b Update) int { return cmp.Compare(a.ID, b.ID) })
	if list.Digest != 0 && list.Digest != t.digest {
		return updates, DigestError{Revision: t.revision}
	}
	return updates, nil
}

// removeUnlisted removes the servers that are missing from a full list.
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

// upsert adds or replaces a server and appends an update if the entry changed.
func (t *Table) upsert(now time.Time, updates []Update, after *config.DiscoveredBackend) []Update {
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

// remove removes a server and appends an update if it was present.
func (t *Table) remove(updates []Update, id string) []Update {
	before, known := t.servers[id]
	if !known {
		return updates
	}
	t.digest ^= digestOf(before.server)
	delete(t.servers, id)
	return append(updates, Update{ID: id, Before: before.server})
}

// appendHistory records the changes of a list. Entries of a delta that the table held already
// are recorded too: other hosts may get them under the delta's revision, although this table
// received them earlier under a lower one.
func (t *Table) appendHistory(list *config.Discovered, updates []Update) {
	if list.Base == 0 {
		if len(t.history) == 0 && t.completeSince == 0 { // first list: changes before it are unknown
			t.completeSince = t.revision
			return
		}
		for _, u := range updates {
			t.history = append(t.history, historyEntry{t.revision, u.ID})
		}
	} else {
		for _, id := range list.Removed {
			t.history = append(t.history, historyEntry{t.revision, id})
		}
		for i := range list.Backends {
			t.history = append(t.history, historyEntry{t.revision, list.Backends[i].ID})
		}
	}
	t.trimHistory()
}

// trimHistory drops the oldest changes once the history is twice its limit. Changes of one
// revision are dropped together.
func (t *Table) trimHistory() {
	limit := max(minHistory, historyPerServer*len(t.servers))
	if len(t.history) <= 2*limit {
		return
	}
	cut := len(t.history) - limit
	t.completeSince = t.history[cut-1].revision
	for cut < len(t.history) && t.history[cut].revision == t.completeSince {
		cut++
	}
	t.history = slices.Clone(t.history[cut:])
}

// Since returns the changes after a revision, or the full list if the history does not reach
// back to it or the delta would name more servers than the table holds.
func (t *Table) Since(now time.Time, revision uint64) *config.Discovered {
	if revision == 0 || revision < t.completeSince {
		return t.fullList(now)
	}
	first, _ := slices.BinarySearchFunc(t.history, revision, func(l historyEntry, revision uint64) int {
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
		return t.fullList(now)
	}
	change := t.snapshot(now, slices.Sorted(maps.Keys(ids)))
	change.Base = revision
	return change
}

func (t *Table) fullList(now time.Time) *config.Discovered {
	return t.snapshot(now, slices.Sorted(maps.Keys(t.servers)))
}

// snapshot returns the current entries of the given servers. Unknown IDs are listed as removed.
func (t *Table) snapshot(now time.Time, ids []string) *config.Discovered {
	snapshot := &config.Discovered{
		Digest:       t.digest,
		Evacuated:    t.evacuated,
		AbsenceGrace: config.Duration(max(t.graceUntil.Sub(now), 0)),
		Backends:     []config.DiscoveredBackend{},
	}
	for _, id := range ids {
		if held, known := t.servers[id]; known {
			snapshot.Backends = append(snapshot.Backends, held.withRemainingWarmup(now))
		} else {
			snapshot.Removed = append(snapshot.Removed, id)
		}
	}
	return snapshot
}

// digestOf returns a hash of an entry. Warmup is excluded: it is a remaining time, which
// differs with the moment at which a list is made.
func digestOf(b *config.DiscoveredBackend) uint64 {
	raw := make([]byte, 0, 256)
	for _, field := range []string{b.Service, b.ID, b.Address, b.DataCentre} {
		raw = append(raw, field...)
		raw = append(raw, 0)
	}
	raw = strconv.AppendInt(raw, int64(b.Slots), 10)
	raw = append(raw, 0)
	raw = strconv.AppendBool(raw, b.Leaving)
	raw = strconv.AppendInt(raw, b.Started, 10)
	return xxhash.Sum64(raw)
}
