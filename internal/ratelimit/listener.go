package ratelimit

import (
	"sync"
	"time"

	"github.com/pearshelf/pearshelf/internal/process"
	"github.com/pearshelf/pearshelf/internal/protocol"
)

// Kind is the kind of a change that a report announces.
type Kind int

// Kinds of changes.
const (
	// Began: the server had no limit before.
	Began Kind = iota
	// Changed: the server's limit has a new value.
	Changed
	// Repeated: the limit is unchanged and is renewed before it expires.
	Repeated
	// Ended: the server no longer announces a limit.
	Ended
)

// Report is a change of a server's limit that all hosts must learn of.
type Report struct {
	Kind      Kind
	Server    process.Server
	PerSecond float64
	// Previous is the previous limit in requests a second, for Changed and Ended.
	Previous float64
	// Since is when a host first learned that the server has a limit.
	Since time.Time
}

const (
	// propagationTime is how long a report is not repeated while the view does not include it
	// yet.
	propagationTime = 300 * time.Millisecond
	// maxTracked bounds the number of servers whose last report is stored, and that of servers
	// that are known to have sent an unreadable value.
	maxTracked = 1024
)

// ChangeDetector decides which answers of servers carry a change of their rate limits that all hosts must
// learn of. It is safe for concurrent use.
type ChangeDetector struct {
	mu         sync.Mutex
	lastReport map[process.Key]lastReport
	unreadable map[process.Key]bool
}

// lastReport is the last report about a server.
type lastReport struct {
	report Report
	at     time.Time
}

// NewListener returns a listener without earlier reports.
func NewListener() *ChangeDetector {
	return &ChangeDetector{lastReport: make(map[process.Key]lastReport), unreadable: make(map[process.Key]bool)}
}

// Observe compares the rate limit in an answer with the view and returns the report for all hosts, or
// false if there is nothing to report. sentAt is when the request of the answer was sent.
func (l *ChangeDetector) Observe(now time.Time, view *View, server process.Server, sentAt time.Time, announced protocol.RateLimit) (Report, bool) {
	current, known := view.Named(server.Key())
	if !known && !announced.Named || announced.Invalid != "" {
		return Report{}, false
	}
	report, isNew := compare(now, current, known, server, sentAt, announced)
	if !isNew || report.Kind == Began && view.isFull() {
		return Report{}, false
	}
	return report, l.shouldReport(now, report)
}

// compare returns the change from the current limit to the one in an answer, and whether it is to
// be reported.
func compare(now time.Time, current Limit, known bool, server process.Server, sentAt time.Time, announced protocol.RateLimit) (Report, bool) {
	began := Report{Kind: Began, Server: server, PerSecond: announced.PerSecond, Since: now}
	switch {
	case !known:
		return began, announced.Named
	case current.Server.IsNewerThan(server):
		return Report{}, false // late answer of a process that has ended
	case server.IsNewerThan(current.Server):
		return began, announced.Named // the limit of the earlier process no longer applies
	case !announced.Named:
		// The server may have started to answer before it had a limit.
		isLater := sentAt.After(current.LearnedAt)
		return Report{Kind: Ended, Server: server, Previous: current.PerSecond}, isLater && now.Sub(current.LearnedAt) >= minHold
	case current.isSimilar(announced.PerSecond):
		return Report{Kind: Repeated, Server: server, PerSecond: current.PerSecond, Since: current.Since}, current.Until.Sub(now) < limitTTL/2
	default:
		report := Report{Kind: Changed, Server: server, PerSecond: announced.PerSecond, Previous: current.PerSecond, Since: current.Since}
		return report, announced.PerSecond < current.PerSecond || now.Sub(current.LearnedAt) >= minHold
	}
}

// shouldReport records a report and returns false if the same change was reported just now. A
// lower value is always reported.
func (l *ChangeDetector) shouldReport(now time.Time, report Report) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := report.Server.Key()
	last, known := l.lastReport[key]
	if known && now.Sub(last.at) < propagationTime && last.report.Kind == report.Kind && last.report.PerSecond <= report.PerSecond {
		return false
	}
	if len(l.lastReport) >= maxTracked {
		clear(l.lastReport)
	}
	l.lastReport[key] = lastReport{report, now}
	return true
}

// FirstUnreadable reports whether a server has sent an unreadable value for the first time.
func (l *ChangeDetector) FirstUnreadable(server process.Server) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreadable[server.Key()] {
		return false
	}
	if len(l.unreadable) >= maxTracked {
		clear(l.unreadable)
	}
	l.unreadable[server.Key()] = true
	return true
}
