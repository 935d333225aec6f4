package engine

import (
	"fmt"
	"strings"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/directive"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/hlc"
	"github.com/pearshelf/pearshelf/internal/system/configsync"
	"github.com/pearshelf/pearshelf/internal/world"
)

// The methods in this file must run on the loop's goroutine: call them from an
// input passed to Post, or before Run.

// Observe records the outcomes of requests sent by this host.
func (e *Engine) Observe(now time.Time, batch []*peerpb.Observation) {
	e.detection.Observe(e.world, now, batch)
}

// Datagram handles a datagram received from address.
func (e *Engine) Datagram(now time.Time, address string, d *peerpb.Datagram) {
	e.clock.Observe(now, hlc.Timestamp(d.Clock))
	e.mergeRegisters(now, d.Registers)
	if d.Kind == peerpb.Datagram_KIND_HEARTBEAT {
		e.documents.HandleHeartbeat(e.world, now, d)
	}
	if d.Evidence != nil {
		e.detection.AddReport(e.world, now, d.Evidence)
	}
	e.effects.Send(e.members.Receive(now, address, d))
	switch d.Kind {
	case peerpb.Datagram_KIND_HELLO:
		e.handleHello(now, address, d)
	case peerpb.Datagram_KIND_WELCOME:
		e.handleWelcome(now, d)
	}
}

// HandleDocument handles a document received from the platform or a peer.
func (e *Engine) HandleDocument(now time.Time, key string, revision uint64, raw []byte) {
	configsync.Accept(e.world, now, key, revision, raw)
	if e.world.ServicesChanged {
		e.detection.Forget(e.world)
	}
}

// FetchFailed records that a fetch ended without returning the document.
func (e *Engine) FetchFailed(now time.Time, key string) {
	configsync.FetchFailed(e.world, now, key)
}

// PlatformAnswered records that the platform has answered this host's watch.
func (e *Engine) PlatformAnswered(now time.Time) { e.documents.PlatformAnswered(e.world, now) }

// Write stamps and stores a register written by this host and gossips it.
func (e *Engine) Write(now time.Time, r *peerpb.Register) {
	e.world.Write(now, r)
	e.markChanged(r)
}

// Announce writes a register like Write, and also sends it directly to all live hosts
// instead of relying on gossip alone.
func (e *Engine) Announce(now time.Time, r *peerpb.Register) {
	e.Write(now, r)
	var all []string
	for name, h := range e.world.Hosts {
		if h.Live() {
			all = append(all, name)
		}
	}
	e.world.Outbox.Urgent = append(e.world.Outbox.Urgent, world.Urgent{To: all, Register: r})
}

// Record adds an event to this host's timeline.
func (e *Engine) Record(now time.Time, n event.Number, service, detail string) {
	e.world.Record(now, n, service, "", detail)
}

// mergeRegisters merges registers from another host and gossips those that changed.
func (e *Engine) mergeRegisters(now time.Time, registers []*peerpb.Register) {
	for _, r := range registers {
		if !e.clock.Observe(now, hlc.Timestamp(r.GetStamp().GetClock())) {
			e.world.Record(now, event.RegisterFromFuture, "", "", fmt.Sprintf("timestamp of register %s from %s is too far ahead of this host's clock", r.Key, r.Stamp.Host))
			continue
		}
		if !e.world.Registers.Merge(now, r) {
			continue
		}
		e.queue.AddRegister(r)
		e.markChanged(r)
		e.recordDirective(now, r)
	}
}

func (e *Engine) recordDirective(now time.Time, r *peerpb.Register) {
	if !directive.Is(r) {
		return
	}
	kind, target := directive.Target(r)
	verb := "set"
	if r.Deleted {
		verb = "cleared"
	}
	e.world.Record(now, event.DirectiveMerged, serviceOfTarget(target), "", fmt.Sprintf("%s %s %s, from %s", kind, target, verb, r.Stamp.Host))
}

func serviceOfTarget(target string) string {
	service, _, _ := strings.Cut(target, "/")
	return service
}

// State returns this host's complete state for a full sync.
func (e *Engine) State(now time.Time) *peerpb.SyncRequest {
	return &peerpb.SyncRequest{
		From:      e.conf.Self.Host,
		Digest:    e.Digest(),
		Members:   e.members.Members(),
		Registers: e.world.Registers.All(now),
		Clock:     uint64(e.clock.Now(now)),
	}
}

// Digest returns a digest of members and registers: equal states have equal digests.
func (e *Engine) Digest() uint64 { return e.world.Registers.Digest() ^ e.members.Digest() }

// Merge merges the complete state of another host.
func (e *Engine) Merge(now time.Time, members []*peerpb.Member, registers []*peerpb.Register, clock uint64) {
	e.clock.Observe(now, hlc.Timestamp(clock))
	e.members.Merge(now, members)
	e.mergeRegisters(now, registers)
}

