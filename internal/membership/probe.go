package membership

import (
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/gossip"
)

// probe is the one outstanding check of a member.
type probe struct {
	target   string
	sequence uint64
	indirect time.Time // when others are asked
	deadline time.Time // when the member becomes suspect
	asked    bool
}

// relay is a check made for another host.
type relay struct {
	to       string
	sequence uint64
	expires  time.Time
}

// Tick advances timers and returns the datagrams to send.
func (l *List) Tick(now time.Time) []Packet {
	if gap := now.Sub(l.lastTick); gap > pauseFactor*l.conf.ProbeInterval {
		l.forgivePause(gap)
	}
	l.lastTick = now
	l.expireSuspicions(now)
	var out []Packet
	out = l.runProbe(now, out)
	out = l.runGossip(now, out)
	return out
}

// Calm reports whether nothing waits for the next tick: no probe is unanswered, no
// member suspected, no change to be told.
func (l *List) Calm() bool {
	return l.probe == nil && len(l.rows.suspects) == 0 && l.queue.Len() == 0 && l.youngDone == len(youngSyncs)
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
	l.dropRelays(now)
	target := l.nextTarget()
	if target == nil {
		return out
	}
	l.sequence++
	l.probe = &probe{
		target:   target.Host,
		sequence: l.sequence,
		indirect: now.Add(l.awareness.scale(l.conf.ProbeTimeout)),
		deadline: now.Add(l.awareness.scale(l.conf.ProbeInterval)),
	}
	ping := &peerpb.Datagram{Kind: peerpb.Datagram_KIND_PING, Sequence: l.sequence}
	if target.Liveness == peerpb.Liveness_LIVENESS_SUSPECT {
		ping.Members = append(ping.Members, target) // lets it refute at once
	}
	return append(out, l.packet(target.Address, ping))
}

func (l *List) checkProbe(now time.Time, out []Packet) []Packet {
	p := l.probe
	target, ok := l.rows.byHost[p.target]
	if !ok {
		l.probe = nil
		return out
	}
	if !p.asked && !now.Before(p.indirect) {
		p.asked = true
		out = l.askOthers(p, out)
	}
	if now.Before(p.deadline) {
		return out
	}
	l.probe = nil
	l.awareness.add(1)
	if target.member.Liveness == peerpb.Liveness_LIVENESS_ALIVE {
		l.mark(now, target, peerpb.Liveness_LIVENESS_SUSPECT)
	}
	return out
}

func (l *List) askOthers(p *probe, out []Packet) []Packet {
	for _, m := range l.randomLive(l.conf.IndirectChecks, p.target) {
		request := &peerpb.Datagram{Kind: peerpb.Datagram_KIND_PING_REQUEST, Sequence: p.sequence, Target: p.target}
		out = append(out, l.packet(m.Address, request))
	}
	return out
}

