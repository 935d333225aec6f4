package protocol

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

// headerRetryAfter is defined in RFC 9110, section 10.2.3. Platforms may also allow
// fractions of a second.
const headerRetryAfter = "Retry-After"

// maxRetryAfter caps the time that a server may ask for. It is far longer than a server needs
// for its load to fall, and prevents an overflow for very large values.
const maxRetryAfter = 24 * time.Hour

// ServerState is the state that a backend server reports in one response.
type ServerState struct {
	// Leaving is set if the server accepts no new requests.
	Leaving bool
	// Rest is how long the server wants no requests from this host, or 0 if not reported.
	Rest time.Duration
	// Limit is the rate of requests that the server accepts from all hosts together.
	Limit RateLimit
	// Load is the server's load, or nil if not reported.
	Load *Load
}

// RateLimit is the rate limit that a backend server announces. The zero value stands for a
// response without a limit.
type RateLimit struct {
	// Named is set if the response carries a valid limit.
	Named bool
	// PerSecond is the number of requests per second that the server accepts from all hosts
	// together.
	PerSecond float64
	// Invalid is the quoted value that cannot be parsed, or empty. Such a response states
	// neither that there is a limit nor that there is none.
	Invalid string
}

// maxLimit caps announced limits, so that absurd values do not distort sums. No server accepts
// that many requests per second.
const maxLimit = 1e6

// ReadServerState decodes the state that a backend server reports in a response. Values that
// cannot be parsed count as not reported, except that an invalid rate limit is returned in
// RateLimit.Invalid. A Retry-After date is taken relative to now.
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
		state.Limit = parseLimit(h.Values(p.Limit))
	}
	if load, ok := p.ParseLoad(h.Get(p.Load)); ok {
		state.Load = &load
	}
	return state
}

// parseLimit returns the lowest of the limits in a response. A single value that cannot be
// parsed invalidates all of them.
func parseLimit(values []string) RateLimit {
	limit := RateLimit{}
	for _, value := range values {
		perSecond, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsInf(perSecond, 0) || !(perSecond >= 0) { // also true for NaN
			return RateLimit{Invalid: strconv.Quote(value)}
		}
		perSecond = math.Min(perSecond, maxLimit)
		if !limit.Named || perSecond < limit.PerSecond {
			limit = RateLimit{Named: true, PerSecond: perSecond}
		}
	}
	return limit
}

// parseRetryAfter parses a Retry-After value, in seconds or as a date, and caps it to the
// range from 0 to maxRetryAfter. It returns 0 for a value that cannot be parsed.
func parseRetryAfter(now time.Time, value string) time.Duration {
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil && !math.IsInf(seconds, 1) {
		date, err := http.ParseTime(value)
		if err != nil {
			return 0
		}
		seconds = date.Sub(now).Seconds()
	}
	if !(seconds > 0) { // also true for NaN
		return 0
	}
	return time.Duration(math.Min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}
