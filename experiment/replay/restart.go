package replay

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/availability"
	"github.com/pearshelf/pearshelf/internal/policy"
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
	clock := h.fleet.clock
	clock.After(down, func() {
		h.isDown = false
		h.incarnation++
		h.table = policy.NewTable(clock.Time(), h.conf)
		h.servers = availability.NewTable(clock.Time)
		clear(h.kept)
		clear(h.idle)
		clear(h.hung)
	})
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
