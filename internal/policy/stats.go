package policy

import "time"

// ServiceStats is this host's state of one service, for metrics.
type ServiceStats struct {
	Service string
	// Servers is the number of known servers, Failing that of those believed to be failing.
	Servers int
	Failing int
	// InFlight is the number of requests of this host.
	InFlight int
	// Retries counts the retries in the last window of RetryRule by all hosts that report to this one.
	Retries int
	// RetryAllowance is the number of retries that this host may make in a window, RetriesLeft the
	// number that it may make now, those given by other hosts included.
	RetryAllowance, RetriesLeft float64
}

// Stats returns the statistics of each service.
func (t *Table) Stats(now time.Time) []ServiceStats {
	rows := make(map[string]*ServiceStats, len(t.services))
	for name, svc := range t.services {
		budget := t.updateBudget(now, svc)
		_, retries, _ := svc.sharedSends(now, t.conf.Retry.Window)
		rows[name] = &ServiceStats{Service: name, Retries: retries, RetryAllowance: inRetries(budget.allowance), RetriesLeft: inRetries(budget.available())}
	}
	for k, s := range t.servers {
		row, ok := rows[k.service]
		if !ok {
			continue // known only from other hosts; the service is not used here
		}
		row.Servers++
		row.InFlight += s.inFlight
		if s.belief(now, t.service(k.service)) > failingThreshold {
			row.Failing++
		}
	}
	stats := make([]ServiceStats, 0, len(rows))
	for _, row := range rows {
		stats = append(stats, *row)
	}
	return stats
}
