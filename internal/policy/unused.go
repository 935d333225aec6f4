package policy

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/world"
)

// outOfUse is the time without a request from this data centre after which a server is reported as
// out of use.
const outOfUse = 2 * time.Second

// UnusedReason is the reason why a server gets no requests. If the server itself reports that it takes
// none, the name is that of its availability.Reason.
type UnusedReason string

// Reasons, in order of precedence.
const (
	UnusedPath        UnusedReason = "path"         // this host cannot connect to it
	UnusedFailure     UnusedReason = "failure"      // a request failed there recently
	UnusedUnanswered  UnusedReason = "silence"      // requests have been waiting there for longer than usual
	UnusedBelief      UnusedReason = "belief"       // it is believed to be failing
	UnusedNoObjection UnusedReason = "no-objection" // none: other servers cost less, or there are too few requests
)

// UseChange reports a server that went out of use, or is in use again.
type UseChange struct {
	Service string
	Server  string
	InUse   bool
	// Idle is how long no host of the data centre has sent the server a request.
	Idle time.Duration
	// Why, Belief, Degraded and Limited are only set for a server that went out of use: the
	// probability that it is failing, and whether many requests of the service are unserved or
	// refused beyond their customers' limits. Accuser is the host that last reported evidence
	// against the server, and Evidence its kind; both are empty if there was none.
	Why      UnusedReason
	Belief   float64
	Degraded bool
	Limited  bool
	// NearLimit is set if nearly a tenth of the service's requests are unserved over all data centres.
	NearLimit bool
	Accuser   string
	Evidence  string
}

// usageWatch is the state of UseChanges for one server.
type usageWatch struct {
	since  time.Time // when the server was first checked
	unused bool
}

// UseChanges checks the servers of req.DataCentre in this host's subset of a service, and returns
// those that went out of use or are in use again since the last call. It returns none while there
// are fewer requests than servers, because then some servers are necessarily out of use.
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
			change.Degraded = svc.isDegraded(now)
			change.NearLimit = svc.isNearLimit(now)
			change.Limited = svc.isHeavilyLimited(now)
			change.Accuser, change.Evidence = s.accused.host, s.accused.evidence
		}
		changes = append(changes, change)
	}
	return changes
}

// recentRequests counts the requests of this data centre that ended within outcomeWindow.
func (svc *service) recentRequests(now time.Time) int {
	return svc.served.sum(now, outcomeWindow) + svc.unserved.sum(now, outcomeWindow) + svc.limited.sum(now, outcomeWindow)
}

// countLocalServers counts the servers of a data centre in a host's subset, and returns at least 1.
func countLocalServers(view *world.ServiceView, dataCentre string) int {
	count := 0
	for _, b := range view.Candidates() {
		if b.DataCentre == dataCentre {
			count++
		}
	}
	return max(count, 1)
}

// updateUsage records whether the server is out of use, and reports whether that has changed.
func (s *server) updateUsage(now time.Time) bool {
	if s.watch.since.IsZero() {
		s.watch.since = now
	}
	unused := s.idle(now) >= outOfUse
	changed := unused != s.watch.unused
	s.watch.unused = unused
	return changed
}

// idle is how long the server has been without a request since it was first checked.
func (s *server) idle(now time.Time) time.Duration {
	since := s.lastSent
	if since.Before(s.watch.since) {
		since = s.watch.since
	}
	return now.Sub(since)
}

func (s *server) reasonUnused(now time.Time, svc *service, b *world.BackendView, req Request) UnusedReason {
	reported := req.reason(b)
	switch {
	case !reported.TakesRequests():
		return UnusedReason(reported.String())
	case now.Before(s.pathUntil):
		return UnusedPath
	case now.Sub(s.failedAt) <= failureCooldown:
		return UnusedFailure
	case s.unansweredLogOdds(now, svc) > overdueLogOdds:
		return UnusedUnanswered
	case s.belief(now, svc) >= failingThreshold:
		return UnusedBelief
	default:
		return UnusedNoObjection
	}
}
