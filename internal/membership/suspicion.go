package membership

import (
	"math"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
)

// suspicionTimeout grows with the logarithm of the fleet, as the time a
// refutation needs to arrive does.
func (l *List) suspicionTimeout() time.Duration {
	scale := math.Max(1, math.Log10(float64(len(l.rows.byHost))))
	return time.Duration(float64(l.conf.SuspicionMult) * scale * float64(l.conf.ProbeInterval))
}

// suspectBy is the end of the suspicion that begins with a member's row, zero if none
// does.
func (l *List) suspectBy(now time.Time, m *peerpb.Member) time.Time {
	if m.Liveness != peerpb.Liveness_LIVENESS_SUSPECT {
		return time.Time{}
	}
	return now.Add(l.suspicionTimeout())
}

// expireSuspicions declares suspects dead that did not refute in time.
func (l *List) expireSuspicions(now time.Time) {
	for _, r := range l.rows.suspects {
		if !now.Before(r.suspectBy) {
			l.mark(now, r, peerpb.Liveness_LIVENESS_DEAD)
		}
	}
}

// forgivePause moves all deadlines by the time in which this host did not run,
// so that a late wake-up does not blame others for its own silence.
func (l *List) forgivePause(pause time.Duration) {
	l.probe = nil
	l.awareness.add(1)
	for _, r := range l.rows.suspects {
		r.suspectBy = r.suspectBy.Add(pause)
	}
}

// reap forgets rows that have been dead for long.
func (l *List) reap(now time.Time) {
	if l.rows.live == len(l.rows.byHost) {
		return
	}
	for _, r := range l.rows.byHost {
		if !isLive(r.member) && now.Sub(r.changedAt) >= l.conf.ReapAfter {
			l.rows.remove(r)
		}
	}
}
