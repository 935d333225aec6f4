package replay

import (
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/availability"
	"github.com/pearshelf/pearshelf/internal/handover"
	"github.com/pearshelf/pearshelf/internal/policy"
	"github.com/pearshelf/pearshelf/internal/world"
)

// restartHosts schedules the restarts of the pattern. Which hosts restart is drawn from a stream of
// its own, so that other patterns play as without it.
func (f *fleet) restartHosts() {
	for i, restart := range f.pattern.Restarts {
		random := f.stream(restartStream + uint64(i))
		count := int(restart.Share*float64(len(f.hosts)) + 0.5)
		for n, number := range random.Perm(len(f.hosts))[:count] {
			f.clock.After(time.Duration(restart.At)+time.Duration(n)*time.Duration(restart.Gap), func() {
				f.hosts[number].restart(time.Duration(restart.Down))
			})
		}
	}
}

// restartStream is the first stream of random numbers that choose the hosts which restart.
const restartStream = 60_000

// restart kills the host and starts it again after a time: what it knew is gone, and so are the
// requests that it had.
func (h *host) restart(down time.Duration) {
	if h.isDown {
		return
	}
	h.isDown = true
	for _, r := range h.requests {
		r.lose()
	}
	h.requests, h.awaiting = nil, nil
	f := h.fleet
	clock := f.clock
	clock.After(down, func() {
		h.isDown = false
		h.incarnation++
		h.table = policy.NewTable(clock.Time(), h.conf)
		h.newQueue()
		h.servers = availability.NewTable(clock.Time)
		clear(h.kept)
		clear(h.idle)
		clear(h.hung)
		h.askState(handover.New(clock.Time(), f.stream(handoverStream+uint64(h.incarnation))))
	})
}

// handoverStream is the first stream of random numbers that choose the hosts asked after a restart.
const handoverStream = 70_000

// askState asks other hosts of the data centre for what they know of servers, as the daemon does. The
// answers come a round trip later.
func (h *host) askState(exchange *handover.Exchange) {
	f, table := h.fleet, h.table
	for _, address := range exchange.Ask(f.clock.Time(), h.sharing.Segment()) {
		other := f.byName[address]
		f.clock.After(2*time.Duration(f.pattern.Network.Near), func() {
			if h.table != table || h.isDown {
				return // killed meanwhile
			}
			var answer *peerpb.HandoverResponse
			if !other.isDown && !other.isCut() && !h.isCut() {
				answer = other.table.Export(f.clock.Time(), h.uses)
			}
			if exchange.Answered(answer) {
				table.Import(f.clock.Time(), answer)
			}
			h.askState(exchange)
		})
	}
}

// uses reports whether a server is in the host's subset.
func (h *host) uses(service, server string) bool {
	view := h.views[service]
	return slices.ContainsFunc(view.Candidates(), func(b world.BackendView) bool { return b.ID == server })
}

// lose ends a request whose host has been killed. What its servers answer is not heard.
func (r *request) lose() {
	if r.over {
		return
	}
	r.over = true
	r.expiry.Stop()
	for _, fl := range r.flights {
		fl.server.cancel(fl.job)
	}
	r.flights = nil
	r.host.fleet.result.note(r, failed)
}

// liveHost is a host that serves requests, the given one if it does.
func (f *fleet) liveHost(number int) *host {
	for n := range f.hosts {
		if h := f.hosts[(number+n)%len(f.hosts)]; !h.isDown {
			return h
		}
	}
	return nil
}
