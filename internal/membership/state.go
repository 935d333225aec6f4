package membership

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/gossip"
)

// Packet is a datagram to send.
type Packet struct {
	To       string // IP:port
	Datagram *peerpb.Datagram
}

// Delegate hears of changes of the list.
type Delegate interface {
	// MemberChanged is called after a row changed; was is nil for a new row.
	MemberChanged(now time.Time, m, was *peerpb.Member)
	// Refuted is called when this host answered a false report of itself.
	Refuted(now time.Time)
}

// List is not safe for concurrent use.
type List struct {
	conf     Config
	delegate Delegate
	queue    *gossip.Queue
	rng      *rand.Rand

	self      *peerpb.Member
	rows      rows
	awareness awareness

	started     time.Time
	youngDone   int // of youngSyncs
	sequence    uint64
	probe       *probe
	probeOrder  []string
	relays      map[uint64]relay
	lastTick    time.Time
	nextProbe   time.Time
	nextGossip  time.Time
	nextSync    time.Time
	nextConnect time.Time
	lastHeard   time.Time
}

// New returns a list that holds this host only. The incarnation is taken from
// the start time, so that a replaced host overrides its predecessor's rows.
func New(conf Config, delegate Delegate, queue *gossip.Queue, now time.Time) *List {
	conf.SetDefaults()
	l := &List{
		conf:      conf,
		delegate:  delegate,
		queue:     queue,
		rng:       rand.New(rand.NewPCG(conf.Seed, uint64(len(conf.Host)))),
		rows:      newRows(conf.DataCentre),
		relays:    make(map[uint64]relay),
		awareness: awareness{max: conf.AwarenessMax},
		started:   now,
		lastTick:  now,
		lastHeard: now,
	}
	l.self = &peerpb.Member{
		Host:        conf.Host,
		Address:     conf.Address,
		DataCentre:  conf.DataCentre,
		Incarnation: uint64(now.UnixMilli()),
		Capacity:    conf.Capacity,
	}
	l.rows.set(&row{}, l.self, now, time.Time{})
	l.queue.AddMember(l.self)
	return l
}

// Members returns a row per known host, by name. Neither the list nor rows must be
// changed.
func (l *List) Members() []*peerpb.Member { return l.rows.sorted(l.conf.Host).all }

// Digest identifies the state of all rows: equal states have equal digests.
func (l *List) Digest() uint64 { return l.rows.digest }

// Member returns one row or nil.
func (l *List) Member(host string) *peerpb.Member {
	r, ok := l.rows.byHost[host]
	if !ok {
		return nil
	}
	return r.member
}

// Live returns the number of hosts that are alive or suspect.
func (l *List) Live() int { return l.rows.live }

// LastHeard is when another host last sent or answered something.
func (l *List) LastHeard() time.Time { return l.lastHeard }

// Heard notes that another host answered a synchronous call.
func (l *List) Heard(now time.Time) { l.lastHeard = now }

func isLive(m *peerpb.Member) bool {
	return m.Liveness == peerpb.Liveness_LIVENESS_ALIVE || m.Liveness == peerpb.Liveness_LIVENESS_SUSPECT
}

// SetLeaving announces the start of a planned stop.
func (l *List) SetLeaving(now time.Time) {
	l.updateSelf(now, func(m *peerpb.Member) { m.Leaving = true })
}

// Leave announces the end of a planned stop.
func (l *List) Leave(now time.Time) {
	l.updateSelf(now, func(m *peerpb.Member) { m.Liveness = peerpb.Liveness_LIVENESS_LEFT })
}

func (l *List) updateSelf(now time.Time, change func(*peerpb.Member)) {
	next := proto.CloneOf(l.self)
	next.Incarnation++
	change(next)
	l.self = next
	l.replace(now, l.rows.byHost[l.conf.Host], next, l.queue.AddMember)
}

// replace gives a row, which may be new, its member and passes it on with pass.
func (l *List) replace(now time.Time, r *row, m *peerpb.Member, pass func(*peerpb.Member)) {
	was := r.member
	l.rows.set(r, m, now, l.suspectBy(now, m))
	pass(m)
	l.delegate.MemberChanged(now, m, was)
}

// Merge takes the rows of another host with which this one compares its state.
func (l *List) Merge(now time.Time, members []*peerpb.Member) {
	for _, m := range members {
		l.mergeOne(now, m, func(m *peerpb.Member) { l.queue.AddComparedMember(m, l.Live()) })
	}
}

// told takes rows from a datagram.
func (l *List) told(now time.Time, members []*peerpb.Member) {
	for _, m := range members {
		l.mergeOne(now, m, l.queue.AddMember)
	}
}

// mergeOne takes a row, and passes it on with pass if it is news.
func (l *List) mergeOne(now time.Time, m *peerpb.Member, pass func(*peerpb.Member)) {
	if m.Host == "" || m.Address == "" {
		return
	}
	if m.Host == l.conf.Host {
		l.refute(now, m)
		return
	}
	held, ok := l.rows.byHost[m.Host]
	switch {
	case !ok && !isLive(m):
	case !ok:
		l.replace(now, &row{}, m, pass)
	case overrides(m, held.member):
		l.replace(now, held, m, pass)
	case sameState(m, held.member):
		l.queue.MemberKnown(m.Host)
	}
}

// overrides is SWIM's order: a higher incarnation wins; within one
// incarnation the worse state wins.
func overrides(m, held *peerpb.Member) bool {
	if m.Incarnation != held.Incarnation {
		return m.Incarnation > held.Incarnation
	}
	return m.Liveness > held.Liveness
}

func sameState(a, b *peerpb.Member) bool {
	return a.Incarnation == b.Incarnation && a.Liveness == b.Liveness && a.Leaving == b.Leaving
}

// refute answers a report that this host is not alive.
func (l *List) refute(now time.Time, m *peerpb.Member) {
	if m.Incarnation < l.self.Incarnation || l.self.Liveness == peerpb.Liveness_LIVENESS_LEFT {
		return
	}
	same := m.Liveness == l.self.Liveness && m.Incarnation == l.self.Incarnation
	if same {
		return
	}
	l.awareness.add(1)
	next := proto.CloneOf(l.self)
	next.Incarnation = m.Incarnation + 1
	l.self = next
	l.rows.set(l.rows.byHost[l.conf.Host], next, now, time.Time{})
	l.queue.AddMember(next)
	l.delegate.Refuted(now)
}

// mark gives a row a new liveness at its present incarnation.
func (l *List) mark(now time.Time, r *row, liveness peerpb.Liveness) {
	next := proto.CloneOf(r.member)
	next.Liveness = liveness
	l.replace(now, r, next, l.queue.AddMember)
}
