package world

import "time"

const (
	// awayAfter is the time without an answer after which the platform counts as unavailable,
	// so that registrations may have expired during the outage.
	awayAfter = 2500 * time.Millisecond
	// lapsesFor is how long after the end of an outage registrations may still be missing.
	lapsesFor = 3 * time.Second
)

// PlatformAnswers tracks when the platform last answered this host, or another host of the data
// centre that reports it to this one.
type PlatformAnswers struct {
	last time.Time
	// back is when the platform first answered after its last outage.
	back time.Time
}

// Answered records that the platform answered at the given time.
func (p *PlatformAnswers) Answered(at time.Time) {
	if !at.After(p.last) {
		return
	}
	if !p.last.IsZero() && at.Sub(p.last) >= awayAfter {
		p.back = at
	}
	p.last = at
}

// MayHaveLapsed reports whether registrations may be missing because the platform is or was
// recently unavailable. It returns true if no answer has been recorded.
func (p *PlatformAnswers) MayHaveLapsed(now time.Time) bool {
	isAway := now.Sub(p.last) >= awayAfter
	wasAway := !p.back.IsZero() && now.Sub(p.back) < lapsesFor
	return p.last.IsZero() || isAway || wasAway
}
