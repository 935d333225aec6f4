package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/gossip"
)

// probe is the outstanding probe of a member. There is at most one.
type probe struct {
	target       string
	sequence     uint64
	indirectAt   time.Time // when indirect probes are requested
	deadline     time.Time // when the member becomes suspect
	indirectSent bool
}

// relay is a probe made on behalf of another host.
type relay struct {
	origin   string
	sequence uint64
	expires  time.Time
}

// Tick advances all timers and returns the datagrams to send.
func (l *List) Tick(now time.Time) []Packet {
	if gap := now.Sub(l.lastTick); gap > pauseProbeIntervals*l.conf.ProbeInterval {
		l.extendDeadlines(gap)
	}
	l.lastTick = now
	l.expireSuspicions(now)
	var out []Packet
	out = l.runProbe(now, out)
	out = l.runGossip(now, out)
	return out
}

// Idle reports whether the next tick has nothing pending: no probe is unanswered, no member is
// suspected and no change is queued.
func (l *List) Idle() bool {
	return l.probe == nil && len(l.table.suspects) == 0 && l.queue.Len() == 0 && l.bootstrapDone()
}

func (l *List) runProbe(now time.Time, out []Packet) []Packet {
	if l.probe != nil {
		out = l.checkProbe(now, out)
	}
	if l.probe != nil || now.Before(l.nextProbe) {
		return out
	}
	l.nextProbe = now.Add(l.conf.ProbeInterval)
	l.reap(now)
	l.expireRelays(now)
	target := l.nextProbeTarget()
	if target == nil {
		return out
	}
	l.sequence++
	l.probe = &probe{
		target:     target.Host,
		sequence:   l.sequence,
		indirectAt: now.Add(l.awareness.scaleTimeout(l.conf.ProbeTimeout)),
		deadline:   now.Add(l.awareness.scaleTimeout(l.conf.ProbeInterval)),
	}
	ping := &peerpb.Datagram{Kind: peerpb.Datagram_KIND_PING, Sequence: l.sequence}
	if target.Liveness == peerpb.Liveness_LIVENESS_SUSPECT {
		ping.Members = append(ping.Members, target) // lets the target refute immediately
	}
	return append(out, l.packet(target.Address, ping))
}

func (l *List) checkProbe(now time.Time, out []Packet) []Packet {
	p := l.probe
	target, ok := l.table.byHost[p.target]
	if !ok {
		l.probe = nil
		return out
	}
	if !p.indirectSent && !now.Before(p.indirectAt) {
		p.indirectSent = true
		out = l.sendPingRequests(p, out)
	}
	if now.Before(p.deadline) {
		return out
	}
	l.probe = nil
	l.awareness.applyDelta(1)
	if target.member.Liveness == peerpb.Liveness_LIVENESS_ALIVE {
		l.setLiveness(now, target, peerpb.Liveness_LIVENESS_SUSPECT)
	}
	return out
}

func (l *List) sendPingRequests(p *probe, out []Packet) []Packet {
	for _, m := range l.randomLive(l.conf.IndirectChecks, p.target) {
		request := &peerpb.Datagram{Kind: peerpb.Datagram_KIND_PING_REQUEST, Sequence: p.sequence, Target: p.target}
		out = append(out, l.packet(m.Address, request))
	}
	return out
}

// nextProbeTarget returns the next live member of a round through all members in random order.
func (l *List) nextProbeTarget() *peerpb.Member {
	for range 2 {
		for len(l.probeOrder) > 0 {
			host := l.probeOrder[len(l.probeOrder)-1]
			l.probeOrder = l.probeOrder[:len(l.probeOrder)-1]
			if r, ok := l.table.byHost[host]; ok && isLive(r.member) && host != l.conf.Host {
				return r.member
			}
		}
		for _, m := range l.Members() {
			l.probeOrder = append(l.probeOrder, m.Host)
		}
		l.rng.Shuffle(len(l.probeOrder), func(i, j int) {
			l.probeOrder[i], l.probeOrder[j] = l.probeOrder[j], l.probeOrder[i]
		})
	}
	return nil
}

