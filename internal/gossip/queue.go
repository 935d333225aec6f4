// Package gossip queues changes that a host passes on in its datagrams, each a
// bounded number of times (infection-style dissemination). A change that other hosts
// tell this one counts as passed on: it is known already (Demers et al., "Epidemic
// algorithms for replicated database maintenance", 1987, feedback and counter).
package gossip

import (
	"math"

	"google.golang.org/protobuf/proto"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
)

// MaxDatagramBytes bounds the encoded size, below common MTUs so that a
// datagram is never fragmented.
const MaxDatagramBytes = 1200

// envelopeBytes is kept free for the datagram's own fields.
const envelopeBytes = 120

// itemOverheadBytes is the tag and length of one repeated field.
const itemOverheadBytes = 4

// leastItemBytes is the room below which no further change is looked for: a membership
// row takes some 60 bytes.
const leastItemBytes = 40

// extraTransmits is c. A host that hears a change from as many as it tells sends it
// two in three of these times. What misses a host waits for the full comparison; at 8
// changes did (TestGossipReachesEveryHost).
const extraTransmits = 12

// heardPerTransmit is how often a change is heard from others until it counts as sent
// once more: where all hosts start at once, most of what one tells is known to all. At 1,
// changes missed hosts (2 of 2,400 in fleets of 40).
const heardPerTransmit = 2

// comparedTransmits is how often a change is sent that came by a full comparison. After a
// start of 443 hosts at once all of them agree by comparisons within 1.1 s; told as
// often as others, the changes went round for 5 s more, at 32 KB a host and second instead
// of 12 (simulated). At 5 and with fewer comparisons some hosts missed some.
const comparedTransmits = 7

type item struct {
	key      string
	size     int
	sent     int
	heard    int  // from others, since it was last counted as sent
	replaced bool // by a newer one of the same key
	member   *peerpb.Member
	register *peerpb.Register
}

// Queue is not safe for concurrent use.
type Queue struct {
	byKey map[string]*item
	// levels are the changes by how often they were sent, in the order in which they
	// came to that level; those replaced are dropped when they are met.
	levels [][]*item
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{byKey: make(map[string]*item)} }

func memberKey(host string) string { return "member/" + host }

// AddMember queues a membership change in place of older ones of that host.
func (q *Queue) AddMember(m *peerpb.Member) {
	q.add(&item{key: memberKey(m.Host), size: proto.Size(m), member: m})
}

// AddComparedMember queues a membership change that this host has by comparing its whole
// state with another: that is a second way to each host, so that it is sent fewer times.
// n is the number of live hosts.
func (q *Queue) AddComparedMember(m *peerpb.Member, n int) {
	q.add(&item{key: memberKey(m.Host), size: proto.Size(m), member: m, sent: max(Limit(n)-comparedTransmits, 0)})
}

// AddRegister queues a register in place of older values.
func (q *Queue) AddRegister(r *peerpb.Register) {
	q.add(&item{key: "register/" + r.Key, size: proto.Size(r), register: r})
}

func (q *Queue) add(added *item) {
	if held, ok := q.byKey[added.key]; ok {
		held.replaced = true
	}
	q.byKey[added.key] = added
	q.put(added)
}

// put adds a change to the level of how often it was sent.
func (q *Queue) put(it *item) {
	for len(q.levels) <= it.sent {
		q.levels = append(q.levels, nil)
	}
	q.levels[it.sent] = append(q.levels[it.sent], it)
}

// MemberKnown notes that another host has told this one of a member's state that is
// queued.
func (q *Queue) MemberKnown(host string) {
	held, ok := q.byKey[memberKey(host)]
	if !ok {
		return
	}
	held.heard++
	if held.heard < heardPerTransmit {
		return
	}
	next := *held
	next.heard = 0
	next.sent++
	held.replaced = true
	q.byKey[next.key] = &next
	q.put(&next)
}

// Len returns the number of queued changes.
func (q *Queue) Len() int { return len(q.byKey) }

// Limit returns how often each host sends a change in a fleet of n hosts. If
// each sends it to ln(n)+c random others, e^-c hosts are expected to miss it.
func Limit(n int) int {
	return int(math.Ceil(math.Log(float64(n+1)))) + extraTransmits
}

// Fill adds the least-sent changes that fit to a datagram. n is the number of
// live hosts.
func (q *Queue) Fill(d *peerpb.Datagram, n int) {
	if len(q.byKey) == 0 {
		return
	}
	left := MaxDatagramBytes - envelopeBytes - proto.Size(d)
	limit := Limit(n)
	var sent []*item
	for level := range q.levels {
		if level >= limit {
			q.drop(level)
		} else if left >= leastItemBytes {
			sent = append(sent, q.fillFrom(level, d, &left)...)
		}
	}
	for _, it := range sent {
		it.sent++
		if it.sent >= limit {
			delete(q.byKey, it.key)
		} else {
			q.put(it)
		}
	}
}

// fillFrom moves changes of a level to a datagram while there is room.
func (q *Queue) fillFrom(level int, d *peerpb.Datagram, left *int) (sent []*item) {
	items := q.levels[level]
	kept := items[:0]
	for i, it := range items {
		if *left < leastItemBytes {
			kept = append(kept, items[i:]...)
			break
		}
		need := it.size + itemOverheadBytes
		switch {
		case it.replaced:
		case need > *left:
			kept = append(kept, it)
		default:
			*left -= need
			it.attach(d)
			sent = append(sent, it)
		}
	}
	clear(items[len(kept):])
	q.levels[level] = kept
	return sent
}

// drop forgets the changes of a level.
func (q *Queue) drop(level int) {
	for _, it := range q.levels[level] {
		if !it.replaced {
			delete(q.byKey, it.key)
		}
	}
	q.levels[level] = nil
}

func (it *item) attach(d *peerpb.Datagram) {
	if it.member != nil {
		d.Members = append(d.Members, it.member)
		return
	}
	d.Registers = append(d.Registers, it.register)
}
