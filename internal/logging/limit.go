package logging

import (
	"sync/atomic"
	"time"
)

// LineLimiter is a rate limit for log lines of one kind. Suppressed lines are counted
// so that a later line can report their number. It is safe for concurrent use.
type LineLimiter struct {
	perSecond  int64
	second     atomic.Int64
	lines      atomic.Int64
	suppressed atomic.Int64
}

// NewLineLimiter returns a limiter that allows perSecond lines in each second.
func NewLineLimiter(perSecond int64) *LineLimiter { return &LineLimiter{perSecond: perSecond} }

// Allow reports whether a line may be written at now, and counts it.
func (l *LineLimiter) Allow(now time.Time) bool {
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

// TakeSuppressed returns the number of lines suppressed since the previous call.
func (l *LineLimiter) TakeSuppressed() int64 { return l.suppressed.Swap(0) }