func (l *List) runGossip(now time.Time, out []Packet) []Packet {
	if l.queue.Len() == 0 || now.Before(l.nextGossip) {
		return out
	}
	l.nextGossip = now.Add(l.conf.GossipInterval)
	for _, m := range l.gossipTargets() {
		out = append(out, l.packet(m.Address, &peerpb.Datagram{Kind: peerpb.Datagram_KIND_GOSSIP}))
	}
	return out
}

// gossipTargets picks random live members. Members of other data centres are picked rarely:
// traffic between data centres is expensive, and a single recipient passes the changes on there.
func (l *List) gossipTargets() []*peerpb.Member {
	view := l.table.currentView(l.conf.Host)
	targets := make([]*peerpb.Member, 0, l.conf.GossipFanout)
	for range l.conf.GossipFanout {
		candidates := view.local
		if len(candidates) == 0 || len(view.remote) > 0 && l.rng.Float64() < l.remoteShare(view) {
			candidates = view.remote
		}
		if len(candidates) == 0 {
			break
		}
		m := candidates[l.rng.IntN(len(candidates))]
		if !slices.Contains(targets, m) {
			targets = append(targets, m)
		}
	}
	return targets
}

// remoteShare is the fraction of gossip datagrams that go to other data centres. It is such that
// the hosts of this data centre together send each change remoteTransmits times to each other
// one, and at most the fraction that a uniform choice among all hosts would give.
func (l *List) remoteShare(view *view) float64 {
	local, remote := float64(len(view.local)+1), float64(len(view.remote))
	transmits := float64(gossip.TransmitLimit(l.LiveCount())) * local
	return min(remoteTransmits*remote/local/transmits, remote/(local+remote))
}

// randomLive picks up to n random live members other than this host and except.
func (l *List) randomLive(n int, except string) []*peerpb.Member {
	others := l.table.currentView(l.conf.Host).others
	var chosen []*peerpb.Member
	for _, i := range l.rng.Perm(len(others)) {
		if len(chosen) == n {
			break
		}
		if others[i].Host != except {
			chosen = append(chosen, others[i])
		}
	}
	return chosen
}

// packet completes a datagram with the sender and with queued changes.
func (l *List) packet(to string, d *peerpb.Datagram) Packet {
	d.From = l.conf.Host
	l.queue.Fill(d, l.LiveCount())
	return Packet{To: to, Datagram: d}
}

// Receive processes a datagram from an address and returns the replies. Registers and evidence
// in the datagram are left to the caller.
func (l *List) Receive(now time.Time, address string, d *peerpb.Datagram) []Packet {
	l.mergeGossip(now, d.Members)
	switch d.Kind {
	case peerpb.Datagram_KIND_PING:
		return []Packet{l.newAck(address, d)}
	case peerpb.Datagram_KIND_PING_REQUEST:
		return l.relayProbe(now, address, d)
	case peerpb.Datagram_KIND_ACK:
		return l.handleAck(now, d)
	}
	return nil
}

// newAck returns the acknowledgement of a ping. It includes the sender's own row if this host
// does not consider the sender alive, so that the sender can refute.
func (l *List) newAck(address string, d *peerpb.Datagram) Packet {
	reply := &peerpb.Datagram{Kind: peerpb.Datagram_KIND_ACK, Sequence: d.Sequence}
	if r, ok := l.table.byHost[d.From]; ok && r.member.Liveness != peerpb.Liveness_LIVENESS_ALIVE {
		reply.Members = append(reply.Members, r.member)
	}
	return l.packet(address, reply)
}

