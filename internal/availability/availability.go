// Package availability keeps which backend servers get no requests from this host by their own
// reports: those that are leaving, those that have asked for rest (503 with Retry-After), and
// those whose rate limit has no room. One table serves every way in which a request can reach a
// server.
//
// Only what a server told this host itself is kept, and what this host was refused. Other hosts
// learn of leaving and rest from an answer of their own: telling them would save one request a
// host, server and report. Rate limits bind all hosts together: see package ratelimit.
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

// maxServers bounds the servers of which something is kept, 150 bytes each. A host uses
// some hundred servers at the target size (14,000 servers, each used by 8 of 1,100 hosts): a
// release may replace all of them ten times before the first are forgotten. What is
// forgotten is said again with the next answer.
const maxServers = 1024

// ServerOf names the process of a server in a view.
func ServerOf(service string, b *world.BackendView) process.Server {
	return process.Server{Service: service, ID: b.ID, Started: b.Started}
}

// State is what a server has told this host.
type State struct {
	Server process.Server
	// LeavingSince is when it first said that it is leaving, zero if it has not. It holds
	// until its process is gone.
	LeavingSince time.Time
	// RestSince and RestUntil bound the rest that it asked for last, zero for none.
	RestSince time.Time
	RestUntil time.Time
	// NoRoomSince and NoRoomUntil bound the time in which its rate limit has no room, as far
	// as this host knows, zero for none.
	NoRoomSince time.Time
	NoRoomUntil time.Time
	// SaidAt is when it last said either, CheckedAt when it was last asked whether it is
	// still leaving.
	SaidAt    time.Time
	CheckedAt time.Time
}

// Reason is why a server gets no requests.
type Reason int

// Reasons.
const (
	Available Reason = iota
	// Returning: its rest is over, and it has not answered a request since. It gets one
	// request of this host at a time, which shows whether there is room for more.
	Returning
	// NoRoom: it names a rate limit, and all hosts together have sent what that allows.
	NoRoom
	Resting
	Leaving
)

var reasonNames = [...]string{"available", "returning", "no-room", "resting", "leaving"}

// returnsFor bounds the time after a rest in which a server is Returning: one that then
// leaves the only request unanswered is no longer a matter of its rest.
const returnsFor = 2 * time.Second

// String returns the name that logs have.
func (r Reason) String() string { return reasonNames[r] }

// TakesRequests reports whether a server may be sent a request at all.
func (r Reason) TakesRequests() bool { return r == Available || r == Returning }

// ReasonAt returns why the server gets no requests at a time.
func (s State) ReasonAt(now time.Time) Reason {
	switch {
	case !s.LeavingSince.IsZero():
		return Leaving
	case now.Before(s.RestUntil):
		return Resting
	case now.Before(s.NoRoomUntil):
		return NoRoom
	case now.Before(s.RestUntil.Add(returnsFor)):
		return Returning
	default:
		return Available
	}
}

// takesAgainAt is when a server that does not leave takes requests again.
func (s State) takesAgainAt() time.Time {
	if s.RestUntil.After(s.NoRoomUntil) {
		return s.RestUntil
	}
	return s.NoRoomUntil
}

// Table is what the servers have told this host. It is safe for concurrent use.
type Table struct {
	clock func() time.Time

	mu   sync.Mutex // held by writers
	view atomic.Pointer[view]
}

// view is an immutable copy of the table: it is read for each server of each pick, and
// changes when a server says something new.
type view map[process.Key]State

// NewTable returns an empty table. clock must go on while the machine is suspended: servers
// do not wait for it.
func NewTable(clock func() time.Time) *Table {
	t := &Table{clock: clock}
	t.view.Store(&view{})
	return t
}

// Change is what a server's report changed.
type Change struct {
	// BeganLeaving and BeganRest are set with the first such report; one that is repeated
	// or prolonged changes neither.
	BeganLeaving bool
	BeganRest    bool
	// Returned is set with the first answer after a rest that asks for no further one.
	Returned bool
}

