package replay

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/protocol"
)

const (
	// drainLimit is how long after a host has passed on an answer that says that the
	// server leaves requests may still reach it from there, by the users' rule.
	drainLimit = 2 * time.Second
	// restBegins is how long after a request for rest the rest counts, and restAllows how
	// many requests of a host may reach the server in it, by the users' rule.
	restBegins = 500 * time.Millisecond
	restAllows = 2
)

// saidKey is what one server said to one host.
type saidKey struct{ host, server string }

type saidState struct {
	leavingSince time.Duration // 0 for not
	restFrom     time.Duration
	restUntil    time.Duration
	arrivals     int // in this rest
}

// saidCheck holds what reaches servers against what they said of themselves.
type saidCheck struct {
	states map[saidKey]*saidState
	// afterLeaving counts requests that came later than drainLimit, inRest the most that
	// came from one host in one rest, overRest the rests with more than restAllows.
	afterLeaving int
	inRest       int
	overRest     int
}

// answered takes an answer that has reached its host.
func (c *saidCheck) answered(now time.Duration, host, server string, said protocol.ServerState) {
	if !said.Leaving && said.Rest == 0 {
		return
	}
	key := saidKey{host, server}
	s, known := c.states[key]
	if !known {
		s = &saidState{}
		c.states[key] = s
	}
	if said.Leaving && s.leavingSince == 0 {
		s.leavingSince = now
	}
	if until := now + said.Rest; said.Rest > 0 && now >= s.restUntil {
		s.restFrom, s.restUntil, s.arrivals = now+restBegins, until, 0
	} else if said.Rest > 0 {
		s.restUntil = max(s.restUntil, until)
	}
}

// arrived takes a request that has come to a server.
func (c *saidCheck) arrived(now time.Duration, host, server string) {
	s, known := c.states[saidKey{host, server}]
	if !known {
		return
	}
	if s.leavingSince > 0 && now-s.leavingSince > drainLimit {
		c.afterLeaving++
	}
	if now < s.restFrom || now >= s.restUntil {
		return
	}
	s.arrivals++
	c.inRest = max(c.inRest, s.arrivals)
	if s.arrivals == restAllows+1 {
		c.overRest++
	}
}
