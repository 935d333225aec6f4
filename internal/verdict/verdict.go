// Package verdict stores the votes of watchers against backend servers in replicated
// registers and counts them. The watchers of a service are the hosts that observe its
// backend servers; a server is ejected if a majority of them votes against it.
package verdict

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/hlc"
	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	prefix = "verdict/"

	// TTL is the lifetime of a vote that is not renewed because its watcher is gone. It is
	// long because every renewal costs datagrams on every host, and a live watcher withdraws
	// its vote explicitly.
	TTL = 10 * time.Minute
	// RenewInterval is the interval at which a watcher renews its vote.
	RenewInterval = TTL / 3
)

// key returns the register key of a watcher's vote.
func key(service, backend, watcher string) string {
	return prefix + service + "/" + backend + "/" + watcher
}

// Cast records this host's vote against a backend server and sends it to the service's owners
// immediately.
func Cast(w *world.World, now time.Time, svc *world.Service, b *world.BackendServer) {
	value, err := proto.Marshal(&peerpb.Verdict{
		Service:  svc.Config.Name,
		Backend:  b.Config.ID,
		Watcher:  w.Self.Host,
		Relapses: uint32(b.Detection.Relapses),
	})
	if err != nil {
		return
	}
	writeVote(w, now, svc, &peerpb.Register{
		Key:   key(svc.Config.Name, b.Config.ID, w.Self.Host),
		Value: value,
		TtlMs: uint64(TTL.Milliseconds()),
	})
}

// Withdraw withdraws this host's vote.
func Withdraw(w *world.World, now time.Time, svc *world.Service, b *world.BackendServer) {
	writeVote(w, now, svc, &peerpb.Register{
		Key:     key(svc.Config.Name, b.Config.ID, w.Self.Host),
		Deleted: true,
		TtlMs:   uint64(TTL.Milliseconds()),
	})
}

// writeVote writes a vote's register and queues it for immediate delivery to the owners.
func writeVote(w *world.World, now time.Time, svc *world.Service, r *peerpb.Register) {
	w.Write(now, r)
	var owners []string
	for _, hosts := range svc.Owners {
		owners = append(owners, hosts...)
	}
	w.Outbox.Urgent = append(w.Outbox.Urgent, world.Urgent{To: owners, Register: r})
	svc.Dirty = true
	svc.DetectionActive = true
}

// Tally summarizes the votes against one backend server.
type Tally struct {
	Votes    int
	Relapses int
	// First is the stamp of the earliest vote. All hosts order ejections by it, so they agree.
	First *peerpb.Stamp
}

// Count returns the tally of each backend server of a service that has votes against it.
func Count(w *world.World, service string) map[string]Tally {
	tallies := make(map[string]Tally)
	for _, r := range w.Registers.Prefix(prefix + service + "/") {
		v := &peerpb.Verdict{}
		if proto.Unmarshal(r.Value, v) != nil {
			continue
		}
		tally := tallies[v.Backend]
		tally.Votes++
		tally.Relapses = max(tally.Relapses, int(v.Relapses))
		if tally.First == nil || r.Stamp.Clock < tally.First.Clock {
			tally.First = r.Stamp
		}
		tallies[v.Backend] = tally
	}
	return tallies
}

// Vote is a vote of this host.
type Vote struct {
	Backend  string
	Relapses int
	// CastAt is when the vote was cast or last renewed, by this host's wall clock.
	CastAt time.Time
}

// Own returns this host's votes against backend servers of a service, also those that it cast before it restarted.
func Own(w *world.World, service string) []Vote {
	var own []Vote
	for _, r := range w.Registers.Prefix(prefix + service + "/") {
		v := &peerpb.Verdict{}
		if proto.Unmarshal(r.Value, v) != nil || v.Watcher != w.Self.Host {
			continue
		}
		own = append(own, Vote{
			Backend:  v.Backend,
			Relapses: int(v.Relapses),
			CastAt:   hlc.Timestamp(r.Stamp.GetClock()).Time(),
		})
	}
	return own
}

// Majority returns the number of votes required to eject a backend server.
func Majority(svc *world.Service) int {
	return len(svc.Watchers)/2 + 1
}

// ServiceOf returns the service that a vote's register belongs to; ok is false if the register
// is not a vote.
func ServiceOf(r *peerpb.Register) (service string, ok bool) {
	rest, found := strings.CutPrefix(r.GetKey(), prefix)
	if !found {
		return "", false
	}
	service, _, ok = strings.Cut(rest, "/")
	return service, ok
}
