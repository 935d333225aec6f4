package protocol

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

// headerRetryAfter is RFC 9110, 10.2.3; platforms may allow fractions of a second.
const headerRetryAfter = "Retry-After"

// maxRest bounds the time that a server may ask for. It is far longer than a server waits
// for its load to fall, and keeps absurd values from overflowing.
const maxRest = 24 * time.Hour

// ServerState is what a backend server says of itself in one answer.
type ServerState struct {
	// Leaving: it takes no new work any more.
	Leaving bool
	// Rest is for how long it wants no requests from this host, 0 for nothing said.
	Rest time.Duration
	// Limit is how many requests it takes from all hosts together.
	Limit RateLimit
	// Load is how much it has to do, nil for nothing said.
	Load *Load
}

// RateLimit is what a backend server says of how many requests it takes. The zero value is an
// answer that names no limit.
type RateLimit struct {
	// Named is set if the answer names a limit that can be read.
	Named bool
	// PerSecond is the requests a second that the server takes from all hosts together.
	PerSecond float64
	// Unreadable is a value that cannot be read, empty for none: such an answer says neither
	// that there is a limit nor that there is none.
	Unreadable string
}

// maxLimit keeps absurd values out of sums; no server takes as many requests a second.
const maxLimit = 1e6

// ReadServerState decodes what a backend server says of itself in an answer. Values that
// cannot be read count as nothing said. now is for a Retry-After that names a date.
func (p *Protocol) ReadServerState(now time.Time, status int, h http.Header) ServerState {
	var state ServerState
	if p.Leaving != "" {
		state.Leaving = p.IsLeaving(h.Get(p.Leaving))
	}
	if status == http.StatusServiceUnavailable {
		for _, value := range h.Values(headerRetryAfter) {
			state.Rest = max(state.Rest, parseRetryAfter(now, value))
		}
	}
	if p.Limit != "" {
		state.Limit = readLimit(h.Values(p.Limit))
	}
	if load, ok := p.ParseLoad(h.Get(p.Load)); ok {
		state.Load = &load
	}
	return state
}

// readLimit returns the lowest limit that an answer names. One value that cannot be read
// makes the whole unreadable.
func readLimit(values []string) RateLimit {
	limit := RateLimit{}
	for _, value := range values {
		perSecond, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsInf(perSecond, 0) || !(perSecond >= 0) { // also not a number
			return RateLimit{Unreadable: strconv.Quote(value)}
		}
		perSecond = math.Min(perSecond, maxLimit)
		if !limit.Named || perSecond < limit.PerSecond {
			limit = RateLimit{Named: true, PerSecond: perSecond}
		}
	}
	return limit
}

// parseRetryAfter returns the time that a Retry-After value asks for, between 0 and
// maxRest; 0 for one that cannot be read.
func parseRetryAfter(now time.Time, value string) time.Duration {
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil && !math.IsInf(seconds, 1) {
		date, err := http.ParseTime(value)
		if err != nil {
			return 0
		}
		seconds = date.Sub(now).Seconds()
	}
	if !(seconds > 0) { // also not a number
		return 0
	}
	return time.Duration(math.Min(seconds, maxRest.Seconds()) * float64(time.Second))
}
