package explain

import (
	"cmp"
	"slices"
	"strconv"
)

// Grouping says by what an account is kept beside the cause.
type Grouping string

// Groupings.
const (
	ByCause    Grouping = "cause" // by nothing else
	ByService  Grouping = "service"
	ByCustomer Grouping = "customer"
	BySecond   Grouping = "second"
)

// AccountRow counts requests that were not served, of one cause and group.
type AccountRow struct {
	Cause CauseKind
	// Group is the service, customer or second, empty for ByCause.
	Group string
	// NotRun were refused, Lost ended otherwise without a success.
	NotRun int
	Lost   int
}

// Account sums the requests that were not served by why.
type Account struct {
	Rows []AccountRow // most requests first
	// Unserved is the sum of the rows; Missed counts requests, served or not, that hosts
	// wrote no line about.
	Unserved int
	Missed   int
}

type accountKey struct {
	cause CauseKind
	group string
}

// Account sums all requests in the logs.
func (l *Logs) Account(by Grouping) Account {
	var account Account
	rows := make(map[accountKey]*AccountRow)
	for _, r := range l.requests {
		account.Missed += r.missed()
		if r.served() {
			continue
		}
		account.Unserved++
		key := accountKey{l.cause(r, parseTries(r.fields["tries"])).Kind, r.group(by)}
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

// served reports whether the caller got a success, or the server's own word that the
// request is wrong.
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
