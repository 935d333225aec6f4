package replay

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/policy"
)

const (
	// dialTimeout is how long a host waits for a new connection to a server, as hosts do on the
	// users' platform.
	dialTimeout = 250 * time.Millisecond
	// pathGrace is the time after the start of a loss of path from which what callers get is
	// compared, by the users' rule.
	pathGrace = 3 * time.Second
)

// PathResult is what callers got while some hosts had lost their path to servers, by the hosts
// that they came to.
type PathResult struct {
	// Cut counts requests at hosts without a path, Others those at the other hosts.
	Cut, Others ServedShare
}

// ServedShare counts requests, and those of them that were served.
type ServedShare struct{ Asked, Served int }

// Share is the share of the requests that were served.
func (s ServedShare) Share() float64 { return float64(s.Served) / float64(max(s.Asked, 1)) }

func (s *ServedShare) count(o outcome) {
	s.Asked++
	if o == served {
		s.Served++
	}
}

func (r *PathResult) add(other PathResult) {
	r.Cut.Asked += other.Cut.Asked
	r.Cut.Served += other.Cut.Served
	r.Others.Asked += other.Others.Asked
	r.Others.Served += other.Others.Served
}

// isOn reports whether paths are lost at a time, from a while after the start.
func (p Paths) isOn(now, after time.Duration) bool {
	return now >= time.Duration(p.From)+after && now < time.Duration(p.From+p.For)
}

// Streams of random numbers that decide which hosts and servers lose their paths.
const (
	pathStreamHosts   = 20_000
	pathStreamServers = 40_000
)

// losesPath draws whether a host or server is among the given share of those that lose paths. It
// has a stream of its own, so that other patterns play as without it.
func (f *fleet) losesPath(stream uint64, share float64) bool {
	return f.stream(stream).Float64() < share
}

// linkSoundAfter is how long after a disturbance of its links a server counts as sound again, by
// the users' rule on servers in use.
const linkSoundAfter = 6 * time.Second

// disturbPaths marks the servers whose links are disturbed.
func (f *fleet) disturbPaths() {
	paths := f.pattern.Network.Paths
	mark := func(disturbed bool) {
		for _, s := range f.servers {
			s.pathDisturbed = disturbed && s.losesPath && (paths.Hosts > 0 || paths.WholeDataCentre)
		}
	}
	f.clock.After(time.Duration(paths.From), func() { mark(true) })
	f.clock.After(time.Duration(paths.From+paths.For)+linkSoundAfter, func() { mark(false) })
}

// reaches reports whether the host reaches a server now.
func (h *host) reaches(s *server) bool {
	return !h.losesPath || !s.losesPath || !h.fleet.pattern.Network.Paths.isOn(h.fleet.clock.Now, 0)
}

// sendIntoCut is the send of a request that does not reach its server. On the one connection that
// the host has kept it gets no answer, a new connection cannot be made.
func (r *request) sendIntoCut(fl *flight) {
	mayReuse := fl.placement.MaxIdle == 0 || fl.from.idle[fl.server.id] <= fl.placement.MaxIdle
	if mayReuse && !fl.from.hung[fl.server.id] {
		fl.from.hung[fl.server.id] = true
		return
	}
	r.host.fleet.clock.After(dialTimeout, func() {
		if !fl.job.over {
			fl.job.over = true
			r.answered(fl, answer{reply: replyUnreachable})
		}
	})
}

// checkPaths opens the connections that the policy asks for, as the daemon does.
func (h *host) checkPaths() {
	clock := h.fleet.clock
	due, after := h.table.DuePathChecks(clock.Time(), h.views)
	for _, check := range due {
		h.check(check)
	}
	if h.pathReview != nil {
		h.pathReview.Stop()
		h.pathReview = nil
	}
	if after > 0 {
		h.pathReview = clock.After(after, h.checkPaths)
	}
}

// check connects to a server: the answer comes after a round trip, or not at all.
func (h *host) check(check policy.PathCheck) {
	s, clock := h.fleet.servers[check.Server], h.fleet.clock
	reached := h.reaches(s) && clock.Now >= s.downUntil
	took := 2 * h.fleet.delay(h.dataCentre, s.dataCentre)
	if !h.reaches(s) {
		took = dialTimeout
	}
	clock.After(took, func() {
		wasLost := h.table.PathLost(clock.Time())
		h.table.PathChecked(clock.Time(), check, reached)
		if !wasLost && h.table.PathLost(clock.Time()) {
			h.relayWaiting()
		}
		h.tell()
		h.checkPaths()
	})
}

// maxUnreachable is how many servers a request finds unreachable before it is relayed, as in the
// daemon.
const maxUnreachable = 2

// shouldRelay reports whether the request goes through another host, as in the daemon.
func (r *request) shouldRelay() bool {
	return !r.relayed && (r.host.table.PathLost(r.host.fleet.clock.Time()) || r.unreachable >= maxUnreachable)
}

// relay lets another host serve the request. It reports false if there is none whose path works.
func (r *request) relay() bool {
	r.relayed = true
	f := r.host.fleet
	var near, far []*host
	for _, other := range f.hosts {
		switch {
		case other == r.host || other.table.PathLost(f.clock.Time()):
		case other.dataCentre == r.host.dataCentre:
			near = append(near, other)
		default:
			far = append(far, other)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return false
	}
	target := near[f.random.IntN(len(near))]
	f.clock.After(f.delay(r.host.dataCentre, target.dataCentre), func() {
		if !r.over {
			r.host = target
			r.place()
		}
	})
	return true
}

// relayWaiting relays the host's idempotent requests that wait for an answer which will not come.
func (h *host) relayWaiting() {
	for _, r := range h.requests {
		if r.over || r.host != h || !r.route.Idempotent || r.relayed || len(r.flights) == 0 || r.ran+len(r.flights) >= r.attempts() {
			continue
		}
		for _, fl := range r.flights {
			fl.server.cancel(fl.job)
			r.finish(fl, policy.Result{Outcome: policy.Abandoned, Elapsed: h.fleet.clock.Now - fl.sent})
			r.ran++
			r.arrived++
		}
		r.flights = nil
		r.again(failed)
	}
}

// notePath counts a request that came to a host while paths were lost.
func (r *Result) notePath(q *request, o outcome) {
	if !q.host.fleet.pattern.Network.Paths.isOn(q.asked, pathGrace) {
		return
	}
	if q.entry.losesPath {
		r.Paths.Cut.count(o)
	} else {
		r.Paths.Others.count(o)
	}
}
