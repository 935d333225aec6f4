package logging

import (
	"sync/atomic"
	"time"
)

// Limit is a rate limit for log lines of one kind. Suppressed lines are counted
// so that a later line can report their number. It is safe for concurrent use.
type Limit struct {
	perSecond  int64
	second     atomic.Int64
	lines      atomic.Int64
	suppressed atomic.Int64
}

// NewLimit returns a Limit that allows perSecond lines in each second.
func NewLimit(perSecond int64) *Limit { return &Limit{perSecond: perSecond} }

// Allows reports whether a line may be written at now, and counts it.
func (l *Limit) Allows(now time.Time) bool {
	second := now.Unix()
	if l.second.Swap(second) != second {
		l.lines.Store(0)
	}
	if l.lines.Add(1) > l.perSecond {
		l.suppressed.Add(1)
		return false
	}
	return true
}

// TakeMissed returns the number of lines suppressed since the previous call.
func (l *Limit) TakeMissed() int64 { return l.suppressed.Swap(0) }
