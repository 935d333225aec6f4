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

// Delegate is notified of changes to the list.
type Delegate interface {
	// MemberChanged is called after a row changed; previous is nil for a new row.
	MemberChanged(now time.Time, m, previous *peerpb.Member)
	// Refuted is called when this host has refuted a false report about itself.
	Refuted(now time.Time)
}

// List is the membership list of one host, with one row per known host. It is not safe for
// concurrent use.
type List struct {
	conf     Config
	delegate Delegate
	queue    *gossip.Queue
	rng      *rand.Rand

	self      *peerpb.Member
	table     memberTable
	awareness awareness

	started        time.Time
	bootstrapSyncs int       // number of bootstrapSyncAges passed
	localSince     time.Time // when this host first knew of another one of its data centre
	localSyncs     int       // number of localSyncAges passed
	sequence       uint64
	probe          *probe
	probeOrder     []string
	relays         map[uint64]relay
	lastTick       time.Time
	nextProbe      time.Time
	nextGossip     time.Time
	nextSync       time.Time
	nextReconnect  time.Time
}

// New returns a list that contains only this host. The incarnation is derived from the start
// time, so that a replaced host overrides its predecessor's rows.
func New(conf Config, delegate Delegate, queue *gossip.Queue, now time.Time) *List {
	conf.SetDefaults()
	l := &List{
		conf:      conf,
		delegate:  delegate,
		queue:     queue,
		rng:       rand.New(rand.NewPCG(conf.Seed, uint64(len(conf.Host)))),
		table:     newMemberTable(conf.DataCentre),
		relays:    make(map[uint64]relay),
		awareness: awareness{max: conf.AwarenessMax},
		started:   now,
		lastTick:  now,
	}
	l.self = &peerpb.Member{
		Host:        conf.Host,
		Address:     conf.Address,
		DataCentre:  conf.DataCentre,
		Incarnation: uint64(now.UnixMilli()),
		Capacity:    conf.Capacity,
		Path:        conf.Path,
		RelaysLoads: conf.RelaysLoads,
	}
	l.table.set(&row{}, l.self, now, time.Time{})
	l.queue.AddMember(l.self)
	return l
}

// Members returns the rows of all known hosts, ordered by name. Callers must not modify the slice
// or the rows.
func (l *List) Members() []*peerpb.Member { return l.table.currentView(l.conf.Host).all }

// Digest returns a digest of all rows: equal states have equal digests.
func (l *List) Digest() uint64 { return l.table.digest }

// Member returns the row of a host, or nil if it is unknown.
func (l *List) Member(host string) *peerpb.Member {
	r, ok := l.table.byHost[host]
	if !ok {
		return nil
	}
	return r.member
}

// LiveCount returns the number of hosts that are alive or suspect.
func (l *List) LiveCount() int { return l.table.live }

func isLive(m *peerpb.Member) bool {
	return m.Liveness == peerpb.Liveness_LIVENESS_ALIVE || m.Liveness == peerpb.Liveness_LIVENESS_SUSPECT
}

// SetLeaving announces the start of a planned stop.
func (l *List) SetLeaving(now time.Time) {
	l.updateSelf(now, func(m *peerpb.Member) { m.Leaving = true })
}

// SetPath announces whether this host reaches backend servers.
func (l *List) SetPath(now time.Time, path peerpb.PathState) {
	if l.self.Path != path {
		l.updateSelf(now, func(m *peerpb.Member) { m.Path = path })
	}
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
	l.replace(now, l.table.byHost[l.conf.Host], next, l.queue.AddMember)
}

// replace stores the member of a row, which may be new, and queues the change with enqueue.
func (l *List) replace(now time.Time, r *row, m *peerpb.Member, enqueue func(*peerpb.Member)) {
	previous := r.member
	l.table.set(r, m, now, l.suspicionDeadline(now, m))
	enqueue(m)
	l.delegate.MemberChanged(now, m, previous)
}

// Merge merges the rows received in a full-state comparison with another host.
func (l *List) Merge(now time.Time, members []*peerpb.Member) {
	for _, m := range members {
		l.mergeMember(now, m, func(m *peerpb.Member) { l.queue.AddSyncedMember(m, l.LiveCount()) })
	}
}

// mergeGossip merges the rows of a datagram.
func (l *List) mergeGossip(now time.Time, members []*peerpb.Member) {
	for _, m := range members {
		l.mergeMember(now, m, l.queue.AddMember)
	}
}

// mergeMember merges a row, and queues it with enqueue if it changes the list.
func (l *List) mergeMember(now time.Time, m *peerpb.Member, enqueue func(*peerpb.Member)) {
	if m.Host == "" || m.Address == "" {
		return
	}
	if m.Host == l.conf.Host {
		l.refute(now, m)
		return
	}
	current, ok := l.table.byHost[m.Host]
	switch {
	case !ok && !isLive(m):
	case !ok:
		l.replace(now, &row{}, m, enqueue)
	case overrides(m, current.member):
		l.replace(now, current, m, enqueue)
	case sameState(m, current.member):
		l.queue.MemberReceived(m.Host)
	}
}

// overrides implements the order of SWIM: a higher incarnation wins, and within one incarnation
// the worse liveness.
func overrides(m, current *peerpb.Member) bool {
	if m.Incarnation != current.Incarnation {
		return m.Incarnation > current.Incarnation
	}
	return m.Liveness > current.Liveness
}

func sameState(a, b *peerpb.Member) bool {
	return a.Incarnation == b.Incarnation && a.Liveness == b.Liveness && a.Leaving == b.Leaving
}

// refute answers a report about this host that contradicts its own state, with a higher incarnation.
func (l *List) refute(now time.Time, m *peerpb.Member) {
	if m.Incarnation < l.self.Incarnation || l.self.Liveness == peerpb.Liveness_LIVENESS_LEFT {
		return
	}
	unchanged := m.Liveness == l.self.Liveness && m.Incarnation == l.self.Incarnation
	if unchanged {
		return
	}
	l.awareness.applyDelta(1)
	next := proto.CloneOf(l.self)
	next.Incarnation = m.Incarnation + 1
	l.self = next
	l.table.set(l.table.byHost[l.conf.Host], next, now, time.Time{})
	l.queue.AddMember(next)
	l.delegate.Refuted(now)
}

// setLiveness changes the liveness of a row at its current incarnation.
func (l *List) setLiveness(now time.Time, r *row, liveness peerpb.Liveness) {
	next := proto.CloneOf(r.member)
	next.Liveness = liveness
	l.replace(now, r, next, l.queue.AddMember)
}
