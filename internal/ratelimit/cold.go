package ratelimit

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/process"
)

// A server that has just started, or has become cold again, takes few requests a second from all
// hosts together, and terminates if it gets many more. This is enforced like a rate limit that the
// server announces, but needs no reports: each host derives the limit and its end from the list of
// servers.

// ColdServer is a server with a low rate limit during warm-up.
type ColdServer struct {
	Server process.Server
	// PerSecond is the rate limit over all hosts together, in requests a second.
	PerSecond float64
	// Until is the end of the warm-up.
	Until time.Time
}

// WithCold returns a copy of the view in which cold replaces the limits of cold servers.
func (v *View) WithCold(cold []ColdServer) *View {
	next := &View{cold: make(map[process.Key]Limit, len(cold))}
	if v != nil {
		next.limits = v.limits
	}
	for _, c := range cold {
		next.cold[c.Server.Key()] = Limit{Server: c.Server, PerSecond: c.PerSecond, Until: c.Until}
	}
	return next
}
