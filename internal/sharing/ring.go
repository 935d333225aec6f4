package sharing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ring holds names in the order of their hash. A member's place is its rank as a part
// of the ring, so that members are spread evenly: the places of hashes themselves would
// leave gaps.
type ring struct {
	names []string
	rank  map[string]int
}

func newRing(names []string) *ring {
	type hashed struct {
		hash uint64
		name string
	}
	order := make([]hashed, 0, len(names))
	for _, name := range names {
		order = append(order, hashed{xxhash.Sum64String(name), name})
	}
	slices.SortFunc(order, func(a, b hashed) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
	})
	r := &ring{names: make([]string, 0, len(names)), rank: make(map[string]int, len(names))}
	for i, member := range order {
		r.names = append(r.names, member.name)
		r.rank[member.name] = i
	}
	return r
}

func (r *ring) len() int {
	if r == nil {
		return 0
	}
	return len(r.names)
}

// place is where a member stands, from 0 up to 1.
func (r *ring) place(name string) (float64, bool) {
	if r == nil {
		return 0, false
	}
	rank, ok := r.rank[name]
	return float64(rank) / float64(max(len(r.names), 1)), ok
}

// inArc reports whether a place lies in the arc of a width that begins at start.
func inArc(start, width, place float64) bool {
	ahead := place - start
	if ahead < 0 {
		ahead++
	}
	return ahead < width
}

// behind returns the members whose arcs of a width hold a place, nearest first.
func (r *ring) behind(place, width float64) []string {
	n := r.len()
	if width >= 1 || n == 0 {
		return slices.Clone(r.members())
	}
	var found []string
	nearest := int(place * float64(n))
	for back := range n {
		i := ((nearest+1-back)%n + n) % n // one ahead of nearest, in case of rounding
		if inArc(float64(i)/float64(n), width, place) {
			found = append(found, r.names[i])
		} else if back > 1 {
			break
		}
	}
	return found
}

func (r *ring) members() []string {
	if r == nil {
		return nil
	}
	return r.names
}

// segment returns the members of the same one of count equal parts of the ring.
func (r *ring) segment(name string, count int) []string {
	rank, ok := r.rank[name]
	if !ok {
		return nil
	}
	n := len(r.names)
	part := rank * count / n
	begin := (part*n + count - 1) / count
	end := ((part+1)*n + count - 1) / count
	return r.names[begin:end]
}
