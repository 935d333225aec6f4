package policy

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/world"
)

// outOfUse is the time without a request of this data centre after which a server is told of as
// out of use.
const outOfUse = 2 * time.Second

// WhyUnused is what speaks against requests to a server that gets none. Reports of the server's
// own are named as availability.Reason names them.
type WhyUnused string

// What speaks against requests, the first that holds.
const (
	UnusedPath        WhyUnused = "path"         // this host cannot reach it
	UnusedFailure     WhyUnused = "failure"      // a request failed there a moment ago
	UnusedSilence     WhyUnused = "silence"      // requests wait there for longer than usual
	UnusedBelief      WhyUnused = "belief"       // it is believed to fail
	UnusedNoObjection WhyUnused = "no-objection" // nothing: other servers cost less, or there are too few requests
)

// UseChange is a server that has fallen out of use, or is in use again.
type UseChange struct {
	Service string
	Server  string
	InUse   bool
	// Idle is for how long no host of the data centre had sent it a request.
	Idle time.Duration
	// Why, Belief, Troubled and Limited are set for one that has fallen out of use: the belief
	// that it fails, and whether many requests of the service are unserved, or refused beyond
	// their customers' limits.
	Why      WhyUnused
	Belief   float64
	Troubled bool
	Limited  bool
}

// usageWatch is what UseChanges has seen of a server.
type usageWatch struct {
	since  time.Time // when it was first looked at
	unused bool
}

// UseChanges looks at the servers of req.DataCentre in this host's subset of a service, and
// returns those that have fallen out of use or are in use again since it was last called. While
// there are fewer requests than servers there are none: some must be out of use.
func (t *Table) UseChanges(now time.Time, view *world.ServiceView, req Request) []UseChange {
	svc, known := t.services[req.Service]
	if !known || svc.recentRequests(now) < countLocalServers(view, req.DataCentre) {
		return nil
	}
	var changes []UseChange
	servers := view.Candidates()
	for i := range servers {
		b := &servers[i]
		s, known := t.servers[key{req.Service, b.ID}]
		if !known || b.DataCentre != req.DataCentre {
			continue
		}
		if !s.updateUsage(now) {
			continue
		}
		change := UseChange{Service: req.Service, Server: b.ID, InUse: !s.watch.unused, Idle: s.idle(now)}
		if s.watch.unused {
			change.Why = s.reasonUnused(now, svc, b, req)
			change.Belief = s.belief(now, svc)
			change.Troubled = svc.isDegraded(now)
			change.Limited = svc.isHeavilyLimited(now)
		}
		changes = append(changes, change)
	}
	return changes
}

// recentRequests counts those of this data centre that have ended of late.
func (svc *service) recentRequests(now time.Time) int {
	return svc.served.sum(now, outcomeWindow) + svc.unserved.sum(now, outcomeWindow) + svc.limited.sum(now, outcomeWindow)
}

// countLocalServers counts the servers of this data centre in a host's subset, 1 at the least.
func countLocalServers(view *world.ServiceView, dataCentre string) int {
	count := 0
	for _, b := range view.Candidates() {
		if b.DataCentre == dataCentre {
			count++
		}
	}
	return max(count, 1)
}

// updateUsage notes whether the server is out of use, and reports whether that is new.
func (s *server) updateUsage(now time.Time) bool {
	if s.watch.since.IsZero() {
		s.watch.since = now
	}
	unused := s.idle(now) >= outOfUse
	changed := unused != s.watch.unused
	s.watch.unused = unused
	return changed
}

// idle is for how long the server has had no request, as far as it was looked at.
func (s *server) idle(now time.Time) time.Duration {
	since := s.lastSent
	if since.Before(s.watch.since) {
		since = s.watch.since
	}
	return now.Sub(since)
}

func (s *server) reasonUnused(now time.Time, svc *service, b *world.BackendView, req Request) WhyUnused {
	reported := req.reason(b)
	switch {
	case !reported.TakesRequests():
		return WhyUnused(reported.String())
	case now.Before(s.pathUntil):
		return UnusedPath
	case now.Sub(s.failedAt) <= failureCooldown:
		return UnusedFailure
	case s.unansweredLogOdds(now, svc) > overdueLogOdds:
		return UnusedSilence
	case s.belief(now, svc) >= failingThreshold:
		return UnusedBelief
	default:
		return UnusedNoObjection
	}
}
