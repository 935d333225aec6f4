package policy

import "slices"

// Mechanism is a part of the policy that can be left out, to measure what it is
// worth: in a replay by --without, on a host by the setting `policy.without`.
type Mechanism string

// Mechanisms.
const (
	// MechanismSpells is the belief that a server fails, from outcomes.
	MechanismSpells Mechanism = "spells"
	// MechanismUnanswered is evidence from requests that wait, silence.go.
	MechanismUnanswered Mechanism = "silence"
	// MechanismCopies are second copies of idempotent requests, copies.go.
	MechanismCopies Mechanism = "copies"
	// MechanismOutcomes is what other hosts tell of outcomes.
	MechanismOutcomes Mechanism = "shared-outcomes"
	// MechanismLoads is what other hosts tell of their requests in flight.
	MechanismLoads Mechanism = "shared-loads"
	// MechanismReportedLoad is the load that servers tell.
	MechanismReportedLoad Mechanism = "told-load"
	// MechanismBreadth keeps servers in use, breadth.go.
	MechanismBreadth Mechanism = "breadth"
	// MechanismTrouble uses nearly all servers while many requests are unserved.
	MechanismTrouble Mechanism = "trouble"
	// MechanismOwnDataCentre prefers servers of the own data centre.
	MechanismOwnDataCentre Mechanism = "own-data-centre"
	// MechanismColdStart expects new servers to be slow.
	MechanismColdStart Mechanism = "cold-start"
	// MechanismIdleConnections is connections.go.
	MechanismIdleConnections Mechanism = "idle-connections"
	// MechanismRouteLatency are usual times by route, routes.go.
	MechanismRouteLatency Mechanism = "route-times"
	// MechanismNewHosts bounds what a host that has just started sends again.
	MechanismNewHosts Mechanism = "young-hosts"
	// MechanismTrials are copies of idempotent requests to servers believed to fail,
	// trial.go.
	MechanismTrials Mechanism = "trials"
	// MechanismReturnOneByOne sends a server that has rested one request at a time,
	// availability.go.
	MechanismReturnOneByOne Mechanism = "return-one-by-one"
	// MechanismStanding refuses requests while a queue stands, admission.go.
	MechanismStanding Mechanism = "standing-queue"
)

// Mechanisms lists all that can be left out.
func Mechanisms() []Mechanism {
	return []Mechanism{
		MechanismSpells, MechanismUnanswered, MechanismCopies, MechanismOutcomes, MechanismLoads,
		MechanismReportedLoad, MechanismBreadth, MechanismTrouble, MechanismOwnDataCentre,
		MechanismColdStart, MechanismIdleConnections, MechanismRouteLatency, MechanismNewHosts, MechanismTrials, MechanismStanding,
		MechanismReturnOneByOne,
	}
}

// has reports whether a mechanism is in use.
func (t *Table) has(m Mechanism) bool { return !slices.Contains(t.conf.Without, m) }
