// Package startup decides how a host without any state gets its first documents when many hosts
// start at once, and how requests wait for them. The load that it addresses is a loss of power of
// all hosts: hundreds start within a fraction of a second, the hosts that all know from their
// settings possibly last, while callers go on to send. Its functions have no clock, lock or socket.
package startup

import "time"

const (
	// HelloInterval is the interval at which a host that lacks documents says hello to known hosts
	// of which none has answered. A known host that starts last is thus heard of this long after
	// its start. A hello takes about 100 bytes, and costs a host that does not run nothing.
	HelloInterval = 25 * time.Millisecond
	// HelloRepeat is the interval after an answer. A known host sends another answer by itself
	// once it can name a source, so that a repetition only makes up for lost datagrams.
	HelloRepeat = 200 * time.Millisecond
	// HelloEagerFor is the age up to which a host uses HelloInterval. Afterwards the known hosts
	// are probably gone, and HelloRepeat applies.
	HelloEagerFor = 3 * time.Second
	// HelloIdle is the interval after HelloIdleAfter: a fleet may wait for its first configuration for
	// hours, and the known hosts of 1,100 would else receive 5,500 hellos a second.
	HelloIdle      = 2 * time.Second
	HelloIdleAfter = 10 * time.Second
	// MaxHelloTargets is the number of known hosts that one round addresses.
	MaxHelloTargets = 3
	// Tick is the interval of the control loop while a host has no configuration.
	Tick = 25 * time.Millisecond
	// EagerTickFor is the age up to which Tick applies.
	EagerTickFor = 5 * time.Second

	// ReadGrace is the time after the first contact with another host for which a host leaves
	// reading the platform to the hosts that all know from their settings, which read it at their
	// start. A read takes some 10 ms, the announcement of its result one datagram.
	ReadGrace = 120 * time.Millisecond

	// standInShare is the part of the range of random delays whose holders stand in for the known
	// hosts. The delays are such that one host in ten draws one below it: enough that some host
	// of a fleet of 40 does, and few reads if the platform is slow for all. LateRead is added to
	// the delay of the others; readers have been chosen by then.
	standInShare = 2.0 / 3
	LateRead     = time.Second

	// FarFetchers is the number of hosts of a data centre that fetch a document from another data
	// centre at once: two, so that one may fail. FarTurn is the time after which the next in order
	// takes its turn: a document takes less within a data centre.
	FarFetchers = 2
	FarTurn     = 100 * time.Millisecond
)

// UntilHello returns the interval between two rounds of hellos.
func UntilHello(age time.Duration, answered bool) time.Duration {
	switch {
	case age > HelloIdleAfter:
		return HelloIdle
	case answered || age > HelloEagerFor:
		return HelloRepeat
	default:
		return HelloInterval
	}
}

// ReadAt returns when a host that lacks a document may read the platform itself. planned is the time
// without any contact, contact that of the first contact with another host, zero for none, and
// delay a random time that differs from host to host. Hosts that are not known to others wait for
// those that are, because a read by each host is costly.
func ReadAt(planned, contact time.Time, delay time.Duration) time.Time {
	if contact.IsZero() {
		return planned
	}
	if at := contact.Add(ReadGrace + delay); at.After(planned) {
		return at
	}
	return planned
}

// StandIn reports whether a host that drew a delay from [0, spread] stands in for the known hosts if
// these do not get an answer from the platform, and returns the delay of its read.
func StandIn(drawn, spread time.Duration) (early bool, delay time.Duration) {
	if float64(drawn) <= standInShare*float64(spread) {
		return true, drawn
	}
	return false, drawn + LateRead
}

// MayFetchFar reports whether the host at a rank in the order of its data centre may fetch a document
// from another data centre, when it has waited for some time since it first heard of the document.
func MayFetchFar(rank int, waited time.Duration) bool {
	return waited >= time.Duration(rank/FarFetchers)*FarTurn
}
