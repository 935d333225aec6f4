// Package verdict keeps the votes of watchers as registers.
package verdict

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	prefix = "verdict/"

	// TTL ends a vote whose watcher is gone. It is long, because every renewal
	// costs datagrams on every host, and a watcher that changes its mind says so.
	TTL = 10 * time.Minute
	// RenewEvery is the period of renewals.
	RenewEvery = TTL / 3
)

// key returns the register key of one vote.
func key(service, backend, watcher string) string {
	return prefix + service + "/" + backend + "/" + watcher
}

// Cast writes this host's vote and sends it straight to the owners.
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

// End withdraws this host's vote.
func End(w *world.World, now time.Time, svc *world.Service, b *world.BackendServer) {
	writeVote(w, now, svc, &peerpb.Register{
		Key:     key(svc.Config.Name, b.Config.ID, w.Self.Host),
		Deleted: true,
		TtlMs:   uint64(TTL.Milliseconds()),
	})
}

func writeVote(w *world.World, now time.Time, svc *world.Service, r *peerpb.Register) {
	w.Write(now, r)
	var owners []string
	for _, hosts := range svc.Owners {
		owners = append(owners, hosts...)
	}
	w.Out.Urgent = append(w.Out.Urgent, world.Urgent{To: owners, Register: r})
	svc.Dirty = true
	svc.Busy = true
}

// Tally is the votes against one backend server.
type Tally struct {
	Votes    int
	Relapses int
	// First is the earliest vote's stamp, which orders ejections alike on all
	// hosts.
	First *peerpb.Stamp
}

// Count tallies the votes on a service's backend servers.
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

// Majority is the number of votes that ejects.
func Majority(svc *world.Service) int {
	return len(svc.Watchers)/2 + 1
}

// ServiceOf returns the service that a register votes on, and whether the
// register is a vote.
func ServiceOf(r *peerpb.Register) (service string, ok bool) {
	rest, found := strings.CutPrefix(r.GetKey(), prefix)
	if !found {
		return "", false
	}
	service, _, ok = strings.Cut(rest, "/")
	return service, ok
}
