// Package membership keeps the list of live hosts with SWIM (Das et al., 2002)
// and Lifeguard's local health awareness (Dadgar et al., 2018). The list is a
// pure state machine: it takes times and datagrams and returns datagrams.
package membership

import "time"

// Defaults.
const (
	DefaultIndirectChecks     = 3
	DefaultSuspicionMult      = 4
	DefaultGossipFanout       = 3
	DefaultSyncInterval       = 30 * time.Second
	DefaultReconnectInterval  = 3 * time.Second
	DefaultReapAfter          = 30 * time.Minute
	DefaultAwarenessMax       = 8
	pauseFactor               = 3
	relayLifetimeProbePeriods = 2
	// youngSeeds is how many known hosts a new host asks at its start.
	youngSeeds = 3
	// youngSyncHosts is up to how many hosts a young host compares its full state
	// with known hosts again: three known hosts then answer some 20 a second each.
	youngSyncHosts = 60
	// farComparisons: one in so many full comparisons is with a host of another data centre.
	// What gossip has lost there is made up by any of a data centre's hosts.
	farComparisons = 8
	// farTellings is how often all hosts of a data centre together tell a change to
	// the hosts of each other one. Bytes between data centres are dear, and of 20
	// datagrams all are lost never; within a data centre each host sends each change
	// Limit times.
	farTellings = 20
)

// youngSyncs are the ages at which a new host compares its state with known
// hosts, which may start 0.4 s later than it. 36 hosts that start together know
// each other after 0.2 s, by gossip alone after 0.9 s.
var youngSyncs = []time.Duration{
	0,
	100 * time.Millisecond,
	200 * time.Millisecond,
	300 * time.Millisecond,
	400 * time.Millisecond,
	550 * time.Millisecond,
	900 * time.Millisecond,
}

// Config of a List.
type Config struct {
	// Host, Address (IP:port) and DataCentre describe this host.
	Host       string
	Address    string
	DataCentre string
	// Capacity is what this host can bear beside its requests, in thousandths of a core, 0 if
	// not known. Others are told.
	Capacity uint32
	// ProbeInterval is the period in which one member is probed. Shorter finds
	// dead hosts sooner and costs more datagrams.
	ProbeInterval time.Duration
	// ProbeTimeout is the wait for a direct answer before others are asked.
	ProbeTimeout time.Duration
	// GossipInterval is the period of datagrams that carry only changes.
	GossipInterval time.Duration
	// IndirectChecks is how many others are asked to probe a silent member.
	// More survive more one-way cuts and cost more datagrams.
	IndirectChecks int
	// SuspicionMult scales how long a suspect may refute. Longer makes fewer
	// false deaths and later true ones.
	SuspicionMult int
	// GossipFanout is how many members get each change datagram.
	GossipFanout int
	// SyncInterval is the period of full-state comparison with one member.
	SyncInterval time.Duration
	// ReconnectInterval is the period of attempts to reach one dead or unknown
	// host, which heals partitions.
	ReconnectInterval time.Duration
	// ReapAfter is how long dead rows are kept.
	ReapAfter time.Duration
	// AwarenessMax bounds the local health score.
	AwarenessMax int
	// Seed of the random choices.
	Seed uint64
}

// SetDefaults fills in unset fields; the three intervals of the probe have no
// default here.
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