// nextTarget goes round all live members in random order.
func (l *List) nextTarget() *peerpb.Member {
	for range 2 {
		for len(l.probeOrder) > 0 {
			host := l.probeOrder[len(l.probeOrder)-1]
			l.probeOrder = l.probeOrder[:len(l.probeOrder)-1]
			if r, ok := l.rows.byHost[host]; ok && isLive(r.member) && host != l.conf.Host {
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

// gossipTargets picks random live members, those of other data centres only
// now and then: bytes to them are dear, and one of them tells all others there.
func (l *List) gossipTargets() []*peerpb.Member {
	lists := l.rows.sorted(l.conf.Host)
	targets := make([]*peerpb.Member, 0, l.conf.GossipFanout)
	for range l.conf.GossipFanout {
		from := lists.near
		if len(from) == 0 || len(lists.far) > 0 && l.rng.Float64() < l.farShare(lists) {
			from = lists.far
		}
		if len(from) == 0 {
			break
		}
		m := from[l.rng.IntN(len(from))]
		if !slices.Contains(targets, m) {
			targets = append(targets, m)
		}
	}
	return targets
}

// farShare is the part of the datagrams with changes that go to other data centres, so
// that all hosts of this one together tell each change farTellings times to the hosts
// of each other one, as long as that is no more than any host would get.
func (l *List) farShare(lists *lists) float64 {
	near, far := float64(len(lists.near)+1), float64(len(lists.far))
	tellings := float64(gossip.Limit(l.Live())) * near
	return min(farTellings*far/near/tellings, far/(near+far))
}

// randomLive picks up to n live members other than this host and except.
func (l *List) randomLive(n int, except string) []*peerpb.Member {
	others := l.rows.sorted(l.conf.Host).others
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

// packet completes a datagram with the sender and queued changes.
func (l *List) packet(to string, d *peerpb.Datagram) Packet {
	d.From = l.conf.Host
	l.queue.Fill(d, l.Live())
	return Packet{To: to, Datagram: d}
}

// Receive takes a datagram that came from an address and returns replies.
// Registers and evidence in it are the caller's to handle.
func (l *List) Receive(now time.Time, address string, d *peerpb.Datagram) []Packet {
	l.lastHeard = now
	l.told(now, d.Members)
	switch d.Kind {
	case peerpb.Datagram_KIND_PING:
		return []Packet{l.ack(address, d)}
	case peerpb.Datagram_KIND_PING_REQUEST:
		return l.relayProbe(now, address, d)
	case peerpb.Datagram_KIND_ACK:
		return l.acked(now, d)
	}
	return nil
}

// ack answers a ping. A sender that this host holds for dead is told so, and
// can refute.
func (l *List) ack(address string, d *peerpb.Datagram) Packet {
	reply := &peerpb.Datagram{Kind: peerpb.Datagram_KIND_ACK, Sequence: d.Sequence}
	if r, ok := l.rows.byHost[d.From]; ok && r.member.Liveness != peerpb.Liveness_LIVENESS_ALIVE {
		reply.Members = append(reply.Members, r.member)
	}
	return l.packet(address, reply)
}

func (l *List) relayProbe(now time.Time, address string, d *peerpb.Datagram) []Packet {
	target, ok := l.rows.byHost[d.Target]
	if !ok {
		return nil
	}
	l.sequence++
	l.relays[l.sequence] = relay{
		to:       address,
		sequence: d.Sequence,
		expires:  now.Add(relayLifetimeProbePeriods * l.conf.ProbeInterval),
	}
	ping := &peerpb.Datagram{Kind: peerpb.Datagram_KIND_PING, Sequence: l.sequence}
	return []Packet{l.packet(target.member.Address, ping)}
}

func (l *List) acked(now time.Time, d *peerpb.Datagram) []Packet {
	if r, ok := l.relays[d.Sequence]; ok {
		delete(l.relays, d.Sequence)
		return []Packet{l.packet(r.to, &peerpb.Datagram{Kind: peerpb.Datagram_KIND_ACK, Sequence: r.sequence})}
	}
	if l.probe == nil || d.Sequence != l.probe.sequence {
		return nil
	}
	l.awareness.add(-1)
	l.probe = nil
	return nil
}

func (l *List) dropRelays(now time.Time) {
	for sequence, r := range l.relays {
		if now.After(r.expires) {
			delete(l.relays, sequence)
		}
	}
}

// SyncTargets returns the addresses with which full state should be compared
// now: one live member each SyncInterval and one that is dead, or known only
// to the platform or the settings, each ReconnectInterval. known are the
// addresses of the platform and the settings.
func (l *List) SyncTargets(now time.Time, known []string) []string {
	targets := l.youngTargets(now, known)
	if !now.Before(l.nextSync) {
		l.nextSync = now.Add(l.conf.SyncInterval)
		if address, ok := l.comparesWith(); ok {
			targets = append(targets, address)
		}
	}
	if now.Before(l.nextConnect) {
		return targets
	}
	l.nextConnect = now.Add(l.connectInterval())
	absent := l.absent(known)
	if len(absent) == 0 {
		return targets
	}
	return append(targets, absent[l.rng.IntN(len(absent))])
}

// comparesWith draws a live member for a full comparison: most often one of this data centre, because
// states differ for a moment whenever anything changes, and bytes between data centres are dear.
func (l *List) comparesWith() (address string, ok bool) {
	lists := l.rows.sorted(l.conf.Host)
	among := lists.near
	if len(among) == 0 || len(lists.far) > 0 && l.rng.IntN(farComparisons) == 0 {
		among = lists.far
	}
	if len(among) == 0 {
		return "", false
	}
	return among[l.rng.IntN(len(among))].Address, true
}

// youngTargets returns known hosts with which a host that has just started compares its
// state: several at first, then one at each of youngSyncs. Where many start together, the
// known ones may start last, and their first answers name few. In large fleets they could
// not answer all again and again: there a host asks others of its data centre that it
// has heard of.
func (l *List) youngTargets(now time.Time, known []string) []string {
	if l.youngDone == len(youngSyncs) || now.Sub(l.started) < youngSyncs[l.youngDone] {
		return nil
	}
	l.youngDone++
	near := l.rows.sorted(l.conf.Host).near
	if l.Live() > youngSyncHosts && len(near) > 0 {
		return []string{near[l.rng.IntN(len(near))].Address}
	}
	targets := slices.Clone(known)
	l.rng.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	if l.youngDone == 1 {
		l.nextConnect = now.Add(l.connectInterval())
		return targets[:min(youngSeeds, len(targets))]
	}
	return targets[:min(1, len(targets))]
}

// connectInterval is short while this host is alone.
func (l *List) connectInterval() time.Duration {
	if l.Live() > 1 {
		return l.conf.ReconnectInterval
	}
	return min(l.conf.ReconnectInterval, l.conf.ProbeInterval/2)
}

func (l *List) absent(known []string) []string {
	live := map[string]bool{l.conf.Address: true}
	var absent []string
	for _, m := range l.Members() {
		if isLive(m) {
			live[m.Address] = true
		} else if m.Liveness == peerpb.Liveness_LIVENESS_DEAD {
			absent = append(absent, m.Address)
		}
	}
	for _, address := range known {
		if !live[address] && !slices.Contains(absent, address) {
			absent = append(absent, address)
		}
	}
	return absent
}