// Learn takes what a server said of itself in an answer that has just arrived.
func (t *Table) Learn(server process.Server, said protocol.ServerState) Change {
	saysNothing := !said.Leaving && said.Rest == 0
	if _, known := (*t.view.Load())[server.Key()]; saysNothing && !known {
		return Change{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	held, current := t.held(server)
	switch {
	case !current:
		return Change{} // a late answer of a process that has ended
	case saysNothing:
		return t.noteReturn(now, held, server)
	default:
		return t.note(now, held, server, said)
	}
}

// held returns what is held of a server's process, nothing if that is of an earlier one. It
// reports false if a later process is known.
func (t *Table) held(server process.Server) (State, bool) {
	held, known := (*t.view.Load())[server.Key()]
	switch {
	case !known:
		return State{}, true
	case server.IsNewerThan(held.Server):
		return State{Server: held.Server}, true
	default:
		return held, !held.Server.IsNewerThan(server)
	}
}

// note adds a server's report to what is held of its process.
func (t *Table) note(now time.Time, held State, server process.Server, said protocol.ServerState) Change {
	next := held
	next.Server = server
	next.SaidAt = now
	var change Change
	if said.Leaving && held.LeavingSince.IsZero() {
		next.LeavingSince = now
		change.BeganLeaving = true
	}
	if until := now.Add(said.Rest); said.Rest > 0 && until.After(held.RestUntil) {
		next.RestUntil = until
		if !now.Before(held.RestUntil) {
			next.RestSince = now
			change.BeganRest = true
		}
	}
	t.store(now, next)
	return change
}

// NoteNoRoom keeps requests from a server for a time in which its rate limit has no room.
func (t *Table) NoteNoRoom(server process.Server, length time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	held, current := t.held(server)
	if !current {
		return
	}
	held.Server = server
	if !now.Before(held.NoRoomUntil) {
		held.NoRoomSince = now
	}
	held.NoRoomUntil = now.Add(length)
	t.store(now, held)
}

// noteReturn ends the time after a rest: the server has taken a request again.
func (t *Table) noteReturn(now time.Time, held State, server process.Server) Change {
	if server.IsNewerThan(held.Server) {
		t.remove(held.Server) // what that process said is over
		return Change{}
	}
	if held.RestUntil.IsZero() || now.Before(held.RestUntil) || !held.LeavingSince.IsZero() {
		return Change{}
	}
	t.remove(held.Server)
	return Change{Returned: true}
}

// store publishes a copy of the table with a server's new state.
func (t *Table) store(now time.Time, state State) {
	next := maps.Clone(*t.view.Load())
	next[state.Server.Key()] = state
	if len(next) > maxServers {
		next.shrink(now)
	}
	t.view.Store(&next)
}

// shrink drops what is over, and if that is not enough the state that was told longest ago.
func (v view) shrink(now time.Time) {
	var oldest *State
	for k, s := range v {
		if s.ReasonAt(now) == Available {
			delete(v, k)
		} else if oldest == nil || s.SaidAt.Before(oldest.SaidAt) {
			oldest = &s
		}
	}
	if len(v) > maxServers {
		delete(v, oldest.Server.Key())
	}
}

const (
	// recheckAfter is how long a server has been leaving before it is asked whether it still
	// is, recheckEvery the least time between two questions. Servers that leave are gone some
	// seconds later; one that is there after a minute may have said so wrongly, or have
	// started again where nothing tells its starts apart.
	recheckAfter = time.Minute
	recheckEvery = 15 * time.Second
	// recheckPerHost keeps the questions of all hosts together at one a second.
	recheckPerHost = time.Second
	// recheckAtOnce bounds the questions of one round.
	recheckAtOnce = 4
)

// TakeRechecks returns servers that must be asked whether they are still leaving, and notes
// that they are. hosts is how many hosts there are: each may have been told.
func (t *Table) TakeRechecks(hosts int) []process.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	every := max(recheckEvery, time.Duration(hosts)*recheckPerHost)
	var due []process.Server
	for _, s := range *t.view.Load() {
		if !s.LeavingSince.IsZero() && now.Sub(s.LeavingSince) >= recheckAfter && now.Sub(s.CheckedAt) >= every && len(due) < recheckAtOnce {
			due = append(due, s.Server)
			s.CheckedAt = now
			t.store(now, s)
		}
	}
	return due
}

// Forget drops what a server's process has said, because it says otherwise now.
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

// Of returns why a server gets no requests now, and what it has said.
func (t *Table) Of(server process.Server) (Reason, State) { return t.Now().Of(server) }

// Moment is the table at one moment.
type Moment struct {
	now  time.Time
	view view
}

// Now returns the table as it is.
func (t *Table) Now() Moment {
	v := *t.view.Load()
	if len(v) == 0 {
		return Moment{} // nothing has been said: nothing depends on the time
	}
	return Moment{now: t.clock(), view: v}
}

// Nothing reports whether no server has said anything.
func (m Moment) Nothing() bool { return len(m.view) == 0 }

// Of returns why a server gets no requests at this moment, and what it has said.
func (m Moment) Of(server process.Server) (Reason, State) {
	if len(m.view) == 0 {
		return Available, State{}
	}
	held, known := m.view[server.Key()]
	if !known || server.IsNewerThan(held.Server) {
		return Available, State{}
	}
	return held.ReasonAt(m.now), held
}

// Absence is why none of a set of servers takes requests.
type Absence struct {
	// Reason is why the first that will take requests again takes none now, Leaving if all
	// are leaving.
	Reason Reason
	// Left is the time until the first of them does, 0 if all are leaving.
	Left time.Duration
}

// AbsenceOf returns why none of a service's servers takes requests; false if one does, or
// if there are none.
func (m Moment) AbsenceOf(service string, servers []world.BackendView) (Absence, bool) {
	absence := Absence{Reason: Leaving}
	for i := range servers {
		reason, state := m.Of(ServerOf(service, &servers[i]))
		if reason.TakesRequests() {
			return Absence{}, false
		}
		left := state.takesAgainAt().Sub(m.now)
		if reason != Leaving && (absence.Reason == Leaving || left < absence.Left) {
			absence = Absence{Reason: reason, Left: left}
		}
	}
	return absence, len(servers) > 0
}

// All returns the servers that get no requests at this moment, in no order.
func (m Moment) All() []State {
	var all []State
	for _, s := range m.view {
		if !s.ReasonAt(m.now).TakesRequests() {
			all = append(all, s)
		}
	}
	return all
}

// Time is the moment's time by the table's clock, zero if nothing has been said.
func (m Moment) Time() time.Time { return m.now }
