// Package crosszone counts the bytes that a host exchanges with other data centres, by kind. Traffic
// between data centres is expensive, and the counts show which kind causes it.
package crosszone

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/pearshelf/pearshelf/internal/logging"
)

// Kinds of bytes, besides those of datagrams, which are the lower-case names of their kinds.
const (
	Document       = "document"        // documents and changes to them, sent to other hosts
	Comparison     = "comparison"      // states and digests, sent to other hosts
	Claim          = "claim"           // idempotency keys, sent to other hosts
	Relay          = "relay"           // requests sent to other hosts
	RelayAnswer    = "relay_answer"    // responses received from other hosts
	ServerRequest  = "server_request"  // requests sent to backend servers
	ServerResponse = "server_response" // responses received from backend servers
)

const (
	// CallBytes is what the header of a call to another host takes in each direction, which is
	// counted beside its message.
	CallBytes = 200
	// LogInterval is the interval of log lines.
	LogInterval = 10 * time.Second
)

// Counter counts bytes by kind. The zero value is ready for use.
type Counter struct {
	mu      sync.Mutex
	bytes   map[string]uint64
	pending map[pendingKey]int
}

// pendingKey identifies bytes whose data centre is not known yet.
type pendingKey struct{ address, kind string }

// maxPending bounds the bytes whose data centre is not known yet: a starting host sends to known hosts
// before it has heard of them.
const maxPending = 4096

// AddPending counts bytes to an address whose data centre is not known yet; see Resolve.
func (c *Counter) AddPending(address, kind string, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		c.pending = make(map[pendingKey]int)
	}
	if key := (pendingKey{address, kind}); len(c.pending) < maxPending || c.pending[key] > 0 {
		c.pending[key] += bytes
	}
}

// Resolve counts the pending bytes to addresses that are now known to be in another data centre, and
// forgets those to addresses of this one.
func (c *Counter) Resolve(lookup func(address string) (far, known bool)) {
	c.mu.Lock()
	pending := c.pending
	c.pending = nil
	c.mu.Unlock()
	for key, bytes := range pending {
		far, known := lookup(key.address)
		switch {
		case far:
			c.Add(key.kind, bytes)
		case !known:
			c.AddPending(key.address, key.kind, bytes)
		}
	}
}

// Add counts bytes of a kind.
func (c *Counter) Add(kind string, bytes int) {
	if bytes <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bytes == nil {
		c.bytes = make(map[string]uint64)
	}
	c.bytes[kind] += uint64(bytes)
}

// Totals returns the bytes since the start, by kind.
func (c *Counter) Totals() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.bytes)
}

// Run logs what was added in each LogInterval until ctx ends, and then the rest. An interval without any
// bytes gets no line.
func (c *Counter) Run(ctx context.Context, dataCentre string, lookup func(address string) (far, known bool)) {
	ticker := time.NewTicker(LogInterval)
	defer ticker.Stop()
	var before map[string]uint64
	for ended := false; !ended; {
		select {
		case <-ctx.Done():
			ended = true
		case <-ticker.C:
		}
		c.Resolve(lookup)
		now := c.Totals()
		if fields := difference(before, now); len(fields) > 0 {
			klog.InfoS(logging.CrossZoneBytes, append([]any{"from", dataCentre}, fields...)...)
		}
		before = now
	}
}

// difference returns the kinds that grew and by how much, as fields of a log line in the order of names.
func difference(before, now map[string]uint64) []any {
	var fields []any
	for _, kind := range sortedKeys(now) {
		if grown := now[kind] - before[kind]; grown > 0 {
			fields = append(fields, kind, grown)
		}
	}
	return fields
}

func sortedKeys(m map[string]uint64) []string { return slices.Sorted(maps.Keys(m)) }
