package explain

import (
	"cmp"
	"slices"
	"strconv"
)

// Grouping selects what the rows of an account are grouped by, in addition to the cause.
type Grouping string

const (
	ByCause    Grouping = "cause" // no additional grouping
	ByService  Grouping = "service"
	ByCustomer Grouping = "customer"
	BySecond   Grouping = "second"
)

// AccountRow counts the unserved requests of one cause and group.
type AccountRow struct {
	Cause CauseKind
	// Group is the service, customer or second, empty for ByCause.
	Group string
	// NotRun counts requests that were refused without being run. Lost counts those that failed in
	// any other way.
	NotRun int
	Lost   int
}

// Account counts unserved requests by cause.
type Account struct {
	Rows []AccountRow // most requests first
	// Unserved is the sum of the rows. Unlogged counts requests, served or not, for which hosts did
	// not write a log line.
	Unserved int
	Unlogged int
}

type accountKey struct {
	cause CauseKind
	group string
}

// Account counts the unserved requests of all logs.
func (l *Logs) Account(by Grouping) Account {
	var account Account
	rows := make(map[accountKey]*AccountRow)
	for _, r := range l.requests {
		account.Unlogged += r.missed()
		if r.served() || r.isForOtherHost() {
			continue
		}
		account.Unserved++
		key := accountKey{l.cause(r, parseAttempts(r.fields["tries"])).Kind, r.group(by)}
		row, known := rows[key]
		if !known {
			row = &AccountRow{Cause: key.cause, Group: key.group}
			rows[key] = row
		}
		if r.fields["outcome"] == "not-run" {
			row.NotRun++
		} else {
			row.Lost++
		}
	}
	for _, row := range rows {
		account.Rows = append(account.Rows, *row)
	}
	slices.SortFunc(account.Rows, func(a, b AccountRow) int {
		return cmp.Or(cmp.Compare(b.NotRun+b.Lost, a.NotRun+a.Lost), cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Group, b.Group))
	})
	return account
}

// isForOtherHost reports whether the line is of a host that served the request for another one,
// whose line says what the caller got.
func (l line) isForOtherHost() bool { return l.fields["for"] != "" }

// served reports whether the caller received a success or a client error (4xx) from the server.
func (l line) served() bool {
	status, err := strconv.Atoi(l.fields["status"])
	return err == nil && l.fields["outcome"] == "complete" && status < 500
}

func (l line) group(by Grouping) string {
	switch by {
	case ByService:
		return l.fields["service"]
	case ByCustomer:
		return l.fields["customer"]
	case BySecond:
		return l.at.Format("15:04:05")
	default:
		return ""
	}
}
