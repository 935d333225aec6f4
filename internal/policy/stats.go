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
	// NearLimit is set if nearly a tenth of the service's requests are unserved over all data
	// centres, DutySends counts the requests that this host then sent to keep servers in use.
	NearLimit bool
	DutySends uint64
	// Durations is what is learnt of the durations of failures.
	Durations DurationStats
}

// DurationStats is what a host has learnt of the durations of a service's failures.
type DurationStats struct {
	// Observations is the number of failures observed to their end, Evidence the log likelihood
	// ratio against a constant rate of recovery.
	Observations int
	Evidence     float64
	// InForce is set if the learnt distribution is used: Shape and Scale of a Weibull distribution.
	InForce bool
	Shape   float64
	Scale   time.Duration
	// WellFor is the mean time between a recovery and the next failure.
	WellFor time.Duration
}

// stats returns what is learnt, nothing for nil.
func (d *durationModel) stats() DurationStats {
	if d == nil {
		return DurationStats{}
	}
	return DurationStats{
		Observations: d.observations,
		Evidence:     d.evidence,
		InForce:      d.inForce,
		Shape:        d.shape,
		Scale:        time.Duration(d.scale * float64(time.Second)),
		WellFor:      time.Duration(float64(time.Second) / d.onsetRate()),
	}
}

// Stats returns the statistics of each service.
func (t *Table) Stats(now time.Time) []ServiceStats {
	rows := make(map[string]*ServiceStats, len(t.services))
	for name, svc := range t.services {
		budget := t.updateBudget(now, svc)
		_, retries, _ := svc.sharedSends(now, t.conf.Retry.Window)
		rows[name] = &ServiceStats{Service: name, Retries: retries, RetryAllowance: inRetries(budget.allowance), RetriesLeft: inRetries(budget.available()), NearLimit: svc.isNearLimit(now), DutySends: svc.dutySends, Durations: svc.durations.stats()}
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
