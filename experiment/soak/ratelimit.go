package soak

import (
	"context"
	"fmt"
	"time"
)

// Servers name rate limits in their answers, which bind all hosts together.
const (
	// leastNaming and mostNaming bound for how long a server names one.
	leastNaming = 5 * time.Second
	mostNaming  = 9 * time.Second
	// leastLimit and mostLimit bound it, in requests a second.
	leastLimit = 0.5
	mostLimit  = 8.0

	// The users' rule: from limitCounts after a server first named its limit, it gets in
	// limitWindow limitExcess times what that allows and limitSlack more, from hosts that
	// had passed on such an answer for toldCounts.
	limitCounts = 3 * time.Second
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
	toldCounts  = 500 * time.Millisecond
)

// limitServer makes a server name a rate limit for a while.
func (s *soak) limitServer(ctx context.Context) {
	server := s.servers[s.rng.IntN(len(s.servers))]
	limit := leastLimit + (mostLimit-leastLimit)*s.rng.Float64()
	server.SetLimit(limit)
	length := s.between(leastNaming, mostNaming)
	s.ends.Go(func() {
		pause(ctx, length)
		server.SetLimit(0)
	})
}

// span is a time in which one process of a server named one limit with every answer.
type span struct {
	server, process int
	perSecond       float64
	arrivals        []arrival
}

// spans returns the times in which servers named limits.
func (s *said) spans() []span {
	var all []span
	open := make(map[int]int) // index in all, by server
	for _, a := range s.arrivals {
		i, isOpen := open[a.server]
		same := isOpen && a.said.Limit.Named && all[i].process == a.process && all[i].perSecond == a.said.Limit.PerSecond
		switch {
		case same:
			all[i].arrivals = append(all[i].arrivals, a)
		case a.said.Limit.Named:
			open[a.server] = len(all)
			all = append(all, span{server: a.server, process: a.process, perSecond: a.said.Limit.PerSecond, arrivals: []arrival{a}})
		default:
			delete(open, a.server)
		}
	}
	return all
}

// checkLimits holds what reached servers against the rate limits that they named.
func (s *soak) checkLimits() []Finding {
	if !s.direct {
		return nil // which host sent a request is not known
	}
	s.said.mu.Lock()
	defer s.said.mu.Unlock()
	var found []Finding
	for _, span := range s.said.spans() {
		if most, at := s.mostFromTold(span); float64(most) > limitExcess*span.perSecond*limitWindow.Seconds()+limitSlack {
			found = append(found, Finding{Rule: "rate limit", Detail: fmt.Sprintf("%d requests of hosts that knew reached server %d in %s up to %s after it first named %.2f a second",
				most, span.server, limitWindow, at.Sub(span.arrivals[0].at).Round(time.Millisecond), span.perSecond)})
		}
	}
	return found
}

// mostFromTold returns the most requests of any window, from hosts that had passed on an answer
// with the limit, and the window's end.
func (s *soak) mostFromTold(span span) (most int, at time.Time) {
	counts := span.arrivals[0].at.Add(limitCounts)
	told := s.toldHosts(span)
	var times []time.Time
	for _, a := range span.arrivals {
		sent := s.sender(a)
		if sent == nil || a.at.Before(counts) || s.isExcused(sent.host, a.at) {
			continue
		}
		if since, knows := told[toldHost{sent.host, sent.life}]; !knows || a.at.Sub(since) < toldCounts {
			continue
		}
		times = append(times, a.at)
		for a.at.Sub(times[0]) > limitWindow {
			times = times[1:]
		}
		if len(times) > most {
			most, at = len(times), a.at
		}
	}
	return most, at
}

// toldHost is one process of a host.
type toldHost struct {
	host *host
	life int
}

// toldHosts is when each host first passed on an answer that names the limit.
func (s *soak) toldHosts(span span) map[toldHost]time.Time {
	told := make(map[toldHost]time.Time)
	for _, a := range span.arrivals {
		sent := s.sender(a)
		if sent == nil || !sent.sameLife || !sent.served() || !s.answeredBy(a) {
			continue
		}
		key := toldHost{sent.host, sent.life}
		if first, known := told[key]; !known || sent.done.Before(first) {
			told[key] = sent.done
		}
	}
	return told
}

// isExcused reports whether a host was disturbed shortly before it sent a request: a restart,
// pause or cut excuses it.
func (s *soak) isExcused(h *host, at time.Time) bool {
	troubles := h.disturbedBy(at.Add(-limitCounts), at)
	return troubles[kindPause] || troubles[kindKill] || troubles[kindPlannedStop] || troubles[kindPeerCut]
}
