// Package availability tracks the backend servers that this host sends no requests for reasons that
// the servers report themselves: servers that are leaving, servers that have asked for a rest (503
// with Retry-After), and servers whose rate limit is used up. One table covers all paths by which a
// request can reach a server.
//
// The table holds only what servers reported to this host and what this host was refused. Other
// hosts learn that a server leaves or rests from an answer of their own; sharing it would save one
// request for each host, server and report. Rate limits apply to all hosts together: see package
// ratelimit.
package availability

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pearshelf/pearshelf/internal/process"
	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/internal/world"
)

// maxServers bounds the servers in the table, of about 150 bytes each. At the target size (14,000
// servers, each used by 8 of 1,100 hosts) a host uses about a hundred servers, and a release may
// replace all of them ten times before the first entries are evicted. An evicted state is
// reported again with the next answer.
const maxServers = 1024

// ServerOf returns the process of a server in a view.
func ServerOf(service string, b *world.BackendView) process.Server {
	return process.Server{Service: service, ID: b.ID, Started: b.Started}
}

// State is what a server has reported to this host.
type State struct {
	Server process.Server
	// LeavingSince is when it first reported that it is leaving, zero if it has not. The
	// report holds for the lifetime of the process.
	LeavingSince time.Time
	// RestSince and RestUntil are the bounds of the last rest it asked for, zero for none.
	RestSince time.Time
	RestUntil time.Time
	// RateLimitedSince and RateLimitedUntil are the bounds of the time in which its rate limit
	// is used up, as far as this host knows, zero for none.
	RateLimitedSince time.Time
	RateLimitedUntil time.Time
	// ReportedAt is the time of its last report of leaving or rest, and CheckedAt when it was last
	// asked whether it is still leaving.
	ReportedAt time.Time
	CheckedAt  time.Time
}

// Reason is why a server gets no requests, or Available.
type Reason int

// Reasons.
const (
	Available Reason = iota
	// Returning: its rest is over, but it has not answered a request since. This host sends it
	// one request at a time, to find out whether it has capacity for more.
	Returning
	// RateLimited: the requests of all hosts together have used up its rate limit.
	RateLimited
	Resting
	Leaving
)

var reasonNames = [...]string{"available", "returning", "no-room", "resting", "leaving"}

// returnPeriod is how long after its rest a server may be Returning. If the one request is still
// unanswered after that, the cause is no longer the rest.
const returnPeriod = 2 * time.Second

// String returns the name of the reason in logs.
func (r Reason) String() string { return reasonNames[r] }

// TakesRequests reports whether a server may be sent any requests: it is Available or Returning.
func (r Reason) TakesRequests() bool { return r == Available || r == Returning }

// ReasonAt returns why the server gets no requests at the given time.
func (s State) ReasonAt(now time.Time) Reason {
	switch {
	case !s.LeavingSince.IsZero():
		return Leaving
	case now.Before(s.RestUntil):
		return Resting
	case now.Before(s.RateLimitedUntil):
		return RateLimited
	case now.Before(s.RestUntil.Add(returnPeriod)):
		return Returning
	default:
		return Available
	}
}

// availableAt returns when a server that is not leaving takes requests again.
func (s State) availableAt() time.Time {
	if s.RestUntil.After(s.RateLimitedUntil) {
		return s.RestUntil
	}
	return s.RateLimitedUntil
}

// Table holds what servers have reported to this host. It is safe for concurrent use.
type Table struct {
	clock func() time.Time

	mu   sync.Mutex // held by writers
	view atomic.Pointer[view]
}

// view is an immutable version of the table. It is read for each server of each pick, and replaced
// when a server reports a change.
type view map[process.Key]State

// NewTable returns an empty table. clock must include the time for which the machine is suspended,
// since servers do not wait for it.
func NewTable(clock func() time.Time) *Table {
	t := &Table{clock: clock}
	t.view.Store(&view{})
	return t
}

// Change is the effect of a server's report.
type Change struct {
	// BeganLeaving and BeganRest are set by the first such report, not by one that repeats or
	// prolongs it.
	BeganLeaving bool
	BeganRest    bool
	// Returned is set by the first answer after a rest that does not ask for another one.
	Returned bool
}

