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
	// Load is how much it has to do, nil for nothing said.
	Load *Load
}

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
	if load, ok := p.ParseLoad(h.Get(p.Load)); ok {
		state.Load = &load
	}
	return state
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
