package policy

import "time"

// ServiceStats is what a host knows of one service, for its metrics.
type ServiceStats struct {
	Service string
	// Servers are known, Failing those believed to be in a spell of failures.
	Servers int
	Failing int
	// InFlight are this host's own requests.
	InFlight int
	// Retries of the hosts that share their allowance with this one in the last window of RetryRule.
	Retries int
}

// Stats returns a row per service.
func (t *Table) Stats(now time.Time) []ServiceStats {
	rows := make(map[string]*ServiceStats, len(t.services))
	for name, svc := range t.services {
		_, retries, _ := svc.sharedSends(now, t.conf.Retry.Window)
		rows[name] = &ServiceStats{Service: name, Retries: retries}
	}
	for k, s := range t.servers {
		row, ok := rows[k.service]
		if !ok {
			continue // a server told of by others, of a service not used here
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
