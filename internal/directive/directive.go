// Package directive stores operators' commands as registers, which are replicated to every host.
package directive

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/register"
)

// Kinds of directive. Each combination of kind and target has a register of its own.
const (
	KindDrain = "drain"
	KindStop  = "stop"
	KindFloor = "floor"
)

const keyPrefix = "directive/"

// Key returns the register key of a directive. target is service/backend for a drain, a host name for
// a stop and a service name for a floor.
func Key(kind, target string) string {
	return keyPrefix + kind + "/" + target
}

// New encodes a directive as a register that has no stamp yet.
func New(d *peerpb.Directive) (*peerpb.Register, error) {
	value, err := proto.Marshal(d)
	if err != nil {
		return nil, err
	}
	return &peerpb.Register{Key: Key(d.Kind, d.Target), Value: value}, nil
}

// Is reports whether a register holds a directive.
func Is(r *peerpb.Register) bool { return strings.HasPrefix(r.GetKey(), keyPrefix) }

// Target extracts the kind and target from the key of a directive's register.
func Target(r *peerpb.Register) (kind, target string) {
	kind, target, _ = strings.Cut(strings.TrimPrefix(r.GetKey(), keyPrefix), "/")
	return kind, target
}

// Parse decodes the directive that a register holds.
func Parse(r *peerpb.Register) (*peerpb.Directive, error) {
	d := &peerpb.Directive{}
	err := proto.Unmarshal(r.GetValue(), d)
	return d, err
}

// Drain is an operator's drain of one backend server.
type Drain struct {
	Backend string
	Stamp   *peerpb.Stamp
}

// Drains returns the drains of a service, oldest first.
func Drains(store *register.Store, service string) []Drain {
	var drains []Drain
	start := Key(KindDrain, service+"/")
	for _, r := range store.Prefix(start) {
		drains = append(drains, Drain{Backend: strings.TrimPrefix(r.Key, start), Stamp: r.Stamp})
	}
	slices.SortFunc(drains, func(a, b Drain) int {
		return cmp.Or(register.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Backend, b.Backend))
	})
	return drains
}

// Floor returns the floor that an operator set for a service. The result is false if there is none or the
// published value has changed since: a directive overrides only the value that it was based on.
func Floor(store *register.Store, service string, published int) (int, bool) {
	r, ok := store.Get(Key(KindFloor, service))
	if !ok {
		return 0, false
	}
	d, err := Parse(r)
	if err != nil || d.Base != strconv.Itoa(published) {
		return 0, false
	}
	floor, err := strconv.Atoi(d.Value)
	return floor, err == nil
}

// All returns the registers of all directives in force, in order of their keys.
func All(store *register.Store) []*peerpb.Register {
	return store.Prefix(keyPrefix)
}
