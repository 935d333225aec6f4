// Package gossip queues changes that a host passes on in its datagrams, each a
// bounded number of times (infection-style dissemination).
package gossip

import (
	"cmp"
	"math"
	"slices"

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

// extraTransmits is c: one change in some 3,000 misses a host, and waits for
// the full comparison.
const extraTransmits = 8

type item struct {
	key      string
	size     int
	sent     int
	member   *peerpb.Member
	register *peerpb.Register
}

// Queue is not safe for concurrent use.
type Queue struct {
	items []*item
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{} }

// AddMember queues a membership change in place of older ones of that host.
func (q *Queue) AddMember(m *peerpb.Member) {
	q.add(&item{key: "member/" + m.Host, size: proto.Size(m), member: m})
}

// AddRegister queues a register in place of older values.
func (q *Queue) AddRegister(r *peerpb.Register) {
	q.add(&item{key: "register/" + r.Key, size: proto.Size(r), register: r})
}

func (q *Queue) add(added *item) {
	q.items = slices.DeleteFunc(q.items, func(held *item) bool { return held.key == added.key })
	q.items = append(q.items, added)
}

// Len returns the number of queued changes.
func (q *Queue) Len() int { return len(q.items) }

// Limit returns how often each host sends a change in a fleet of n hosts. If
// each sends it to ln(n)+c random others, e^-c hosts are expected to miss it.
func Limit(n int) int {
	return int(math.Ceil(math.Log(float64(n+1)))) + extraTransmits
}

// Fill adds the least-sent changes that fit to a datagram. n is the number of
// live hosts.
func (q *Queue) Fill(d *peerpb.Datagram, n int) {
	if len(q.items) == 0 {
		return
	}
	slices.SortStableFunc(q.items, func(a, b *item) int { return cmp.Compare(a.sent, b.sent) })
	left := MaxDatagramBytes - envelopeBytes - proto.Size(d)
	for _, it := range q.items {
		need := it.size + itemOverheadBytes
		if need > left {
			continue
		}
		left -= need
		it.sent++
		it.attach(d)
	}
	limit := Limit(n)
	q.items = slices.DeleteFunc(q.items, func(it *item) bool { return it.sent >= limit })
}

func (it *item) attach(d *peerpb.Datagram) {
	if it.member != nil {
		d.Members = append(d.Members, it.member)
		return
	}
	d.Registers = append(d.Registers, it.register)
}
