package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/customer"
)

// CustomerStatus is the status of a customer that this host serves.
type CustomerStatus struct {
	Customer string
	Limit    customer.Limit
	// Rate is the rate of requests that this host lets through, in requests a second, and Share
	// its share of the limit as granted by the home, 0 if unknown.
	Rate  float64
	Share float64
	// Allowed and Refused count requests at this host since its start.
	Allowed, Refused uint64
	Home             string
	// SinceAnswer is the time since the home last answered, and HomeUnreachable
	// whether it fails to answer.
	SinceAnswer     time.Duration
	HomeUnreachable bool
}

// CustomerStatuses returns the status of the customers that this host serves, by descending request rate.
func (t *Table) CustomerStatuses(now time.Time) []CustomerStatus {
	rows := make([]CustomerStatus, 0, len(t.customers))
	for _, s := range t.customers {
		row := CustomerStatus{
			Customer:        s.name,
			Limit:           s.limit,
			Rate:            s.meter.rate(now),
			Share:           s.share,
			Allowed:         s.allowedTotal,
			Refused:         s.refusedTotal,
			Home:            s.home,
			HomeUnreachable: s.homeUnreachable,
		}
		if !s.lastGrantAt.IsZero() {
			row.SinceAnswer = now.Sub(s.lastGrantAt)
		}
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b CustomerStatus) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Customer, b.Customer))
	})
	return rows
}
