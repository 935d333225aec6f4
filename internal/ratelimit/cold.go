package ratelimit

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/process"
)

// A server that has just started, or has become cold again, takes few requests a second from
// all hosts together and ends if it gets many more. That is a rate limit like one that a server
// names, but every host knows it from the list of servers and when it is over.

// Cold is a server that takes few requests for a time.
type Cold struct {
	Server process.Server
	// PerSecond is the requests a second that it takes from all hosts together.
	PerSecond float64
	// Until is when the time is over.
	Until time.Time
}

// WithCold returns the view with the limits of cold servers in place of those that it had.
func (v *View) WithCold(cold []Cold) *View {
	next := &View{cold: make(map[process.Key]Limit, len(cold))}
	if v != nil {
		next.limits = v.limits
	}
	for _, c := range cold {
		next.cold[c.Server.Key()] = Limit{Server: c.Server, PerSecond: c.PerSecond, Until: c.Until}
	}
	return next
}
