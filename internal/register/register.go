// Package register is a store of last-writer-wins registers. Merging is
// commutative, associative and idempotent, so hosts that have seen the same
// writes in any order hold the same values.
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

// TombstoneTTL is how long a deletion is remembered. It must exceed the time
// for which hosts can be cut apart, or the deleted value comes back.
const TombstoneTTL = 24 * time.Hour

type entry struct {
	register *peerpb.Register
	expires  time.Time // zero for never
}

// Store is not safe for concurrent use.
type Store struct {
	entries map[string]entry
	digest  uint64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{entries: make(map[string]entry)}
}

// Compare orders two stamps.
func Compare(a, b *peerpb.Stamp) int {
	return cmp.Or(
		cmp.Compare(a.GetRevision(), b.GetRevision()),
		cmp.Compare(a.GetClock(), b.GetClock()),
		cmp.Compare(a.GetHost(), b.GetHost()),
	)
}

// Merge takes a register if it is newer than what the store holds and reports
// whether it did.
func (s *Store) Merge(now time.Time, r *peerpb.Register) bool {
	if r.GetStamp() == nil || r.GetKey() == "" {
		return false
	}
	held, ok := s.entries[r.Key]
	if ok && Compare(r.Stamp, held.register.Stamp) <= 0 {
		return false
	}
	if ok {
		s.digest ^= digestOf(held.register)
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

// Get returns the live register at a key.
func (s *Store) Get(key string) (*peerpb.Register, bool) {
	held, ok := s.entries[key]
	if !ok || held.register.Deleted {
		return nil, false
	}
	return held.register, true
}

// Expiry returns when the register at a key is dropped, zero for never or none.
func (s *Store) Expiry(key string) time.Time { return s.entries[key].expires }

// Stamp returns the stamp at a key, also of a deletion, or nil.
func (s *Store) Stamp(key string) *peerpb.Stamp {
	held, ok := s.entries[key]
	if !ok {
		return nil
	}
	return held.register.Stamp
}

// Prefix returns the live registers whose key starts with prefix, by key.
func (s *Store) Prefix(prefix string) []*peerpb.Register { return s.withPrefix(prefix, false) }

// Deleted returns the deletions that are remembered of keys that start with prefix, by key.
func (s *Store) Deleted(prefix string) []*peerpb.Register { return s.withPrefix(prefix, true) }

func (s *Store) withPrefix(prefix string, deleted bool) []*peerpb.Register {
	var found []*peerpb.Register
	for key, held := range s.entries {
		if strings.HasPrefix(key, prefix) && held.register.Deleted == deleted {
			found = append(found, held.register)
		}
	}
	sortByKey(found)
	return found
}

func sortByKey(registers []*peerpb.Register) {
	slices.SortFunc(registers, func(a, b *peerpb.Register) int { return cmp.Compare(a.Key, b.Key) })
}

// Expire drops what has outlived its time and returns the dropped registers.
func (s *Store) Expire(now time.Time) []*peerpb.Register {
	var dropped []*peerpb.Register
	for key, held := range s.entries {
		if held.expires.IsZero() || now.Before(held.expires) {
			continue
		}
		s.digest ^= digestOf(held.register)
		delete(s.entries, key)
		dropped = append(dropped, held.register)
	}
	sortByKey(dropped)
	return dropped
}

// All returns every register, deletions included, with the time left to live.
func (s *Store) All(now time.Time) []*peerpb.Register {
	all := make([]*peerpb.Register, 0, len(s.entries))
	for _, held := range s.entries {
		copied := proto.CloneOf(held.register)
		copied.TtlMs = 0
		if !held.expires.IsZero() {
			left := held.expires.Sub(now).Milliseconds()
			copied.TtlMs = uint64(max(left, 1))
		}
		all = append(all, copied)
	}
	sortByKey(all)
	return all
}

// Len returns the number of registers, deletions included.
func (s *Store) Len() int { return len(s.entries) }

// Digest identifies the content: equal stores have equal digests.
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
