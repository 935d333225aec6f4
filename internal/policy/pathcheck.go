package policy

import (
	"cmp"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/world"
)

// A host opens connections to servers to find out whether it reaches them: to a server that leaves a
// request unanswered for long, to other servers after a failed connection, and to one server after
// the other while the path is lost.
const (
	// pathCheckLogOdds is the evidence of a waiting request, in log odds, from which on a
	// connection to its server is opened. A lower value opens more connections in normal operation.
	pathCheckLogOdds = overdueLogOdds
	// maxOverdueRatio limits the time after which a request counts as overdue, in units of the
	// expected latency, for services whose latencies vary widely.
	maxOverdueRatio = 10.0
	// pathWitnesses is how many other servers are checked after a failed connection. Together with
	// the first server they suffice to recognise a loss of the path.
	pathWitnesses = 2
	// witnessInterval is the minimum time between two rounds of such checks.
	witnessInterval = 500 * time.Millisecond
	// lostPathCheckInterval is the time between two checks while the path is lost. It bounds how
	// long the host does not notice that the path is back.
	lostPathCheckInterval = 250 * time.Millisecond
)

// PathCheck is a connection that a host should open to find out whether it reaches a server.
type PathCheck struct {
	Service string
	Server  string // ID
	Address string
	// witness is set for a check of a server that nothing is known against.
	witness bool
}

// witnessRound is a round of checks of servers that nothing is known against. Only if all of them
// fail, the path is lost: a host may also have lost its path to a part of the servers.
type witnessRound struct {
	began   time.Time
	pending int
	reached bool // a check has succeeded
}

// failed reports whether all checks of the round have failed.
func (r witnessRound) failed() bool { return !r.began.IsZero() && r.pending == 0 && !r.reached }

// DuePathChecks returns the checks that are due and, if there are none to be expected before, when
// to ask again; 0 means after the next request. views are the services by name.
func (t *Table) DuePathChecks(now time.Time, views map[string]*world.ServiceView) (due []PathCheck, after time.Duration) {
	if !t.has(MechanismPathChecks) {
		return nil, 0
	}
	t.countServers(views)
	if t.PathLost(now) {
		if wait := t.lostCheckAt.Add(lostPathCheckInterval).Sub(now); wait > 0 {
			return nil, wait
		}
		t.lostCheckAt = now
		return t.chooseLostPathCheck(now, views), lostPathCheckInterval
	}
	due, after = t.overdueChecks(now, views)
	if t.path.Count(now) == 0 || t.witnesses.pending > 0 {
		return due, after
	}
	if wait := t.witnesses.began.Add(witnessInterval).Sub(now); wait > 0 {
		return due, earliest(after, wait)
	}
	checks := t.chooseWitnesses(now, views)
	t.witnesses = witnessRound{began: now, pending: len(checks)}
	return append(due, checks...), after
}

// earliest returns the shorter of two waits, of which 0 stands for none.
func earliest(a, b time.Duration) time.Duration {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// countServers counts the servers that this host may use.
func (t *Table) countServers(views map[string]*world.ServiceView) {
	t.knownServers = 0
	for _, view := range views {
		t.knownServers += len(view.Backends)
	}
}

// overdueChecks returns checks of servers that leave a request of this host unanswered for long,
// each once per request, and how long until the next request is overdue.
func (t *Table) overdueChecks(now time.Time, views map[string]*world.ServiceView) (due []PathCheck, after time.Duration) {
	for _, w := range t.waiting {
		svc := t.service(w.key.service)
		s, known := t.servers[w.key]
		if !known {
			continue
		}
		if left := svc.overdueAfter(w.expected) - now.Sub(w.since); left > 0 {
			after = earliest(after, left)
			continue
		}
		if s.checkedAt.After(w.since) || s.reachedAt.After(w.since) || s.pathFailures > 0 {
			continue
		}
		if check, ok := checkOf(views, w.key); ok {
			s.checkedAt = now
			due = append(due, check)
		}
	}
	return due, after
}

// overdueAfter is the time after which an unanswered request gives the evidence pathCheckLogOdds.
func (svc *service) overdueAfter(expected time.Duration) time.Duration {
	for ratio := 1.0; ratio < maxOverdueRatio; ratio *= ratioStep {
		age := time.Duration(ratio * float64(expected))
		if svc.requestLogOdds(age, expected) >= pathCheckLogOdds {
			return age
		}
	}
	return time.Duration(maxOverdueRatio * float64(expected))
}

// checkOf returns the check of a server, or false if the server has left meanwhile.
func checkOf(views map[string]*world.ServiceView, k key) (PathCheck, bool) {
	view, ok := views[k.service]
	if !ok {
		return PathCheck{}, false
	}
	b := view.Backend(k.backend)
	if b == nil {
		return PathCheck{}, false
	}
	return PathCheck{Service: k.service, Server: b.ID, Address: b.Address}, true
}

// chooseWitnesses returns checks of servers that are not known to be unreachable. Those come first
// that this host has reached most recently, then those that have answered another host.
func (t *Table) chooseWitnesses(now time.Time, views map[string]*world.ServiceView) []PathCheck {
	checks := t.chooseChecks(now, views, pathWitnesses, func(a, b checkCandidate) int {
		return cmp.Or(b.state.reachedAt.Compare(a.state.reachedAt), b.state.answeredAt.Compare(a.state.answeredAt))
	})
	for i := range checks {
		checks[i].witness = true
	}
	return checks
}

// chooseLostPathCheck returns a check of the server that has not been checked for longest.
func (t *Table) chooseLostPathCheck(now time.Time, views map[string]*world.ServiceView) []PathCheck {
	return t.chooseChecks(now, views, 1, func(a, b checkCandidate) int {
		return a.state.checkedAt.Compare(b.state.checkedAt)
	})
}

// checkCandidate is a server that may be checked.
type checkCandidate struct {
	check PathCheck
	state *server
}

// chooseChecks returns checks of the first servers in an order, leaving out those known to be
// unreachable unless the path is lost.
func (t *Table) chooseChecks(now time.Time, views map[string]*world.ServiceView, count int, order func(a, b checkCandidate) int) []PathCheck {
	var all []checkCandidate
	for name, view := range views {
		for _, b := range view.Candidates() {
			k := key{name, b.ID}
			if t.PathLost(now) || !t.path.IsUnreachable(now, k.detectorKey()) {
				check := PathCheck{Service: name, Server: b.ID, Address: b.Address}
				all = append(all, checkCandidate{check, t.state(now, k, &b)})
			}
		}
	}
	slices.SortFunc(all, func(a, b checkCandidate) int {
		return cmp.Or(order(a, b), cmp.Compare(a.check.Server, b.check.Server))
	})
	var checks []PathCheck
	for _, c := range all[:min(count, len(all))] {
		c.state.checkedAt = now
		checks = append(checks, c.check)
	}
	return checks
}
