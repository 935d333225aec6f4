package quota

import (
	"hash/fnv"
	"math"
	"time"

	"github.com/pearshelf/pearshelf/internal/customer"
)

// A host that cannot reach a customer's home knows neither what the others let through nor how
// much of its own share the requests that reach it will use. With callers that choose a host for
// each request, a host gets far less than one request of most customers in a window, and a
// bucket filled by the host's share has its first token long after the request. Where a deployment
// names a tolerance, such a host therefore starts with tokens of its part of the tolerance.

const (
	// fallbackPart is the part of a tolerance that separated hosts may use. The rest is kept for
	// credits in use while a partition begins or ends.
	fallbackPart = 0.7
	// separatedPart is the largest part of the fleet that is assumed to be separated from all
	// others at a time. A larger one divides the same tokens among more hosts.
	separatedPart = 0.5
	// largestSurge is how many times its limit a customer is assumed to send at most. Of a
	// customer with a small limit, fewer hosts than are separated get any request in a window.
	largestSurge = 4.0
	// reserveBelow is the rate of a host's share, in tokens a second, from which on its home can be
	// relied on: after a partition that home soon has a token for the host. The reserves of many
	// hosts beside it exceeded the limit of a customer that sent many times its usual rate.
	reserveBelow = 0.5
)

// usesTolerance reports whether hosts may exceed limits by a tolerance.
func (t *Table) usesTolerance() bool { return t.rule.Tolerance.named() && t.rule.AccruesFallback }

// isAlone reports whether this host has recently lost all others. Being the home of every customer
// then, it has nobody to share a bucket with and continues with its share of each limit.
func (t *Table) isAlone(now time.Time) bool {
	return t.usesTolerance() && len(t.fleet.Homes) <= 1 && t.fleet.PeakSize > 1 && now.Sub(t.fleetChangedAt) < shareRetention
}

// reserve returns the tokens with which a separated host starts. They may be less than one:
// see phase. A host with a large share of a customer's requests gets as large a part: then few
// hosts serve that customer.
func (t *Table) reserve(s *customerState) float64 {
	x, limit := t.rule.Tolerance, s.limit
	hosts := separatedPart * math.Max(float64(t.fleet.PeakSize), 1)
	asking := separatedPart * x.Window.Seconds() * largestSurge * limit.PerSecond
	free := fallbackPart*x.of(limit) + separatedPart*limit.Burst
	part := math.Max(1/math.Max(math.Min(hosts, asking), 1), s.share/separatedPart)
	return math.Min(free*part, t.rule.MinFallbackBurst)
}

// fallbackBurst returns the minimum capacity of the bucket of a host in fallback whose share brings
// perSecond tokens. If the home of a customer dies that sends far beyond its limit, all hosts
// empty their buckets at the same time; these must not add up to more than the tolerance.
func (t *Table) fallbackBurst(limit customer.Limit, perSecond float64) float64 {
	if !t.usesTolerance() || !t.fleet.Settled || perSecond < reserveBelow {
		return t.rule.MinFallbackBurst
	}
	each := fallbackPart * t.rule.Tolerance.of(limit) / math.Max(float64(t.fleet.PeakSize), 1)
	return math.Min(math.Max(each, 1), t.rule.MinFallbackBurst)
}

// phase returns a number from 0 to 1 that differs by host and customer. Hosts whose reserve is part
// of a token start with it in addition, so that as many of them have a whole token as the reserves
// add up to.
func (t *Table) phase(name string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(t.self + "/" + name))
	// FNV mixes the last bytes too little into the high bits.
	sum := h.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	return float64(sum>>11) / (1 << 53)
}

// isSeparated reports whether this host reaches less than half of the fleet. The home that it asks
// then knows only what the hosts of a minority let through, and starts with few tokens. If the
// majority used reserves as well, all hosts together would exceed the tolerance.
func (t *Table) isSeparated() bool { return t.fleet.reachableShare() < 0.5 }

// takeReserve takes a token of this host's reserve for a request that its home refuses and may
// refuse wrongly.
func (t *Table) takeReserve(now time.Time, s *customerState) bool {
	if !t.usesTolerance() || !t.fleet.Settled || !t.isSeparated() {
		return false
	}
	if s.limit.PerSecond*t.fallbackShare(now, s) >= reserveBelow {
		return false
	}
	t.startReserve(now, s)
	return s.fallback.take()
}

// startReserve updates the reserve at the start of a separation, before which it regains at the
// host's share what it had at the start. While the home of a minority answers, the reserve regains
// nothing, since that home distributes the share.
func (t *Table) startReserve(now time.Time, s *customerState) (start float64) {
	start = t.reserve(s)
	if start < 1 {
		start += t.phase(s.name)
	}
	if !s.inFallback {
		s.inFallback = true
		s.fallback.refill(now, s.limit.PerSecond*t.fallbackShare(now, s), start)
	}
	return start
}

// refillWithTolerance updates the bucket of a host that cannot reach the home.
func (t *Table) refillWithTolerance(now time.Time, s *customerState, perSecond, share float64) {
	start := t.startReserve(now, s)
	s.fallback.refill(now, perSecond, math.Max(start, math.Max(capacity(s.limit)*share, 1)))
}
