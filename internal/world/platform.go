package world

import "time"

const (
	// outageAfter is the time without an answer after which the platform counts as unavailable,
	// so that registrations may have expired during the outage.
	outageAfter = 2500 * time.Millisecond
	// recoveryGrace is how long after the end of an outage registrations may still be missing.
	recoveryGrace = 3 * time.Second
)

// PlatformAnswers tracks when the platform last answered this host, or another host of the data
// centre that reports it to this one.
type PlatformAnswers struct {
	lastAnswer time.Time
	// recoveredAt is when the platform first answered after its last outage.
	recoveredAt time.Time
}

// Answered records that the platform answered at the given time.
func (p *PlatformAnswers) Answered(at time.Time) {
	if !at.After(p.lastAnswer) {
		return
	}
	if !p.lastAnswer.IsZero() && at.Sub(p.lastAnswer) >= outageAfter {
		p.recoveredAt = at
	}
	p.lastAnswer = at
}

// RegistrationsMayHaveExpired reports whether registrations may be missing because the platform is or was
// recently unavailable. It returns true if no answer has been recorded.
func (p *PlatformAnswers) RegistrationsMayHaveExpired(now time.Time) bool {
	isDown := now.Sub(p.lastAnswer) >= outageAfter
	recentlyDown := !p.recoveredAt.IsZero() && now.Sub(p.recoveredAt) < recoveryGrace
	return p.lastAnswer.IsZero() || isDown || recentlyDown
}
