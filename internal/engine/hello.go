package engine

import (
	"maps"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/membership"
	"github.com/pearshelf/pearshelf/internal/startup"
	"github.com/pearshelf/pearshelf/internal/system/configsync"
	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	// welcomeMembers is the number of hosts of the asker's data centre that a welcome names beside
	// the sender and the source. It lets the asker compare its state within its data centre.
	welcomeMembers = 3
	// welcomeWait is how long a host that said hello is remembered, to be sent a welcome once this
	// host can name a source. Hosts repeat their hello more often than that.
	welcomeWait = 2 * startup.HelloIdle
	// maxWelcomeWaiting bounds these hosts.
	maxWelcomeWaiting = 4096
)

// hellos is the part of a host in the exchange of hellos and welcomes, by which hosts without
// documents find a source for them.
type hellos struct {
	next     time.Time // of this host's next round of hellos
	answered bool      // a known host has answered
	tree     startup.Tree
	waiting  map[string]helloWaiting // hosts that were not told a source for every document, by name
	told     []*peerpb.Head          // heads that the last welcomes named
	sentHead map[string]uint64       // revisions that this host announced to the known hosts, by key
}

type helloWaiting struct {
	address string
	at      time.Time
}

// exchangesHellos reports whether this host takes part. With the built-in platform, documents are
// read along the index instead.
func (e *Engine) exchangesHellos() bool { return e.conf.RequiredDocuments != nil }

// greet sends the hellos, welcomes and announcements that are due.
func (e *Engine) greet(now time.Time) {
	if !e.exchangesHellos() {
		return
	}
	e.sayHello(now)
	e.welcomeWaiting(now)
	e.announceToKnown(now)
}

// sayHello asks known hosts for sources while this host has no configuration.
func (e *Engine) sayHello(now time.Time) {
	h := &e.hellos
	if e.ready || now.Before(h.next) {
		return
	}
	h.next = now.Add(startup.UntilHello(now.Sub(e.world.StartedAt), h.answered))
	hello := &peerpb.Datagram{Kind: peerpb.Datagram_KIND_HELLO, Members: []*peerpb.Member{e.members.Member(e.conf.Self.Host)}}
	targets := e.helloTargets()
	if h.answered { // the known hosts may have died since
		for _, m := range e.members.Sample(e.conf.Self.DataCentre, 1, nil) {
			targets = append(targets[:min(len(targets), startup.MaxHelloTargets-1)], m.Address)
		}
	}
	e.sendTo(hello, targets)
}

// helloTargets returns some of the known hosts, those of this data centre only if there are any.
func (e *Engine) helloTargets() []string {
	targets := slices.Clone(e.peers)
	local := make(map[string]bool)
	for _, host := range e.world.Hosts {
		if host.DataCentre == e.conf.Self.DataCentre && host.Live() {
			local[host.Address] = true
		}
	}
	if near := slices.DeleteFunc(slices.Clone(targets), func(a string) bool { return !local[a] }); len(near) > 0 {
		targets = near
	}
	e.rng.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:min(len(targets), startup.MaxHelloTargets)]
}

// handleHello answers a host that lacks documents.
func (e *Engine) handleHello(now time.Time, address string, d *peerpb.Datagram) {
	if !e.exchangesHellos() || d.From == e.conf.Self.Host {
		return
	}
	heads := e.sources(now, d.From)
	e.sendWelcome(d.From, address, heads)
	if len(heads) == len(e.world.Required) {
		delete(e.hellos.waiting, d.From)
		return
	}
	if e.hellos.waiting == nil {
		e.hellos.waiting = make(map[string]helloWaiting)
	}
	if len(e.hellos.waiting) < maxWelcomeWaiting {
		e.hellos.waiting[d.From] = helloWaiting{address: address, at: now}
	}
}

// welcomeWaiting sends a welcome to the hosts that wait for one, if this host knows a source for more
// documents than before.
func (e *Engine) welcomeWaiting(now time.Time) {
	h := &e.hellos
	if len(h.waiting) == 0 {
		return
	}
	heads := e.heads(now)
	changed := !slices.EqualFunc(heads, h.told, func(a, b *peerpb.Head) bool { return a.Key == b.Key && a.Revision == b.Revision })
	h.told = heads
	for _, host := range slices.Sorted(maps.Keys(h.waiting)) { // the same inputs have the same effects
		waiting := h.waiting[host]
		if changed {
			e.sendWelcome(host, waiting.address, e.sources(now, host))
		}
		if len(heads) == len(e.world.Required) || now.Sub(waiting.at) > welcomeWait {
			delete(h.waiting, host)
		}
	}
}