// relayProbe probes a member on behalf of the host that requested it.
func (l *List) relayProbe(now time.Time, address string, d *peerpb.Datagram) []Packet {
	target, ok := l.table.byHost[d.Target]
	if !ok {
		return nil
	}
	l.sequence++
	l.relays[l.sequence] = relay{
		origin:   address,
		sequence: d.Sequence,
		expires:  now.Add(relayTTLProbeIntervals * l.conf.ProbeInterval),
	}
	ping := &peerpb.Datagram{Kind: peerpb.Datagram_KIND_PING, Sequence: l.sequence}
	return []Packet{l.packet(target.member.Address, ping)}
}

// handleAck forwards the acknowledgement of a relayed probe, or completes the outstanding probe.
func (l *List) handleAck(now time.Time, d *peerpb.Datagram) []Packet {
	if r, ok := l.relays[d.Sequence]; ok {
		delete(l.relays, d.Sequence)
		return []Packet{l.packet(r.origin, &peerpb.Datagram{Kind: peerpb.Datagram_KIND_ACK, Sequence: r.sequence})}
	}
	if l.probe == nil || d.Sequence != l.probe.sequence {
		return nil
	}
	l.awareness.applyDelta(-1)
	l.probe = nil
	return nil
}

// expireRelays removes relays whose acknowledgement is overdue.
func (l *List) expireRelays(now time.Time) {
	for sequence, r := range l.relays {
		if now.After(r.expires) {
			delete(l.relays, sequence)
		}
	}
}

// SyncTargets returns the addresses with which to compare the full state now: one live member per
// SyncInterval, and one unreachable address per ReconnectInterval. known are the addresses given by
// the platform and the settings. A new host has further targets, see bootstrapSyncTargets.
func (l *List) SyncTargets(now time.Time, known []string) []string {
	targets := l.bootstrapSyncTargets(now, known)
	if !now.Before(l.nextSync) {
		l.nextSync = now.Add(l.conf.SyncInterval)
		if address, ok := l.pickSyncPeer(); ok {
			targets = append(targets, address)
		}
	}
	if now.Before(l.nextReconnect) {
		return targets
	}
	l.nextReconnect = now.Add(l.reconnectInterval())
	unreachable := l.unreachable(known)
	if len(unreachable) == 0 {
		return targets
	}
	return append(targets, unreachable[l.rng.IntN(len(unreachable))])
}

// pickSyncPeer picks a random live member for a full-state comparison, usually one of this data
// centre: states differ briefly after every change, and traffic between data centres is expensive.
func (l *List) pickSyncPeer() (address string, ok bool) {
	view := l.table.currentView(l.conf.Host)
	candidates := view.local
	if len(candidates) == 0 || len(view.remote) > 0 && l.rng.IntN(remoteSyncRatio) == 0 {
		candidates = view.remote
	}
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[l.rng.IntN(len(candidates))].Address, true
}

