package balance

import "time"

// A server that hangs shows no failure until a deadline passes. A request that
// takes much longer than usual is therefore weak evidence by itself.
const (
	// stallFactor times the usual time of the service is when a request counts
	// as stalled. Few sound requests take that long.
	stallFactor = 6
	// minPatience and maxPatience bound that time.
	minPatience = time.Second
	maxPatience = 3 * time.Second
	// stallRatio is the likelihood ratio of a stalled request.
	stallRatio = 6.0
)

// Patience is how long a request of a service may take before it is stalled.
func (t *Table) Patience(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return min(max(stallFactor*t.service(service).speed, minPatience), maxPatience)
}

// Stalled notes that the request takes much longer than usual. It is still in
// flight.
func (l *Lease) Stalled() {
	now := time.Now()
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	s, ok := l.table.servers[l.key]
	if !ok {
		return
	}
	s.spell.observe(now, stallRatio)
	s.counts.stalled++
	s.dirty = true
	s.failing = true
	l.table.notify()
}
