package world

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/event"
)

// Probe is a requested health check of a backend server.
type Probe struct {
	Service string
	Backend string
	Address string
	Path    string
	Timeout time.Duration
}

// Fetch is a requested fetch of a document.
type Fetch struct {
	Key   string
	After uint64
	// Peers are the addresses of the hosts to ask, in order.
	Peers []string
	// Platform allows asking the platform if no peer has the document.
	Platform bool
	// ConfirmFor is set if the answer that no newer revision exists is needed too, because this
	// process was paused until then.
	ConfirmFor time.Time
}

// Evidence is a report on backend servers to send to other hosts.
type Evidence struct {
	To       []string // host names
	Evidence *peerpb.Evidence
}

// Heartbeat is a message from a host that watches the platform to the others.
type Heartbeat struct {
	To       []string // host names
	Datagram *peerpb.Datagram
}

// Outbox collects the actions requested during a tick.
type Outbox struct {
	Events    []event.Event
	Registers []*peerpb.Register
	// Urgent registers are also sent directly to the hosts that they name.
	Urgent   []Urgent
	Probes   []Probe
	Fetches  []Fetch
	Evidence []Evidence
	// Heartbeats are sent while this host watches the platform.
	Heartbeats []Heartbeat
}

// Urgent is a register that is sent directly instead of waiting for gossip.
type Urgent struct {
	To       []string // host names
	Register *peerpb.Register
}

// Take returns the contents of the outbox and empties it.
func (o *Outbox) Take() Outbox {
	contents := *o
	*o = Outbox{}
	return contents
}
