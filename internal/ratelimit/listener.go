package ratelimit

import (
	"sync"
	"time"

	"github.com/pearshelf/pearshelf/internal/process"
	"github.com/pearshelf/pearshelf/internal/protocol"
)

// Kind is what is new in a report.
type Kind int

// Kinds of reports.
const (
	// Began: the server had no limit.
	Began Kind = iota
	// Changed: it had another one.
	Changed
	// Repeated: it still has it, and would soon be forgotten.
	Repeated
	// Ended: the server names no limit any more.
	Ended
)

// Report is something that all hosts must be told of a server's limit.
type Report struct {
	Kind      Kind
	Server    process.Server
	PerSecond float64
	// Before is the limit that was held, in requests a second; for Changed and Ended.
	Before float64
	// Since is when a host first heard of a limit of the server.
	Since time.Time
}

const (
	// onItsWay is for how long a report that was told is not told again while the view
	// does not have it yet.
	onItsWay = 300 * time.Millisecond
	// maxRemembered bounds what a listener remembers of reports and of values that cannot be read.
	maxRemembered = 1024
)

// Listener decides which answers of servers say something of their limits that all hosts must
// be told. It is safe for concurrent use.
type Listener struct {
	mu         sync.Mutex
	told       map[process.Key]told
	unreadable map[process.Key]bool
}

// told is the report about a server that was told last.
type told struct {
	report Report
	at     time.Time
}

// NewListener returns a listener that has heard nothing.
func NewListener() *Listener {
	return &Listener{told: make(map[process.Key]told), unreadable: make(map[process.Key]bool)}
}

// Hear takes what an answer says whose request was sent at a time, and returns what all hosts
// must be told; false for nothing.
func (l *Listener) Hear(now time.Time, view *View, server process.Server, sentAt time.Time, said protocol.RateLimit) (Report, bool) {
	held, known := view.Named(server.Key())
	if !known && !said.Named || said.Unreadable != "" {
		return Report{}, false
	}
	report, isNew := compare(now, held, known, server, sentAt, said)
	if !isNew || report.Kind == Began && view.isFull() {
		return Report{}, false
	}
	return report, l.isUntold(now, report)
}

// compare returns what an answer says that is not held yet.
func compare(now time.Time, held Limit, known bool, server process.Server, sentAt time.Time, said protocol.RateLimit) (Report, bool) {
	began := Report{Kind: Began, Server: server, PerSecond: said.PerSecond, Since: now}
	switch {
	case !known:
		return began, said.Named
	case held.Server.IsNewerThan(server):
		return Report{}, false // a late answer of a process that has ended
	case server.IsNewerThan(held.Server):
		return began, said.Named // what the earlier process named is over in any case
	case !said.Named:
		// The server may have begun to answer before it had a limit.
		isLater := sentAt.After(held.LearnedAt)
		return Report{Kind: Ended, Server: server, Before: held.PerSecond}, isLater && now.Sub(held.LearnedAt) >= leastHold
	case held.isAbout(said.PerSecond):
		return Report{Kind: Repeated, Server: server, PerSecond: held.PerSecond, Since: held.Since}, held.Until.Sub(now) < heldFor/2
	default:
		report := Report{Kind: Changed, Server: server, PerSecond: said.PerSecond, Before: held.PerSecond, Since: held.Since}
		return report, said.PerSecond < held.PerSecond || now.Sub(held.LearnedAt) >= leastHold
	}
}

// isUntold reports whether a report has not been told just now, and notes that it is.
func (l *Listener) isUntold(now time.Time, report Report) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := report.Server.Key()
	last, known := l.told[key]
	if known && now.Sub(last.at) < onItsWay && last.report.Kind == report.Kind && last.report.PerSecond <= report.PerSecond {
		return false
	}
	if len(l.told) >= maxRemembered {
		clear(l.told)
	}
	l.told[key] = told{report, now}
	return true
}

// FirstUnreadable reports whether this is the first value of a server that cannot be read.
func (l *Listener) FirstUnreadable(server process.Server) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreadable[server.Key()] {
		return false
	}
	if len(l.unreadable) >= maxRemembered {
		clear(l.unreadable)
	}
	l.unreadable[server.Key()] = true
	return true
}
