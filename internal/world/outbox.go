package world

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/event"
)

// Probe is a check of a backend server to be made.
type Probe struct {
	Service string
	Backend string
	Address string
	Path    string
	Timeout time.Duration
}

// Fetch is a document to be fetched.
type Fetch struct {
	Key   string
	After uint64
	// Peers are addresses to ask in order.
	Peers []string
	// Platform allows asking the platform if no peer has it.
	Platform bool
}

// Evidence is a report for other hosts.
type Evidence struct {
	To       []string // host names
	Evidence *peerpb.Evidence
}

// Heartbeat is what a host that reads the platform tells the others.
type Heartbeat struct {
	To       []string // host names
	Datagram *peerpb.Datagram
}

// Outbox collects what a tick wants done.
type Outbox struct {
	Events    []event.Event
	Registers []*peerpb.Register
	// Urgent registers also go straight to these hosts.
	Urgent   []Urgent
	Probes   []Probe
	Fetches  []Fetch
	Evidence []Evidence
	// Heartbeats of a reader.
	Heartbeats []Heartbeat
}

// Urgent is a register that should not wait for gossip.
type Urgent struct {
	To       []string // host names
	Register *peerpb.Register
}

// Take returns the content and empties the outbox.
func (o *Outbox) Take() Outbox {
	taken := *o
	*o = Outbox{}
	return taken
}