// heads returns the newest revisions that this host knows of, with a host that has each.
func (e *Engine) heads(now time.Time) []*peerpb.Head {
	var heads []*peerpb.Head
	for _, key := range e.world.Required {
		head := &peerpb.Head{Key: key, Revision: e.world.Document(key).Revision, Holder: e.conf.Self.Host}
		if announced := configsync.Announced(e.world, key); announced.GetRevision() > head.Revision {
			head = announced
		} else {
			head.Bytes = uint32(configsync.SentBytes(e.world, now, key))
		}
		if head.Revision > 0 {
			heads = append(heads, head)
		}
	}
	return heads
}

// sources returns the heads with the hosts from which a host should fetch the documents as holders.
func (e *Engine) sources(now time.Time, host string) []*peerpb.Head {
	asker := e.world.Hosts[host]
	heads := e.heads(now)
	if asker == nil || len(heads) == 0 {
		return heads
	}
	source := e.hellos.tree.Source(now, asker.DataCentre, host, e.directFetchers(now, asker))
	for _, head := range heads {
		if h := e.world.Hosts[source]; h != nil && h.Live() {
			head.Holder = source
		}
	}
	return heads
}

// directFetchers returns how many hosts of the asker's data centre fetch from this host.
func (e *Engine) directFetchers(now time.Time, asker *world.Host) int {
	if asker.DataCentre != e.conf.Self.DataCentre {
		return startup.FarFetchers
	}
	return configsync.DirectFetchers(e.world, now)
}

func (e *Engine) sendWelcome(host, address string, heads []*peerpb.Head) {
	welcome := &peerpb.Datagram{Kind: peerpb.Datagram_KIND_WELCOME, Heads: heads}
	named := []string{e.conf.Self.Host}
	for _, head := range heads {
		if r, ok := e.world.Registers.Get(configsync.HeadKey(head.Key)); ok {
			welcome.Registers = append(welcome.Registers, r)
		}
		if !slices.Contains(named, head.Holder) {
			named = append(named, head.Holder)
		}
	}
	for _, name := range named {
		if m := e.members.Member(name); m != nil {
			welcome.Members = append(welcome.Members, m)
		}
	}
	if asker := e.world.Hosts[host]; asker != nil {
		welcome.Members = append(welcome.Members, e.members.Sample(asker.DataCentre, welcomeMembers, append(named, host))...)
	}
	e.sendTo(welcome, []string{address})
}

// handleWelcome fetches documents from the hosts that a welcome names.
func (e *Engine) handleWelcome(now time.Time, d *peerpb.Datagram) {
	if !e.exchangesHellos() {
		return
	}
	if !e.hellos.answered {
		e.hellos.answered = true
		e.hellos.next = now.Add(startup.HelloRepeat)
	}
	configsync.FetchFromSources(e.world, now, d)
}

// announceToKnown sends the heads of documents that this host was the first to have to the known hosts,
// which tell them to all that lack the documents.
func (e *Engine) announceToKnown(now time.Time) {
	if now.Sub(e.world.StartedAt) > startup.EagerTickFor || len(e.peers) == 0 {
		return
	}
	for _, key := range e.world.Required {
		r, ok := e.world.Registers.Get(configsync.HeadKey(key))
		if !ok || r.Stamp.Host != e.conf.Self.Host || e.hellos.sentHead[key] >= r.Stamp.Revision {
			continue
		}
		if e.hellos.sentHead == nil {
			e.hellos.sentHead = make(map[string]uint64)
		}
		e.hellos.sentHead[key] = r.Stamp.Revision
		e.sendTo(&peerpb.Datagram{Kind: peerpb.Datagram_KIND_GOSSIP, Registers: []*peerpb.Register{r}, Members: []*peerpb.Member{e.members.Member(e.conf.Self.Host)}}, e.peers[:min(len(e.peers), startup.MaxHelloTargets)])
	}
}

// sendTo sends a datagram to addresses.
func (e *Engine) sendTo(d *peerpb.Datagram, addresses []string) {
	d.From = e.conf.Self.Host
	d.Clock = uint64(e.clock.Now(e.lastTick))
	packets := make([]membership.Packet, 0, len(addresses))
	for _, address := range addresses {
		packets = append(packets, membership.Packet{To: address, Datagram: d})
	}
	e.effects.Send(packets)
}
