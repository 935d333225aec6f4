package policy

import "time"

// Servers may drop idle connections without notice, and earlier than they announce. The next
// request on such a connection is lost, and it is unknown whether it was executed. After one such
// loss the hosts of the data centre send non-idempotent requests only on connections that were
// recently used.
const (
	// staleConnectionPeriod is how long after a loss this restriction applies. A server drops
	// connections for some seconds, and new connections are cheap.
	staleConnectionPeriod = 15 * time.Second
	// staleMaxIdle is the maximum idle time of a connection in that period. It is below all idle
	// timeouts observed (1 s and more).
	staleMaxIdle = 200 * time.Millisecond
	// pathFaultPeriod is how long the same restriction applies on a host that could not connect to
	// a server which answers others: its open connections to further servers may be dead too.
	pathFaultPeriod = 5 * time.Second
)

// maxIdle returns how long the connection for a request may have been idle, 0 for no limit.
func (t *Table) maxIdle(now time.Time, svc *service, req Request) time.Duration {
	if !t.has(MechanismIdleConnections) || req.Idempotent {
		return 0
	}
	isStale := !svc.staleConnectionAt.IsZero() && now.Sub(svc.staleConnectionAt) <= staleConnectionPeriod
	hasPathFault := !t.pathFaultAt.IsZero() && now.Sub(t.pathFaultAt) <= pathFaultPeriod
	if isStale || hasPathFault {
		return staleMaxIdle
	}
	return 0
}
