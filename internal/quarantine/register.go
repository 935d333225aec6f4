package quarantine

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/content"
	"github.com/pearshelf/pearshelf/internal/hlc"
	"github.com/pearshelf/pearshelf/internal/register"
)

// prefix is the key prefix of all quarantine registers.
const prefix = "quarantine/"

// Key returns the register key of a content's quarantine.
func Key(id content.ID) string { return prefix + id.String() }

// Is reports whether a register belongs to a quarantine.
func Is(r *peerpb.Register) bool { return strings.HasPrefix(r.GetKey(), prefix) }

// Register encodes a quarantine as an unstamped register. Times are encoded as ages relative to
// now.
func (q *Quarantine) Register(now time.Time) (*peerpb.Register, error) {
	value := &peerpb.Quarantine{Service: q.Service, Scope: peerpb.QuarantineScope(q.Scope), Trials: uint32(q.Trials)}
	for _, e := range q.Ends {
		value.Ends = append(value.Ends, &peerpb.ServerEnd{Server: e.Server, AgeMs: ageMs(now, e.At), Host: e.Host})
	}
	raw, err := proto.Marshal(value)
	if err != nil {
		return nil, err
	}
	life := q.Until.Sub(now) + trialPeriod
	return &peerpb.Register{Key: Key(q.Content), Value: raw, TtlMs: uint64(life.Milliseconds())}, nil
}

// Lift returns an unstamped register that deletes the quarantine of a content. The tombstone is
// kept for as long as a host that was partitioned could bring back an older value.
func Lift(id content.ID) *peerpb.Register {
	return &peerpb.Register{Key: Key(id), Deleted: true, TtlMs: uint64((maxHold + trialPeriod).Milliseconds())}
}

// InForce returns the quarantines in a host's registers.
func InForce(store *register.Store) []*Quarantine {
	var all []*Quarantine
	for _, r := range store.Prefix(prefix) {
		if q, ok := parse(store, r); ok {
			all = append(all, q)
		}
	}
	return all
}

// ViewOf builds a view of the quarantines and lifts in a host's registers.
func ViewOf(store *register.Store) *View {
	v := NewView(InForce(store))
	for _, r := range store.Deleted(prefix) {
		if id, err := content.Parse(strings.TrimPrefix(r.Key, prefix)); err == nil { // otherwise a key of another version
			v.liftedAt[id] = hlc.Timestamp(r.Stamp.Clock).Time()
		}
	}
	return v
}

// parse decodes a quarantine; ok is false for a register that another version of the daemon wrote
// in a form that this one does not know.
func parse(store *register.Store, r *peerpb.Register) (*Quarantine, bool) {
	id, err := content.Parse(strings.TrimPrefix(r.Key, prefix))
	if err != nil {
		return nil, false
	}
	value := &peerpb.Quarantine{}
	if proto.Unmarshal(r.Value, value) != nil {
		return nil, false
	}
	scope, ok := parseScope(value.Scope)
	if !ok {
		return nil, false
	}
	q := &Quarantine{Content: id, Scope: scope, Service: value.Service, Trials: int(value.Trials), Until: store.Expiry(r.Key).Add(-trialPeriod)}
	written := q.Until.Add(-q.Scope.holdDuration(q.Trials))
	for _, e := range value.Ends {
		q.Ends = append(q.Ends, Crash{Scope: scope, Service: value.Service, Server: e.Server, At: written.Add(-ageOf(e)), Host: e.Host})
	}
	return q, true
}

// parseScope converts a scope from its wire form; ok is false if this version of the daemon does
// not know it.
func parseScope(scope peerpb.QuarantineScope) (Scope, bool) {
	return Scope(scope), scope >= 0 && int(scope) < len(scopeNames)
}

func ageMs(now, at time.Time) uint32 { return uint32(max(now.Sub(at).Milliseconds(), 0)) }

func ageOf(e *peerpb.ServerEnd) time.Duration { return time.Duration(e.AgeMs) * time.Millisecond }
