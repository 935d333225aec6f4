package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/customer"
)

// Row is the status of a customer that this host serves.
type Row struct {
	Customer string
	Limit    customer.Limit
	// Use is the rate of requests that this host lets through, in requests a second, and Part
	// its share of the limit as granted by the home, 0 if unknown.
	Use  float64
	Part float64
	// Allowed and Refused count requests at this host since its start.
	Allowed, Refused uint64
	Home             string
	// Heard is the time since the home last answered, and Unheard whether it fails to answer.
	Heard   time.Duration
	Unheard bool
}

// Rows returns the status of the customers that this host serves, by descending request rate.
func (t *Table) Rows(now time.Time) []Row {
	rows := make([]Row, 0, len(t.customers))
	for _, s := range t.customers {
		row := Row{
			Customer: s.name,
			Limit:    s.limit,
			Use:      s.meter.rate(now),
			Part:     s.share,
			Allowed:  s.allowedTotal,
			Refused:  s.refusedTotal,
			Home:     s.home,
			Unheard:  s.homeUnreachable,
		}
		if !s.lastGrantAt.IsZero() {
			row.Heard = now.Sub(s.lastGrantAt)
		}
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Use, a.Use), cmp.Compare(a.Customer, b.Customer))
	})
	return rows
}
