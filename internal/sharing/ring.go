package sharing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ring holds names in the order of their hash. A member's place is its rank as a part
// of the ring, so that members are spread evenly: the places of hashes themselves would
// leave gaps. A ring does not change.
type ring struct {
	names  []string
	hashes []uint64 // of names
}

// hashed is a name with its hash.
type hashed struct {
	hash uint64
	name string
}

func hashOf(name string) hashed { return hashed{xxhash.Sum64String(name), name} }

func (h hashed) compare(other hashed) int {
	return cmp.Or(cmp.Compare(h.hash, other.hash), cmp.Compare(h.name, other.name))
}

func newRing(names []string) *ring { return (*ring)(nil).with(names, nil) }

// with returns the ring after some names have joined and left.
func (r *ring) with(joined, left []string) *ring {
	added := make([]hashed, 0, len(joined))
	for _, name := range joined {
		added = append(added, hashOf(name))
	}
	slices.SortFunc(added, hashed.compare)
	next := &ring{names: make([]string, 0, r.len()+len(added)), hashes: make([]uint64, 0, r.len()+len(added))}
	gone := make(map[string]bool, len(left))
	for _, name := range left {
		gone[name] = true
	}
	for i := range r.len() {
		for len(added) > 0 && added[0].compare(r.at(i)) < 0 {
			next.append(added[0])
			added = added[1:]
		}
		if len(gone) == 0 || !gone[r.names[i]] {
			next.append(r.at(i))
		}
	}
	for _, h := range added {
		next.append(h)
	}
	return next
}

func (r *ring) at(i int) hashed { return hashed{r.hashes[i], r.names[i]} }

func (r *ring) append(h hashed) {
	r.names = append(r.names, h.name)
	r.hashes = append(r.hashes, h.hash)
}

func (r *ring) len() int {
	if r == nil {
		return 0
	}
	return len(r.names)
}

// rank is a member's position in the order.
func (r *ring) rank(name string) (int, bool) {
	if r == nil {
		return 0, false
	}
	sought := hashOf(name)
	i, _ := slices.BinarySearch(r.hashes, sought.hash)
	for ; i < len(r.hashes) && r.hashes[i] == sought.hash; i++ {
		if r.names[i] == name {
			return i, true
		}
	}
	return 0, false
}

// place is where a member stands, from 0 up to 1.
func (r *ring) place(name string) (float64, bool) {
	rank, ok := r.rank(name)
	if !ok {
		return 0, false
	}
	return r.placeAt(rank), true
}

func (r *ring) placeAt(rank int) float64 { return float64(rank) / float64(max(len(r.names), 1)) }

// arc returns the members in the arc of a width that begins at start.
func (r *ring) arc(start, width float64) []string {
	n := r.len()
	if width >= 1 {
		return r.members()
	}
	var found []string
	first := int(start * float64(n))
	for ahead := range n {
		i := (first + ahead) % n
		if inArc(start, width, r.placeAt(i)) {
			found = append(found, r.names[i])
		} else if ahead > 1 { // the first may lie just before start
			break
		}
	}
	return found
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
