package world

import "time"

const (
	// awayAfter is the time without an answer after which the platform counts as away, so that
	// registrations may have lapsed with it.
	awayAfter = 2500 * time.Millisecond
	// lapsesFor is for how long after its return registrations may be missing.
	lapsesFor = 3 * time.Second
)

// PlatformAnswers is when the platform answered this host, or another of the data centre that it
// hears.
type PlatformAnswers struct {
	last time.Time
	// back is when the platform last answered after it had been away.
	back time.Time
}

// Answered notes an answer of the platform.
func (p *PlatformAnswers) Answered(at time.Time) {
	if !at.After(p.last) {
		return
	}
	if !p.last.IsZero() && at.Sub(p.last) >= awayAfter {
		p.back = at
	}
	p.last = at
}

// MayHaveLapsed reports whether registrations may be missing because the platform is or was away.
// So they may where nobody tells of its answers.
func (p *PlatformAnswers) MayHaveLapsed(now time.Time) bool {
	isAway := now.Sub(p.last) >= awayAfter
	wasAway := !p.back.IsZero() && now.Sub(p.back) < lapsesFor
	return p.last.IsZero() || isAway || wasAway
}
