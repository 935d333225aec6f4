package logging

import (
	"sync/atomic"
	"time"
)

// Limit bounds the lines of one kind. Those that are missed are counted, to be told with a
// later line. It is safe for concurrent use.
type Limit struct {
	perSecond int64
	second    atomic.Int64
	lines     atomic.Int64
	missed    atomic.Int64
}

// NewLimit returns a limit of a number of lines in each second.
func NewLimit(perSecond int64) *Limit { return &Limit{perSecond: perSecond} }

// Allows reports whether one more line may be written now.
func (l *Limit) Allows(now time.Time) bool {
	second := now.Unix()
	if l.second.Swap(second) != second {
		l.lines.Store(0)
	}
	if l.lines.Add(1) > l.perSecond {
		l.missed.Add(1)
		return false
	}
	return true
}

// TakeMissed returns how many lines were missed since it was last called.
func (l *Limit) TakeMissed() int64 { return l.missed.Swap(0) }