// AnswerSync handles a full sync request from another host. The other host first sends
// its digest. If the states differ, it gets this host's state in the response and then
// sends its own in a second request.
func (e *Engine) AnswerSync(now time.Time, req *peerpb.SyncRequest) *peerpb.SyncResponse {
	switch {
	case len(req.Members) > 0:
		e.Merge(now, req.Members, req.Registers, req.Clock)
		e.MarkSynced()
		return &peerpb.SyncResponse{}
	case req.Digest == e.Digest():
		return &peerpb.SyncResponse{Same: true}
	default:
		state := e.State(now)
		return &peerpb.SyncResponse{Members: state.Members, Registers: state.Registers, Clock: state.Clock}
	}
}

// AnswerDocument handles another host's request for a document newer than the one it
// holds. pending is set if this host has no such document yet but is fetching it.
func (e *Engine) AnswerDocument(now time.Time, req *peerpb.DocumentRequest) (resp *peerpb.DocumentResponse, pending bool, err error) {
	doc, ok := e.world.Documents[req.Key]
	if !ok {
		return &peerpb.DocumentResponse{}, false, nil
	}
	resp, err = configsync.Answer(e.world, now, doc, req.After)
	if e.isStale() && err == nil {
		resp = &peerpb.DocumentResponse{Revision: resp.Revision, Document: resp.Document, Gzipped: resp.Gzipped, Unconfirmed: true}
	}
	return resp, len(resp.GetDocument()) == 0 && now.Before(doc.FetchingUntil), err
}

// MarkSynced records that a full state sync with a peer has completed.
func (e *Engine) MarkSynced() { e.synced = true }

// SetLeaving starts a planned stop; Leave completes it.
func (e *Engine) SetLeaving(now time.Time) {
	e.world.Leaving = true
	e.members.SetLeaving(now)
}

// SetPathLost announces whether this host has lost its path to the backend servers.
func (e *Engine) SetPathLost(now time.Time, lost bool) {
	path := peerpb.PathState_PATH_STATE_WORKING
	if lost {
		path = peerpb.PathState_PATH_STATE_LOST
	}
	e.members.SetPath(now, path)
}

// Leave announces that this host has left and returns once the announcement is sent.
func (e *Engine) Leave(now time.Time) {
	e.members.Leave(now)
	for range leaveAnnouncements {
		e.effects.Send(e.members.Tick(now))
		now = now.Add(e.conf.Membership.GossipInterval)
	}
}

const leaveAnnouncements = 3

// MemberChanged copies a changed member into the host table.
func (e *Engine) MemberChanged(now time.Time, m, previous *peerpb.Member) {
	if e.world == nil {
		return
	}
	e.world.Hosts[m.Host] = newHost(m)
	e.world.HostsChanged = true
	e.world.HostsVersion++
	if previous != nil && previous.Address != m.Address {
		e.markAllDirty()
	}
	e.recordMemberChange(now, m, previous)
}

// markAllDirty requests a rebuild of every service view, for instance after an owner's
// address has changed.
func (e *Engine) markAllDirty() {
	for _, svc := range e.world.Services {
		svc.Dirty = true
	}
}

func (e *Engine) recordMemberChange(now time.Time, m, previous *peerpb.Member) {
	if previous == nil {
		e.joinedHosts = append(e.joinedHosts, m.Host)
		return
	}
	if m.Liveness == previous.Liveness {
		return
	}
	eventNumbers := map[peerpb.Liveness]event.Number{
		peerpb.Liveness_LIVENESS_ALIVE:   event.MemberAlive,
		peerpb.Liveness_LIVENESS_SUSPECT: event.MemberSuspect,
		peerpb.Liveness_LIVENESS_DEAD:    event.MemberDead,
		peerpb.Liveness_LIVENESS_LEFT:    event.MemberLeft,
	}
	e.world.Record(now, eventNumbers[m.Liveness], "", "", m.Host)
}

// maxNamedHosts is the maximum number of hosts named in one event.
const maxNamedHosts = 4

// recordJoined records the hosts that have joined since the last tick as a single event:
// when the whole fleet starts, each host discovers all others within seconds.
func (e *Engine) recordJoined(now time.Time) {
	joined := e.joinedHosts
	if len(joined) == 0 {
		return
	}
	e.joinedHosts = nil
	detail := strings.Join(joined[:min(len(joined), maxNamedHosts)], " ")
	if more := len(joined) - maxNamedHosts; more > 0 {
		detail += fmt.Sprintf(" and %d more", more)
	}
	e.world.Record(now, event.MemberJoined, "", "", detail)
}

// Refuted records that this host has refuted a report that it is dead.
func (e *Engine) Refuted(now time.Time) {
	e.world.Record(now, event.MemberRefuted, "", "", "another host reported this host as dead")
}

func newHost(m *peerpb.Member) *world.Host {
	return &world.Host{
		Name:       m.Host,
		Address:    m.Address,
		DataCentre: m.DataCentre,
		Liveness:   m.Liveness,
		Leaving:    m.Leaving,
		Capacity:   m.Capacity,
		Path:       m.Path,

		RelaysLoads: m.RelaysLoads,
	}
}
