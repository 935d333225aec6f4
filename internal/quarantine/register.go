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

const prefix = "quarantine/"

// Key returns the register key of a content.
func Key(id content.ID) string { return prefix + id.String() }

// Is reports whether a register holds a quarantine.
func Is(r *peerpb.Register) bool { return strings.HasPrefix(r.GetKey(), prefix) }

// Register returns an unstamped register that holds a quarantine as of now.
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

// Lift returns an unstamped register that ends the quarantine of a content. It is kept for
// as long as an older value could come from a host that was cut off.
func Lift(id content.ID) *peerpb.Register {
	return &peerpb.Register{Key: Key(id), Deleted: true, TtlMs: uint64((maxHold + trialPeriod).Milliseconds())}
}

// InForce returns the quarantines that a host's registers hold.
func InForce(store *register.Store) []*Quarantine {
	var all []*Quarantine
	for _, r := range store.Prefix(prefix) {
		if q, ok := parse(store, r); ok {
			all = append(all, q)
		}
	}
	return all
}

// ViewOf returns the view that a host's registers give.
func ViewOf(store *register.Store) *View {
	v := NewView(InForce(store))
	for _, r := range store.Deleted(prefix) {
		if id, err := content.Parse(strings.TrimPrefix(r.Key, prefix)); err == nil { // else not of this version
			v.liftedAt[id] = hlc.Timestamp(r.Stamp.Clock).Time()
		}
	}
	return v
}

func parse(store *register.Store, r *peerpb.Register) (*Quarantine, bool) {
	id, err := content.Parse(strings.TrimPrefix(r.Key, prefix))
	if err != nil {
		return nil, false // not of this version of the daemon
	}
	value := &peerpb.Quarantine{}
	if proto.Unmarshal(r.Value, value) != nil {
		return nil, false // likewise
	}
	scope, ok := parseScope(value.Scope)
	if !ok {
		return nil, false // likewise
	}
	q := &Quarantine{Content: id, Scope: scope, Service: value.Service, Trials: int(value.Trials), Until: store.Expiry(r.Key).Add(-trialPeriod)}
	written := q.Until.Add(-q.Scope.holdDuration(q.Trials))
	for _, e := range value.Ends {
		q.Ends = append(q.Ends, End{Scope: scope, Service: value.Service, Server: e.Server, At: written.Add(-ageOf(e)), Host: e.Host})
	}
	return q, true
}

// parseScope reads a scope, and reports whether this version of the daemon knows it.
func parseScope(told peerpb.QuarantineScope) (Scope, bool) {
	return Scope(told), told >= 0 && int(told) < len(scopeNames)
}

func ageMs(now, at time.Time) uint32 { return uint32(max(now.Sub(at).Milliseconds(), 0)) }

func ageOf(e *peerpb.ServerEnd) time.Duration { return time.Duration(e.AgeMs) * time.Millisecond }