// Record records what a server reported in an answer that has just arrived.
func (t *Table) Record(server process.Server, reported protocol.ServerState) Change {
	noReport := !reported.Leaving && reported.Rest == 0
	if _, known := (*t.view.Load())[server.Key()]; noReport && !known {
		return Change{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	state, current := t.state(server)
	switch {
	case !current:
		return Change{} // late answer of a process that has ended
	case noReport:
		return t.applyAnswer(now, state, server)
	default:
		return t.applyReport(now, state, server, reported)
	}
}

// state returns the state of a server's process, empty if the table holds that of an earlier one.
// It returns false if a later process is known.
func (t *Table) state(server process.Server) (State, bool) {
	state, known := (*t.view.Load())[server.Key()]
	switch {
	case !known:
		return State{}, true
	case server.IsNewerThan(state.Server):
		return State{Server: state.Server}, true
	default:
		return state, !state.Server.IsNewerThan(server)
	}
}

// applyReport adds a server's report to the state of its process.
func (t *Table) applyReport(now time.Time, state State, server process.Server, reported protocol.ServerState) Change {
	next := state
	next.Server = server
	next.ReportedAt = now
	var change Change
	if reported.Leaving && state.LeavingSince.IsZero() {
		next.LeavingSince = now
		change.BeganLeaving = true
	}
	if until := now.Add(reported.Rest); reported.Rest > 0 && until.After(state.RestUntil) {
		next.RestUntil = until
		if !now.Before(state.RestUntil) {
			next.RestSince = now
			change.BeganRest = true
		}
	}
	t.publish(now, next)
	return change
}

// MarkRateLimited marks a server as RateLimited for the given time, because its rate limit is used up.
func (t *Table) MarkRateLimited(server process.Server, length time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	state, current := t.state(server)
	if !current {
		return
	}
	state.Server = server
	if !now.Before(state.RateLimitedUntil) {
		state.RateLimitedSince = now
	}
	state.RateLimitedUntil = now.Add(length)
	t.publish(now, state)
}

// applyAnswer handles an answer without a report: a server that was returning is available.
func (t *Table) applyAnswer(now time.Time, state State, server process.Server) Change {
	if server.IsNewerThan(state.Server) {
		t.remove(state.Server) // reports of the earlier process no longer apply
		return Change{}
	}
	if state.RestUntil.IsZero() || now.Before(state.RestUntil) || !state.LeavingSince.IsZero() {
		return Change{}
	}
	t.remove(state.Server)
	return Change{Returned: true}
}

// publish replaces the view by a copy with a server's new state.
func (t *Table) publish(now time.Time, state State) {
	next := maps.Clone(*t.view.Load())
	next[state.Server.Key()] = state
	if len(next) > maxServers {
		next.evict(now)
	}
	t.view.Store(&next)
}

// evict removes states that have expired and, if there are still too many, the one whose last
// report is the oldest.
func (v view) evict(now time.Time) {
	var oldest *State
	for k, s := range v {
		if s.ReasonAt(now) == Available {
			delete(v, k)
		} else if oldest == nil || s.ReportedAt.Before(oldest.ReportedAt) {
			oldest = &s
		}
	}
	if len(v) > maxServers {
		delete(v, oldest.Server.Key())
	}
}

const (
	// recheckDelay is how long a server has been leaving before it is asked whether it still
	// is, and recheckInterval the minimum time between two checks. Servers that leave
	// terminate within seconds. One that is still there after a minute may have reported it
	// in error, or may have restarted without a start time to tell the processes apart.
	recheckDelay    = time.Minute
	recheckInterval = 15 * time.Second
	// recheckIntervalPerHost limits the checks of all hosts together to one a second.
	recheckIntervalPerHost = time.Second
	// maxRechecks bounds the checks of one round.
	maxRechecks = 4
)

// ClaimRechecks returns the servers to be asked whether they are still leaving, and marks them as
// checked. hosts is the number of hosts, since each of them may have received the report.
func (t *Table) ClaimRechecks(hosts int) []process.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	every := max(recheckInterval, time.Duration(hosts)*recheckIntervalPerHost)
	var due []process.Server
	for _, s := range *t.view.Load() {
		if !s.LeavingSince.IsZero() && now.Sub(s.LeavingSince) >= recheckDelay && now.Sub(s.CheckedAt) >= every && len(due) < maxRechecks {
			due = append(due, s.Server)
			s.CheckedAt = now
			t.publish(now, s)
		}
	}
	return due
}

// Forget removes the state of a server, because it no longer reports it.
func (t *Table) Forget(server process.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(server)
}

func (t *Table) remove(server process.Server) {
	next := maps.Clone(*t.view.Load())
	delete(next, server.Key())
	t.view.Store(&next)
}

// Of returns why a server gets no requests now, and its state.
func (t *Table) Of(server process.Server) (Reason, State) { return t.Now().Of(server) }

// TableView is a snapshot of the table at a point in time.
type TableView struct {
	now  time.Time
	view view
}

// Now returns a snapshot of the table.
func (t *Table) Now() TableView {
	v := *t.view.Load()
	if len(v) == 0 {
		return TableView{} // empty: no need to read the clock
	}
	return TableView{now: t.clock(), view: v}
}

// Empty reports whether the table is empty.
func (m TableView) Empty() bool { return len(m.view) == 0 }

// Of returns why a server gets no requests at the time of the snapshot, and its state.
func (m TableView) Of(server process.Server) (Reason, State) {
	if len(m.view) == 0 {
		return Available, State{}
	}
	state, known := m.view[server.Key()]
	if !known || server.IsNewerThan(state.Server) {
		return Available, State{}
	}
	return state.ReasonAt(m.now), state
}

// Unavailability is why none of a set of servers takes requests.
type Unavailability struct {
	// Reason is that of the server that will be the first to take requests again, or Leaving if
	// all servers are leaving.
	Reason Reason
	// Remaining is the time until that server takes requests, 0 if all servers are leaving.
	Remaining time.Duration
}

// UnavailabilityOf returns why none of a service's servers takes requests, or false if one does or there
// are no servers.
func (m TableView) UnavailabilityOf(service string, servers []world.BackendView) (Unavailability, bool) {
	absence := Unavailability{Reason: Leaving}
	for i := range servers {
		reason, state := m.Of(ServerOf(service, &servers[i]))
		if reason.TakesRequests() {
			return Unavailability{}, false
		}
		left := state.availableAt().Sub(m.now)
		if reason != Leaving && (absence.Reason == Leaving || left < absence.Remaining) {
			absence = Unavailability{Reason: reason, Remaining: left}
		}
	}
	return absence, len(servers) > 0
}

// All returns the servers that get no requests at the time of the snapshot, in unspecified order.
func (m TableView) All() []State {
	var all []State
	for _, s := range m.view {
		if !s.ReasonAt(m.now).TakesRequests() {
			all = append(all, s)
		}
	}
	return all
}

// Time returns the time of the snapshot by the table's clock, zero if the table is empty.
func (m TableView) Time() time.Time { return m.now }
