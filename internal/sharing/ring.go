package sharing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ring is an immutable ring of names, ordered by hash. The position of a member is its rank as a
// fraction of the ring: this spaces members evenly, whereas positions by hash would leave gaps.
type ring struct {
	names  []string
	hashes []uint64 // of names
}

// hashedName is a name with its hash.
type hashedName struct {
	hash uint64
	name string
}

func hashOf(name string) hashedName { return hashedName{xxhash.Sum64String(name), name} }

func (h hashedName) compare(other hashedName) int {
	return cmp.Or(cmp.Compare(h.hash, other.hash), cmp.Compare(h.name, other.name))
}

func newRing(names []string) *ring { return (*ring)(nil).updated(names, nil) }

// updated returns the ring after names have joined and left.
func (r *ring) updated(joined, left []string) *ring {
	added := make([]hashedName, 0, len(joined))
	for _, name := range joined {
		added = append(added, hashOf(name))
	}
	slices.SortFunc(added, hashedName.compare)
	next := &ring{names: make([]string, 0, r.len()+len(added)), hashes: make([]uint64, 0, r.len()+len(added))}
	removed := make(map[string]bool, len(left))
	for _, name := range left {
		removed[name] = true
	}
	for i := range r.len() {
		for len(added) > 0 && added[0].compare(r.at(i)) < 0 {
			next.append(added[0])
			added = added[1:]
		}
		if len(removed) == 0 || !removed[r.names[i]] {
			next.append(r.at(i))
		}
	}
	for _, h := range added {
		next.append(h)
	}
	return next
}

func (r *ring) at(i int) hashedName { return hashedName{r.hashes[i], r.names[i]} }

func (r *ring) append(h hashedName) {
	r.names = append(r.names, h.name)
	r.hashes = append(r.hashes, h.hash)
}

func (r *ring) len() int {
	if r == nil {
		return 0
	}
	return len(r.names)
}

// rank returns the index of a member in the order of the ring.
func (r *ring) rank(name string) (int, bool) {
	if r == nil {
		return 0, false
	}
	target := hashOf(name)
	i, _ := slices.BinarySearch(r.hashes, target.hash)
	for ; i < len(r.hashes) && r.hashes[i] == target.hash; i++ {
		if r.names[i] == name {
			return i, true
		}
	}
	return 0, false
}

// position returns the position of a member, in [0, 1).
func (r *ring) position(name string) (float64, bool) {
	rank, ok := r.rank(name)
	if !ok {
		return 0, false
	}
	return r.positionAt(rank), true
}

func (r *ring) positionAt(rank int) float64 { return float64(rank) / float64(max(len(r.names), 1)) }

// arc returns the members in the arc of the given width that begins at start.
func (r *ring) arc(start, width float64) []string {
	n := r.len()
	if width >= 1 {
		return r.members()
	}
	var found []string
	first := int(start * float64(n))
	for ahead := range n {
		i := (first + ahead) % n
		if inArc(start, width, r.positionAt(i)) {
			found = append(found, r.names[i])
		} else if ahead > 1 { // the first may lie just before start
			break
		}
	}
	return found
}

// inArc reports whether a position lies in the arc of the given width that begins at start.
func inArc(start, width, position float64) bool {
	ahead := position - start
	if ahead < 0 {
		ahead++
	}
	return ahead < width
}

// covering returns the members whose arcs of the given width contain a position, nearest first.
func (r *ring) covering(position, width float64) []string {
	n := r.len()
	if width >= 1 || n == 0 {
		return slices.Clone(r.members())
	}
	var found []string
	nearest := int(position * float64(n))
	for back := range n {
		i := ((nearest+1-back)%n + n) % n // one ahead of nearest, in case of rounding
		if inArc(float64(i)/float64(n), width, position) {
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

// segment divides the ring into count equal parts and returns the members of the part that
// contains name.
func (r *ring) segment(name string, count int) []string {
	rank, ok := r.rank(name)
	if !ok {
		return nil
	}
	n := len(r.names)
	part := rank * count / n
	begin := (part*n + count - 1) / count
	end := ((part+1)*n + count - 1) / count
	return r.names[begin:end]
}
