package upstream

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"
)

// Liveness is the state of a server whose connection has broken.
type Liveness int

const (
	// LivenessUnknown means that the address did not respond. The network path may
	// be down.
	LivenessUnknown Liveness = iota
	// LivenessAlive means that the address accepts connections.
	LivenessAlive
	// LivenessEnded means that the machine refused the connection: nothing listens at
	// the address.
	LivenessEnded
)

var livenessNames = [...]string{"unknown", "alive", "ended"}

// String returns the name used in logs.
func (l Liveness) String() string { return livenessNames[l] }

const (
	// checkTimeout limits a check. A machine whose server has ended refuses the
	// connection within one round trip, 1 to 8 ms between data centres. No response
	// within the limit means that the path is down.
	checkTimeout = 100 * time.Millisecond
	// checkTTL is how long a result is cached, so that requests whose connections
	// break together share one check. A server takes longer than this to restart.
	checkTTL = 100 * time.Millisecond
	// maxChecks limits the cached results, about 100 bytes each. At the limit, expired
	// results are evicted; if there are none, the new result is not cached.
	maxChecks = 1024
)

// LivenessChecker determines whether servers are still running by connecting to them.
// Concurrent checks of one address share one connection attempt.
type LivenessChecker struct {
	dial func(ctx context.Context, address string) error

	mu     sync.Mutex
	checks map[string]*livenessCheck
}

// livenessCheck is a check in progress, or its cached result once done is closed.
type livenessCheck struct {
	done    chan struct{}
	result  Liveness
	expires time.Time
}

// NewLivenessChecker returns a checker that opens TCP connections with dial.
func NewLivenessChecker(dial DialFunc) *LivenessChecker {
	return &LivenessChecker{
		checks: make(map[string]*livenessCheck),
		dial: func(ctx context.Context, address string) error {
			ctx, cancel := context.WithTimeout(ctx, checkTimeout)
			defer cancel()
			conn, err := dial(ctx, "tcp", address)
			if err == nil {
				conn.Close()
			}
			return err
		},
	}
}

// Check returns the state of the server at address (IP:port), to which a connection has
// just broken. It blocks for one round trip, at most checkTimeout.
func (c *LivenessChecker) Check(address string) Liveness {
	check, first := c.entry(time.Now(), address)
	if first {
		check.result = livenessOf(c.dial(context.Background(), address))
		close(check.done)
	}
	<-check.done
	return check.result
}

// entry returns the check of an address. If first is true, the check is new, and
// its result must be set and its done channel closed.
func (c *LivenessChecker) entry(now time.Time, address string) (entry *livenessCheck, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cached, ok := c.checks[address]; ok && now.Before(cached.expires) {
		return cached, false
	}
	if len(c.checks) >= maxChecks {
		c.evictExpired(now)
	}
	entry = &livenessCheck{done: make(chan struct{}), expires: now.Add(checkTTL)}
	if len(c.checks) < maxChecks {
		c.checks[address] = entry
	}
	return entry, true
}

// evictExpired removes expired results. c.mu must be held.
func (c *LivenessChecker) evictExpired(now time.Time) {
	for address, cached := range c.checks {
		if !now.Before(cached.expires) {
			delete(c.checks, address)
		}
	}
}

func livenessOf(err error) Liveness {
	switch {
	case err == nil:
		return LivenessAlive
	case errors.Is(err, syscall.ECONNREFUSED):
		return LivenessEnded
	default:
		return LivenessUnknown
	}
}
