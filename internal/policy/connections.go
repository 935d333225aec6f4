package policy

import "time"

// Servers may forget idle connections without a word, and sooner than they
// announce. Whatever is sent next on such a connection is lost, and nobody can
// say whether it ran. One loss tells the hosts of the data centre; requests that
// must not run twice then use only connections that were just in use.
const (
	// staleConnectionPeriod is how long after a loss that holds. A server that forgets does so
	// for some seconds; new connections cost little.
	staleConnectionPeriod = 15 * time.Second
	// staleMaxIdle is for how long a connection may then have been idle. Shorter
	// than any idle timeout seen (1 s and more).
	staleMaxIdle = 200 * time.Millisecond
)

// maxIdle is for how long a connection may have been idle that carries a
// request, 0 for no bound.
func (t *Table) maxIdle(now time.Time, svc *service, req Request) time.Duration {
	if !t.has(MechanismIdleConnections) || req.Idempotent || svc.staleConnectionAt.IsZero() || now.Sub(svc.staleConnectionAt) > staleConnectionPeriod {
		return 0
	}
	return staleMaxIdle
}
