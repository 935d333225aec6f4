package membership

import (
	"math"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
)

// suspicionTimeout grows with the logarithm of the fleet size, as does the time that a refutation
// needs to arrive.
func (l *List) suspicionTimeout() time.Duration {
	scale := math.Max(1, math.Log10(float64(len(l.table.byHost))))
	return time.Duration(float64(l.conf.SuspicionMult) * scale * float64(l.conf.ProbeInterval))
}

// suspicionDeadline returns the end of the suspicion that a member's new row starts, or zero if the
// row does not make it a suspect.
func (l *List) suspicionDeadline(now time.Time, m *peerpb.Member) time.Time {
	if m.Liveness != peerpb.Liveness_LIVENESS_SUSPECT {
		return time.Time{}
	}
	return now.Add(l.suspicionTimeout())
}

// expireSuspicions declares suspects dead that did not refute in time.
func (l *List) expireSuspicions(now time.Time) {
	for _, r := range l.table.suspects {
		if !now.Before(r.suspicionDeadline) {
			l.setLiveness(now, r, peerpb.Liveness_LIVENESS_DEAD)
		}
	}
}

// extendDeadlines postpones all suspicion deadlines by the time in which this host did not run, and
// drops the outstanding probe, so that a host that resumes does not blame others for answers that
// it could not receive.
func (l *List) extendDeadlines(gap time.Duration) {
	l.probe = nil
	l.awareness.applyDelta(1)
	for _, r := range l.table.suspects {
		r.suspicionDeadline = r.suspicionDeadline.Add(gap)
	}
}

// reap removes rows that have been dead or left for ReapAfter.
func (l *List) reap(now time.Time) {
	if l.table.live == len(l.table.byHost) {
		return
	}
	for _, r := range l.table.byHost {
		if !isLive(r.member) && now.Sub(r.changedAt) >= l.conf.ReapAfter {
			l.table.remove(r)
		}
	}
}
