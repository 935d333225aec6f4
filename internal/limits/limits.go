// Package limits bounds each caller's rate. The fleet's limit is divided by
// the number of hosts that dispatch the service, so no state is shared; a
// partition allows at most one full limit on each side.
package limits

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/pearshelf/pearshelf/internal/config"
)

const (
	// idleAfter is how long an unused bucket is kept; longer than any refill.
	idleAfter  = 2 * time.Minute
	sweepEvery = 4096
)

type key struct{ service, caller string }

type bucket struct {
	limiter *rate.Limiter
	used    time.Time
}

// Callers holds a token bucket for each active caller of each service. It is
// safe for concurrent use.
type Callers struct {
	mu      sync.Mutex
	buckets map[key]*bucket
	calls   int
}

// NewCallers returns an empty set.
func NewCallers() *Callers {
	return &Callers{buckets: make(map[key]*bucket)}
}

// Allow takes a token for a caller on one of hosts hosts. If there is none it
// returns when there will be one.
func (c *Callers) Allow(now time.Time, service, caller string, limit config.Limit, hosts int) (ok bool, retryAfter time.Duration) {
	if limit.PerSecond <= 0 || caller == "" {
		return true, 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.bucket(now, key{service, caller}, limit, hosts)
	reservation := b.limiter.ReserveN(now, 1)
	if delay := reservation.DelayFrom(now); delay > 0 {
		reservation.CancelAt(now)
		return false, delay
	}
	return true, 0
}

func (c *Callers) bucket(now time.Time, k key, limit config.Limit, hosts int) *bucket {
	share := rate.Limit(limit.PerSecond / float64(hosts))
	burst := max(limit.Burst/hosts, 1)
	b, ok := c.buckets[k]
	if !ok {
		b = &bucket{limiter: rate.NewLimiter(share, burst)}
		c.buckets[k] = b
		c.sweep(now)
	}
	b.used = now
	if b.limiter.Limit() != share || b.limiter.Burst() != burst {
		b.limiter.SetLimitAt(now, share)
		b.limiter.SetBurstAt(now, burst)
	}
	return b
}

func (c *Callers) sweep(now time.Time) {
	c.calls++
	if c.calls%sweepEvery != 0 {
		return
	}
	for k, b := range c.buckets {
		if now.Sub(b.used) > idleAfter {
			delete(c.buckets, k)
		}
	}
}

// Len returns the number of buckets.
func (c *Callers) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.buckets)
}
