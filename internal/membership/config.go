// Package membership maintains the list of live hosts with SWIM (Das et al., 2002) and
// Lifeguard's local health awareness (Dadgar et al., 2018). The list is a pure state machine:
// its inputs are times and datagrams, and its outputs are datagrams.
package membership

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
)

// Defaults of Config and constants of the protocol.
const (
	DefaultIndirectChecks    = 3
	DefaultSuspicionMult     = 4
	DefaultGossipFanout      = 3
	DefaultSyncInterval      = 30 * time.Second
	DefaultReconnectInterval = 3 * time.Second
	DefaultReapAfter         = 30 * time.Minute
	DefaultAwarenessMax      = 8
	pauseProbeIntervals      = 3
	relayTTLProbeIntervals   = 2
	// bootstrapSyncFanout is the number of known hosts with which a new host first compares its
	// state.
	bootstrapSyncFanout = 3
	// knownSyncMaxHosts is the largest data centre whose hosts compare their state with a known one: it
	// answers some 60 comparisons of 100 bytes a host in 0.1 s.
	knownSyncMaxHosts = 60
	// farComparers is the number of hosts of a data centre that compare their state with other data
	// centres when they start: two, so that one may fail.
	farComparers = 2
	// remoteSyncRatio is the number of full-state comparisons of which one is with a host of another
	// data centre. Any host of a data centre can recover changes that gossip lost on the way there.
	remoteSyncRatio = 8
	// remoteTransmits is the mean number of times the hosts of a data centre, taken together, send a
	// change to each other data centre. Traffic between data centres is expensive. With 12, six
	// changes in a million are not sent at all, and comparisons repair these. Within a data centre each host sends each change
	// gossip.TransmitLimit times.
	remoteTransmits = 12
)

// bootstrapSyncAges are the ages at which a new host compares its state with known hosts, which
// may start up to 0.4 s after it. With these, 36 hosts that start together know each other after
// 0.2 s, compared with 0.9 s by gossip alone.
var bootstrapSyncAges = []time.Duration{
	0,
	100 * time.Millisecond,
	200 * time.Millisecond,
	300 * time.Millisecond,
	400 * time.Millisecond,
	550 * time.Millisecond,
	900 * time.Millisecond,
}

// localSyncAges are the times after its first contact with a member of its data centre at which a new host
// compares its state with one. At those with far set, farComparers of them also compare with a member of
// another data centre: a comparison takes some 120 bytes for each host of the fleet, and earlier many hosts
// would take themselves for one of the farComparers. At those with known set, the member is a known host if
// one is in the data centre: all have told it of themselves.
var localSyncAges = []struct {
	age        time.Duration
	far, known bool
}{
	{age: 0},
	{age: 100 * time.Millisecond, known: true},
	{age: 200 * time.Millisecond, far: true},
	{age: 300 * time.Millisecond, known: true},
	{age: 450 * time.Millisecond},
	{age: 700 * time.Millisecond, far: true},
}

// Config configures a List.
type Config struct {
	// Host, Address (IP:port) and DataCentre describe this host.
	Host       string
	Address    string
	DataCentre string
	// Capacity is what this host can handle in addition to its own requests, in thousandths of a
	// core, 0 if unknown. It is announced to the other hosts.
	Capacity uint32
	// Path is whether this host reaches backend servers, announced to the other hosts until
	// SetPath.
	Path peerpb.PathState
	// ProbeInterval is the period between probes; each probes one member. Shorter intervals detect
	// dead hosts sooner and cost more datagrams.
	ProbeInterval time.Duration
	// ProbeTimeout is how long to wait for a direct acknowledgement before indirect probes are
	// requested.
	ProbeTimeout time.Duration
	// GossipInterval is the period of datagrams that carry only changes.
	GossipInterval time.Duration
	// IndirectChecks is the number of members asked to probe an unresponsive member. Larger values
	// tolerate more one-way path failures and cost more datagrams.
	IndirectChecks int
	// SuspicionMult scales the time a suspect has to refute. Larger values cause fewer false deaths
	// and detect true ones later.
	SuspicionMult int
	// GossipFanout is the number of members that receive each gossip datagram.
	GossipFanout int
	// SyncInterval is the period of full-state comparisons with one member.
	SyncInterval time.Duration
	// ReconnectInterval is the period of attempts to reach one dead or unknown host, which heals
	// partitions.
	ReconnectInterval time.Duration
	// ReapAfter is how long the rows of hosts that are dead or have left are kept.
	ReapAfter time.Duration
	// AwarenessMax is the upper bound of the local health score.
	AwarenessMax int
	// RelaysLoads is whether this host passes on reports of load, announced to the other hosts.
	RelaysLoads bool
	// Hellos is set if new hosts are told of others by hellos to the known hosts, so that they need not
	// compare their state with these at once.
	Hellos bool
	// Seed seeds the random choices.
	Seed uint64
}

// SetDefaults fills in unset fields, except ProbeInterval, ProbeTimeout and GossipInterval, which
// have no default here.
func (c *Config) SetDefaults() {
	setInt(&c.IndirectChecks, DefaultIndirectChecks)
	setInt(&c.SuspicionMult, DefaultSuspicionMult)
	setInt(&c.GossipFanout, DefaultGossipFanout)
	setInt(&c.AwarenessMax, DefaultAwarenessMax)
	setDuration(&c.SyncInterval, DefaultSyncInterval)
	setDuration(&c.ReconnectInterval, DefaultReconnectInterval)
	setDuration(&c.ReapAfter, DefaultReapAfter)
}

func setInt(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

func setDuration(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}
