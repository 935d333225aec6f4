// Package register implements a store of last-writer-wins registers. Merging is commutative,
// associative and idempotent: hosts that have received the same writes in any order hold the same
// values.
package register

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
)

// TombstoneTTL is how long a deletion is kept. It must be longer than any network partition between
// hosts; otherwise a deleted value reappears.
const TombstoneTTL = 24 * time.Hour

type entry struct {
	register *peerpb.Register
	expires  time.Time // zero if it does not expire
}

// Store holds registers by key. It is not safe for concurrent use.
type Store struct {
	entries map[string]entry
	digest  uint64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{entries: make(map[string]entry)}
}

// Compare orders two stamps by revision, clock and host.
func Compare(a, b *peerpb.Stamp) int {
	return cmp.Or(
		cmp.Compare(a.GetRevision(), b.GetRevision()),
		cmp.Compare(a.GetClock(), b.GetClock()),
		cmp.Compare(a.GetHost(), b.GetHost()),
	)
}

// Merge stores a register if it is newer than the one at the same key, and reports whether it did.
func (s *Store) Merge(now time.Time, r *peerpb.Register) bool {
	if r.GetStamp() == nil || r.GetKey() == "" {
		return false
	}
	stored, ok := s.entries[r.Key]
	if ok && Compare(r.Stamp, stored.register.Stamp) <= 0 {
		return false
	}
	if ok {
		s.digest ^= digestOf(stored.register)
	}
	s.digest ^= digestOf(r)
	s.entries[r.Key] = entry{register: r, expires: expiry(now, r)}
	return true
}

func expiry(now time.Time, r *peerpb.Register) time.Time {
	if r.TtlMs > 0 {
		return now.Add(time.Duration(r.TtlMs) * time.Millisecond)
	}
	if r.Deleted {
		return now.Add(TombstoneTTL)
	}
	return time.Time{}
}

// Get returns the register at a key, unless it is deleted.
func (s *Store) Get(key string) (*peerpb.Register, bool) {
	stored, ok := s.entries[key]
	if !ok || stored.register.Deleted {
		return nil, false
	}
	return stored.register, true
}

// Expiry returns when the register at a key expires, zero if it does not expire or is absent.
func (s *Store) Expiry(key string) time.Time { return s.entries[key].expires }

// Stamp returns the stamp at a key, including that of a deletion, or nil.
func (s *Store) Stamp(key string) *peerpb.Stamp {
	stored, ok := s.entries[key]
	if !ok {
		return nil
	}
	return stored.register.Stamp
}

// Prefix returns the registers whose keys start with prefix, without deletions, sorted by key.
func (s *Store) Prefix(prefix string) []*peerpb.Register { return s.withPrefix(prefix, false) }

// Deleted returns the deletions of keys that start with prefix, sorted by key.
func (s *Store) Deleted(prefix string) []*peerpb.Register { return s.withPrefix(prefix, true) }

func (s *Store) withPrefix(prefix string, deleted bool) []*peerpb.Register {
	var found []*peerpb.Register
	for key, stored := range s.entries {
		if strings.HasPrefix(key, prefix) && stored.register.Deleted == deleted {
			found = append(found, stored.register)
		}
	}
	sortByKey(found)
	return found
}

func sortByKey(registers []*peerpb.Register) {
	slices.SortFunc(registers, func(a, b *peerpb.Register) int { return cmp.Compare(a.Key, b.Key) })
}

// Expire removes expired registers and returns them.
func (s *Store) Expire(now time.Time) []*peerpb.Register {
	var dropped []*peerpb.Register
	for key, stored := range s.entries {
		if stored.expires.IsZero() || now.Before(stored.expires) {
			continue
		}
		s.digest ^= digestOf(stored.register)
		delete(s.entries, key)
		dropped = append(dropped, stored.register)
	}
	sortByKey(dropped)
	return dropped
}

// All returns copies of all registers, including deletions, with their remaining time to live.
func (s *Store) All(now time.Time) []*peerpb.Register {
	all := make([]*peerpb.Register, 0, len(s.entries))
	for _, stored := range s.entries {
		copied := proto.CloneOf(stored.register)
		copied.TtlMs = 0
		if !stored.expires.IsZero() {
			remaining := stored.expires.Sub(now).Milliseconds()
			copied.TtlMs = uint64(max(remaining, 1))
		}
		all = append(all, copied)
	}
	sortByKey(all)
	return all
}

// Len returns the number of registers, including deletions.
func (s *Store) Len() int { return len(s.entries) }

// Digest returns a hash of the content: stores with equal content have equal digests.
func (s *Store) Digest() uint64 { return s.digest }

func digestOf(r *peerpb.Register) uint64 {
	buf := make([]byte, 0, len(r.Key)+len(r.Stamp.Host)+17)
	buf = append(buf, r.Key...)
	buf = append(buf, 0)
	buf = append(buf, r.Stamp.Host...)
	buf = binary.BigEndian.AppendUint64(buf, r.Stamp.Revision)
	buf = binary.BigEndian.AppendUint64(buf, r.Stamp.Clock)
	return xxhash.Sum64(buf)
}
