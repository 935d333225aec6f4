package ratelimit

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/process"
	"github.com/pearshelf/pearshelf/internal/register"
)

const prefix = "ratelimit/"

// Is reports whether a register holds a rate limit.
func Is(r *peerpb.Register) bool { return strings.HasPrefix(r.GetKey(), prefix) }

func registerKey(key process.Key) string { return prefix + key.String() }

// Register returns the register that carries the report to all hosts, without a stamp.
func (r Report) Register(now time.Time) (*peerpb.Register, error) {
	register := &peerpb.Register{Key: registerKey(r.Server.Key()), TtlMs: uint64(limitTTL.Milliseconds())}
	if r.Kind == Ended {
		register.Deleted = true
		return register, nil
	}
	age := max(now.Sub(r.Since).Milliseconds(), 0)
	value, err := proto.Marshal(&peerpb.RateLimit{Started: r.Server.Started, PerSecond: r.PerSecond, AgeMs: uint32(age)})
	register.Value = value
	return register, err
}

// ViewOf returns the view of the limits in a store of registers.
func ViewOf(store *register.Store) *View {
	var all []Limit
	for _, r := range store.Prefix(prefix) {
		if limit, ok := parse(store, r); ok {
			all = append(all, limit)
		}
	}
	return NewView(all)
}

func parse(store *register.Store, r *peerpb.Register) (Limit, bool) {
	key, ok := process.ParseKey(strings.TrimPrefix(r.Key, prefix))
	value := &peerpb.RateLimit{}
	if !ok || proto.Unmarshal(r.Value, value) != nil || !(value.PerSecond >= 0) {
		return Limit{}, false // written by an incompatible version of the daemon
	}
	until := store.Expiry(r.Key)
	learned := until.Add(-time.Duration(r.TtlMs) * time.Millisecond)
	return Limit{
		Server:     process.Server{Service: key.Service, ID: key.ID, Started: value.Started},
		PerSecond:  value.PerSecond,
		Since:      learned.Add(-time.Duration(value.AgeMs) * time.Millisecond),
		LearnedAt:  learned,
		Until:      until,
		ReportedBy: r.GetStamp().GetHost(),
	}, true
}