// Sample returns up to n random live members of a data centre except some.
func (l *List) Sample(dataCentre string, n int, except []string) []*peerpb.Member {
	view := l.table.currentView(l.conf.Host)
	candidates := view.local
	if dataCentre != l.conf.DataCentre {
		candidates = view.remote
	}
	var chosen []*peerpb.Member
	// Random positions instead of a permutation, since the answer to each hello takes a sample.
	for range sampleTries * n {
		if len(chosen) == n || len(candidates) == 0 {
			break
		}
		m := candidates[l.rng.IntN(len(candidates))]
		if m.DataCentre == dataCentre && !slices.Contains(chosen, m) && !slices.Contains(except, m.Host) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// sampleTries is the number of random positions that Sample looks at per member.
const sampleTries = 4

// bootstrapDone reports whether a new host has made all its comparisons.
func (l *List) bootstrapDone() bool {
	return l.localSyncs == len(localSyncAges) || l.localSince.IsZero() && l.bootstrapSyncs == len(bootstrapSyncAges)
}

// bootstrapSyncTargets returns the hosts with which a new host compares its state. Until it has learned
// of another member of its data centre, these are known hosts: several at first, then one at each of
// bootstrapSyncAges, because the known hosts may start last when many hosts start together. Then they are
// members of its data centre, since the known hosts could not answer all these comparisons of a large
// fleet and most are in other data centres.
func (l *List) bootstrapSyncTargets(now time.Time, known []string) []string {
	if l.localSyncs == len(localSyncAges) {
		return nil
	}
	if view := l.table.currentView(l.conf.Host); len(view.local) > 0 {
		return l.localSyncTargets(now, known, view)
	}
	if l.bootstrapSyncs == len(bootstrapSyncAges) || now.Sub(l.started) < bootstrapSyncAges[l.bootstrapSyncs] {
		return nil
	}
	l.bootstrapSyncs++
	if l.bootstrapSyncs == 1 && l.conf.Hellos {
		return nil
	}
	targets := slices.Clone(known)
	l.rng.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	if l.bootstrapSyncs == 1 {
		l.nextReconnect = now.Add(l.reconnectInterval())
		return targets[:min(bootstrapSyncFanout, len(targets))]
	}
	return targets[:min(1, len(targets))]
}

// localSyncTargets returns a member of the data centre at each of localSyncAges and, on a few hosts, a
// member of another data centre at those where most hosts know their data centre.
func (l *List) localSyncTargets(now time.Time, known []string, view *view) []string {
	if l.localSince.IsZero() {
		l.localSince = now
		l.nextReconnect = now.Add(l.reconnectInterval())
	}
	next := localSyncAges[l.localSyncs]
	if now.Sub(l.localSince) < next.age {
		return nil
	}
	l.localSyncs++
	targets := []string{view.local[l.rng.IntN(len(view.local))].Address}
	if next.known && len(view.local) < knownSyncMaxHosts {
		targets = append(l.knownLocal(known, view), targets...)[:1]
	}
	if next.far && len(view.remote) > 0 && l.comparesFar(view) {
		targets = append(targets, view.remote[l.rng.IntN(len(view.remote))].Address)
	}
	return targets
}

// knownLocal returns the address of a random known host that is a live member of this data centre, if
// there is one.
func (l *List) knownLocal(known []string, view *view) []string {
	var addresses []string
	for _, m := range view.local {
		if slices.Contains(known, m.Address) {
			addresses = append(addresses, m.Address)
		}
	}
	if len(addresses) == 0 {
		return nil
	}
	return []string{addresses[l.rng.IntN(len(addresses))]}
}

// comparesFar reports whether this host is one of the first farComparers of its data centre, in an order
// that hosts with the same members agree on. If one of them dies, the next takes its place as soon as it
// is known to be dead.
func (l *List) comparesFar(view *view) bool {
	own := xxhash.Sum64String(l.conf.Host)
	before := 0
	for _, m := range view.local {
		if xxhash.Sum64String(m.Host) < own {
			before++
		}
	}
	return before < farComparers
}

// reconnectInterval returns the period of reconnection attempts, which is shorter while this host
// knows no other live host.
func (l *List) reconnectInterval() time.Duration {
	if l.LiveCount() > 1 {
		return l.conf.ReconnectInterval
	}
	return min(l.conf.ReconnectInterval, l.conf.ProbeInterval/2)
}

// unreachable returns the addresses of dead members and the known addresses that belong to no live
// member.
func (l *List) unreachable(known []string) []string {
	live := map[string]bool{l.conf.Address: true}
	var unreachable []string
	for _, m := range l.Members() {
		if isLive(m) {
			live[m.Address] = true
		} else if m.Liveness == peerpb.Liveness_LIVENESS_DEAD {
			unreachable = append(unreachable, m.Address)
		}
	}
	for _, address := range known {
		if !live[address] && !slices.Contains(unreachable, address) {
			unreachable = append(unreachable, address)
		}
	}
	return unreachable
}
