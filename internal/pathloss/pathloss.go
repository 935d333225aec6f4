// Package pathloss tells a fault of this host's own network path to the backend servers from
// faults of the servers. To a host that does not reach a server both look alike. But servers do not
// become unreachable all at once, so if several in a row cannot be reached, and none has been in
// between, this host's path is the likelier cause.
package pathloss

import "time"

const (
	// minServers is how many different servers must be out of reach. Two servers may well end at
	// the same time.
	minServers = 3
	// failureTTL is how long an unreachable server counts.
	failureTTL = 5 * time.Second
)

// Detector decides whether a host has lost its path to the backend servers. The zero value is a
// host without a loss. It is not safe for concurrent use.
type Detector struct {
	// unreachable holds when servers were last found unreachable, without those before the last
	// time that a server was reached.
	unreachable map[string]time.Time
}

// Reached records that this host has reached a server.
func (d *Detector) Reached() { clear(d.unreachable) }

// Unreachable records that this host could not reach a server.
func (d *Detector) Unreachable(now time.Time, server string) {
	if d.unreachable == nil {
		d.unreachable = make(map[string]time.Time)
	}
	for other, at := range d.unreachable {
		if now.Sub(at) > failureTTL {
			delete(d.unreachable, other)
		}
	}
	d.unreachable[server] = now
}

// Count returns how many servers were found unreachable since one was last reached.
func (d *Detector) Count(now time.Time) int {
	count := 0
	for _, at := range d.unreachable {
		if now.Sub(at) <= failureTTL {
			count++
		}
	}
	return count
}

// IsUnreachable reports whether a server counts as unreachable.
func (d *Detector) IsUnreachable(now time.Time, server string) bool {
	at, found := d.unreachable[server]
	return found && now.Sub(at) <= failureTTL
}

// Lost reports whether this host has lost its path. known is the number of servers that it may use.
func (d *Detector) Lost(now time.Time, known int) bool {
	return known > 0 && d.Count(now) >= min(minServers, known)
}
