package policy

import "slices"

// Mechanism is a part of the policy that can be disabled to measure its benefit: in a replay with
// --without, on a host with the setting `policy.without`.
type Mechanism string

// Mechanisms that can be disabled.
const (
	// MechanismFailureModel estimates from outcomes whether a server is failing, see health.go.
	MechanismFailureModel Mechanism = "spells"
	// MechanismLearntDurations learns how long failures last, see durations.go.
	MechanismLearntDurations Mechanism = "learnt-durations"
	// MechanismUnanswered uses unanswered requests as evidence, see unanswered.go.
	MechanismUnanswered Mechanism = "silence"
	// MechanismCopies sends second copies of idempotent requests, see copies.go.
	MechanismCopies Mechanism = "copies"
	// MechanismSharedOutcomes uses the outcomes that other hosts report.
	MechanismSharedOutcomes Mechanism = "shared-outcomes"
	// MechanismSharedLoads uses the in-flight requests that other hosts report.
	MechanismSharedLoads Mechanism = "shared-loads"
	// MechanismReportedLoad uses the load that servers report.
	MechanismReportedLoad Mechanism = "told-load"
	// MechanismCoverage keeps servers in use, see coverage.go.
	MechanismCoverage Mechanism = "breadth"
	// MechanismDegraded uses nearly all servers while many requests are unserved.
	MechanismDegraded Mechanism = "trouble"
	// MechanismRemoteOutcomes uses the outcomes of other data centres, see remoteoutcomes.go.
	MechanismRemoteOutcomes Mechanism = "remote-outcomes"
	// MechanismDuty gives each server a host that keeps it in use, see duty.go.
	MechanismDuty Mechanism = "server-duty"
	// MechanismOwnDataCentre prefers servers of the host's own data centre.
	MechanismOwnDataCentre Mechanism = "own-data-centre"
	// MechanismColdStart expects newly started servers to be slow.
	MechanismColdStart Mechanism = "cold-start"
	// MechanismIdleConnections avoids idle connections after one broke, see connections.go.
	MechanismIdleConnections Mechanism = "idle-connections"
	// MechanismRouteLatency tracks typical latencies by route, see routes.go.
	MechanismRouteLatency Mechanism = "route-times"
	// MechanismRetryGifts gives retries to hosts that lack them, see retries.go.
	MechanismRetryGifts Mechanism = "retry-gifts"
	// MechanismGiftWait lets a request without a retry wait for one from another host, see retries.go.
	MechanismGiftWait Mechanism = "gift-wait"
	// MechanismPooledRetries lets hosts give parts of a retry, see retries.go.
	MechanismPooledRetries Mechanism = "pooled-retries"
	// MechanismYoungReserve gives a part of the reserve to hosts in their first window, see retries.go.
	MechanismYoungReserve Mechanism = "young-reserve"
	// MechanismHandover takes over what other hosts know when a host starts, see state.go.
	MechanismHandover Mechanism = "handover"
	// MechanismRetryBenefit leaves retries to the requests that earn most by them, see retrybenefit.go.
	MechanismRetryBenefit Mechanism = "retry-benefit"
	// MechanismTrials sends copies of idempotent requests to servers believed to be failing, see
	// trial.go.
	MechanismTrials Mechanism = "trials"
	// MechanismReturnOneByOne sends a server that has rested one request at a time, see
	// availability.go.
	MechanismReturnOneByOne Mechanism = "return-one-by-one"
	// MechanismPathChecks checks whether this host reaches a server before it blames the server,
	// see path.go.
	MechanismPathChecks Mechanism = "path-checks"
	// MechanismStandingQueue refuses requests while there is a standing queue, see admission.go.
	MechanismStandingQueue Mechanism = "standing-queue"
	// MechanismWaitQueue lets requests wait in the host for a free slot, see defer.go.
	MechanismWaitQueue Mechanism = "wait-queue"
	// MechanismFairShares refuses customers above their fair share first, see fairness.go.
	MechanismFairShares Mechanism = "fair-shares"
)

// Mechanisms lists all mechanisms that can be disabled.
func Mechanisms() []Mechanism {
	return []Mechanism{
		MechanismFailureModel, MechanismLearntDurations, MechanismUnanswered, MechanismCopies, MechanismSharedOutcomes, MechanismSharedLoads,
		MechanismReportedLoad, MechanismCoverage, MechanismDegraded, MechanismRemoteOutcomes, MechanismDuty, MechanismOwnDataCentre,
		MechanismColdStart, MechanismIdleConnections, MechanismRouteLatency, MechanismRetryGifts, MechanismTrials, MechanismStandingQueue,
		MechanismReturnOneByOne, MechanismPathChecks, MechanismWaitQueue, MechanismFairShares,
		MechanismGiftWait, MechanismPooledRetries, MechanismYoungReserve, MechanismHandover, MechanismRetryBenefit,
	}
}

// has reports whether a mechanism is enabled.
func (t *Table) has(m Mechanism) bool { return !slices.Contains(t.conf.Without, m) }
