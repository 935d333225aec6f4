package explain

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/pearshelf/pearshelf/internal/logging"
)

// ByBytes selects the bytes between data centres by kind instead of unserved requests.
const ByBytes Grouping = "bytes"

// BytesRow is what hosts exchanged with other data centres of one kind.
type BytesRow struct {
	Kind  string
	Bytes uint64
	// Hosts is the number of hosts that logged any.
	Hosts int
}

// Bytes sums the bytes between data centres over all logs, the largest kind first.
func (l *Logs) Bytes() []BytesRow {
	rows := make(map[string]*BytesRow)
	seen := make(map[[2]string]bool)
	for _, e := range l.events {
		if e.message != logging.CrossZoneBytes {
			continue
		}
		for kind, text := range e.fields {
			bytes, err := strconv.ParseUint(text, 10, 64)
			if err != nil {
				continue // not a count
			}
			row, known := rows[kind]
			if !known {
				row = &BytesRow{Kind: kind}
				rows[kind] = row
			}
			row.Bytes += bytes
			if host := [2]string{kind, e.host}; !seen[host] {
				seen[host] = true
				row.Hosts++
			}
		}
	}
	var sorted []BytesRow
	for _, row := range rows {
		sorted = append(sorted, *row)
	}
	slices.SortFunc(sorted, func(a, b BytesRow) int { return cmp.Or(cmp.Compare(b.Bytes, a.Bytes), cmp.Compare(a.Kind, b.Kind)) })
	return sorted
}
