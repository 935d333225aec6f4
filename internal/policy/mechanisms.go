package policy

import "slices"

// Mechanism is a part of the policy that can be disabled to measure its benefit: in a replay with
// --without, on a host with the setting `policy.without`.
type Mechanism string

// Mechanisms that can be disabled.
const (
	// MechanismSpells estimates from outcomes whether a server is failing, see spell.go.
	MechanismSpells Mechanism = "spells"
	// MechanismUnanswered uses unanswered requests as evidence, see silence.go.
	MechanismUnanswered Mechanism = "silence"
	// MechanismCopies sends second copies of idempotent requests, see copies.go.
	MechanismCopies Mechanism = "copies"
	// MechanismOutcomes uses the outcomes that other hosts report.
	MechanismOutcomes Mechanism = "shared-outcomes"
	// MechanismLoads uses the in-flight requests that other hosts report.
	MechanismLoads Mechanism = "shared-loads"
	// MechanismReportedLoad uses the load that servers report.
	MechanismReportedLoad Mechanism = "told-load"
	// MechanismBreadth keeps servers in use, see breadth.go.
	MechanismBreadth Mechanism = "breadth"
	// MechanismTrouble uses nearly all servers while many requests are unserved.
	MechanismTrouble Mechanism = "trouble"
	// MechanismOwnDataCentre prefers servers of the host's own data centre.
	MechanismOwnDataCentre Mechanism = "own-data-centre"
	// MechanismColdStart expects newly started servers to be slow.
	MechanismColdStart Mechanism = "cold-start"
	// MechanismIdleConnections avoids idle connections after one broke, see connections.go.
	MechanismIdleConnections Mechanism = "idle-connections"
	// MechanismRouteLatency tracks typical latencies by route, see routes.go.
	MechanismRouteLatency Mechanism = "route-times"
	// MechanismNewHosts limits the retries of a host that has just started.
	MechanismNewHosts Mechanism = "young-hosts"
	// MechanismTrials sends copies of idempotent requests to servers believed to be failing, see
	// trial.go.
	MechanismTrials Mechanism = "trials"
	// MechanismReturnOneByOne sends a server that has rested one request at a time, see
	// availability.go.
	MechanismReturnOneByOne Mechanism = "return-one-by-one"
	// MechanismStanding refuses requests while there is a standing queue, see admission.go.
	MechanismStanding Mechanism = "standing-queue"
)

// Mechanisms lists all mechanisms that can be disabled.
func Mechanisms() []Mechanism {
	return []Mechanism{
		MechanismSpells, MechanismUnanswered, MechanismCopies, MechanismOutcomes, MechanismLoads,
		MechanismReportedLoad, MechanismBreadth, MechanismTrouble, MechanismOwnDataCentre,
		MechanismColdStart, MechanismIdleConnections, MechanismRouteLatency, MechanismNewHosts, MechanismTrials, MechanismStanding,
		MechanismReturnOneByOne,
	}
}

// has reports whether a mechanism is enabled.
func (t *Table) has(m Mechanism) bool { return !slices.Contains(t.conf.Without, m) }
