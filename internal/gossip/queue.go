// Package gossip queues changes that a host passes on in its datagrams, each a bounded number of
// times (infection-style dissemination). Receiving a queued change from other hosts counts towards
// that number, because the change is already known there (Demers et al., "Epidemic algorithms for
// replicated database maintenance", 1987, feedback and counter).
package gossip

import (
	"math"

	"google.golang.org/protobuf/proto"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
)

// MaxDatagramBytes is the maximum encoded size of a datagram. It is below common MTUs, so that
// datagrams are never fragmented.
const MaxDatagramBytes = 1200

// envelopeReserveBytes is reserved for the datagram's own fields.
const envelopeReserveBytes = 120

// itemOverheadBytes is the size of the tag and length of one repeated field.
const itemOverheadBytes = 4

// minItemBytes is the remaining space below which no further change is considered: a membership
// row takes about 60 bytes.
const minItemBytes = 40

// extraTransmits is the constant c of TransmitLimit. A host that receives a change as often as it
// sends it makes two thirds of these transmissions. Changes that miss a host are repaired only by
// the next full-state comparison; with 8, some did miss hosts (TestGossipReachesEveryHost).
const extraTransmits = 12

// receiptsPerTransmit is the number of receipts of a change from other hosts that count as one
// transmission: when all hosts start together, most changes that a host sends are already known.
// With 1, changes missed hosts (2 of 2,400 in fleets of 40).
const receiptsPerTransmit = 2

// syncTransmits is how many times a change learned by a full-state comparison is sent. When 443
// hosts start at once, comparisons make all of them agree within 1.1 s. With the full number of
// transmissions such changes circulated for 5 s longer, at 32 KB/s per host instead of 12
// (simulated). With 5 and fewer comparisons, some hosts missed changes.
const syncTransmits = 7

// item is a queued change: either a member or a register.
type item struct {
	key        string
	size       int
	transmits  int
	receipts   int  // from other hosts, since they last counted as a transmission
	superseded bool // by a newer change with the same key
	member     *peerpb.Member
	register   *peerpb.Register
}

// Queue holds the changes to pass on. It is not safe for concurrent use.
type Queue struct {
	byKey map[string]*item
	// levels are the changes by number of transmissions, each level in the order of arrival there.
	// Superseded changes are removed when they are encountered.
	levels [][]*item
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{byKey: make(map[string]*item)} }

func memberKey(host string) string { return "member/" + host }

// AddMember queues a membership change, which supersedes queued changes of the same host.
func (q *Queue) AddMember(m *peerpb.Member) {
	q.add(&item{key: memberKey(m.Host), size: proto.Size(m), member: m})
}

// AddSyncedMember queues a membership change that this host learned by a full-state comparison.
// It is sent fewer times, because comparisons are a second path to every host. n is the number of
// live hosts.
func (q *Queue) AddSyncedMember(m *peerpb.Member, n int) {
	q.add(&item{key: memberKey(m.Host), size: proto.Size(m), member: m, transmits: max(TransmitLimit(n)-syncTransmits, 0)})
}

// AddRegister queues a register, which supersedes queued values of the same key.
func (q *Queue) AddRegister(r *peerpb.Register) {
	q.add(&item{key: "register/" + r.Key, size: proto.Size(r), register: r})
}

func (q *Queue) add(added *item) {
	if queued, ok := q.byKey[added.key]; ok {
		queued.superseded = true
	}
	q.byKey[added.key] = added
	q.enqueue(added)
}

// enqueue adds a change to the level of its number of transmissions.
func (q *Queue) enqueue(it *item) {
	for len(q.levels) <= it.transmits {
		q.levels = append(q.levels, nil)
	}
	q.levels[it.transmits] = append(q.levels[it.transmits], it)
}

// MemberReceived records that another host has sent the queued state of a member.
func (q *Queue) MemberReceived(host string) {
	queued, ok := q.byKey[memberKey(host)]
	if !ok {
		return
	}
	queued.receipts++
	if queued.receipts < receiptsPerTransmit {
		return
	}
	next := *queued
	next.receipts = 0
	next.transmits++
	queued.superseded = true
	q.byKey[next.key] = &next
	q.enqueue(&next)
}

// Len returns the number of queued changes.
func (q *Queue) Len() int { return len(q.byKey) }

// TransmitLimit returns how many times each host sends a change in a fleet of n hosts. If each host
// sends it to ln(n)+c random others, e^-c hosts are expected to miss it.
func TransmitLimit(n int) int {
	return int(math.Ceil(math.Log(float64(n+1)))) + extraTransmits
}

// Fill adds those of the least-sent changes that fit to a datagram. n is the number of live hosts.
func (q *Queue) Fill(d *peerpb.Datagram, n int) {
	if len(q.byKey) == 0 {
		return
	}
	left := MaxDatagramBytes - envelopeReserveBytes - proto.Size(d)
	limit := TransmitLimit(n)
	var sent []*item
	for level := range q.levels {
		if level >= limit {
			q.dropLevel(level)
		} else if left >= minItemBytes {
			sent = append(sent, q.fillFromLevel(level, d, &left)...)
		}
	}
	for _, it := range sent {
		it.transmits++
		if it.transmits >= limit {
			delete(q.byKey, it.key)
		} else {
			q.enqueue(it)
		}
	}
}

// fillFromLevel moves changes of a level to a datagram while there is space.
func (q *Queue) fillFromLevel(level int, d *peerpb.Datagram, left *int) (sent []*item) {
	items := q.levels[level]
	kept := items[:0]
	for i, it := range items {
		if *left < minItemBytes {
			kept = append(kept, items[i:]...)
			break
		}
		need := it.size + itemOverheadBytes
		switch {
		case it.superseded:
		case need > *left:
			kept = append(kept, it)
		default:
			*left -= need
			it.appendTo(d)
			sent = append(sent, it)
		}
	}
	clear(items[len(kept):])
	q.levels[level] = kept
	return sent
}

// dropLevel discards the changes of a level.
func (q *Queue) dropLevel(level int) {
	for _, it := range q.levels[level] {
		if !it.superseded {
			delete(q.byKey, it.key)
		}
	}
	q.levels[level] = nil
}

func (it *item) appendTo(d *peerpb.Datagram) {
	if it.member != nil {
		d.Members = append(d.Members, it.member)
		return
	}
	d.Registers = append(d.Registers, it.register)
}
