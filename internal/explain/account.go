package explain

import (
	"cmp"
	"regexp"
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
	// ByLimit selects the table of Limits instead.
	ByLimit Grouping = "limit"
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

// LimitRow counts the refused requests of a customer, and compares them with its limit.
type LimitRow struct {
	Customer string
	// PerSecond is the limit that refusals name, 0 if none does.
	PerSecond float64
	// OverLimit were beyond the limit, FairShare beyond the customer's share of an overloaded
	// service; Other were refused for reasons that do not depend on the customer.
	OverLimit, FairShare, Other int
	// Seconds is the number of seconds with a refusal beyond the limit. In each the limit allowed
	// PerSecond requests.
	Seconds int
}

// limitReason matches the limit in the logged reason of a refusal beyond it.
var limitReason = regexp.MustCompile(`, ([0-9.e+]+) requests a second, is reached`)

// Limits returns the customers with refused requests, those with most first.
func (l *Logs) Limits() []LimitRow {
	rows := make(map[string]*LimitRow)
	seconds := make(map[string]map[int64]bool)
	for _, r := range l.requests {
		name := r.fields["customer"]
		if r.served() || r.isForOtherHost() || name == "" || r.fields["outcome"] != "not-run" {
			continue
		}
		row, known := rows[name]
		if !known {
			row = &LimitRow{Customer: name}
			rows[name], seconds[name] = row, make(map[int64]bool)
		}
		switch l.cause(r, parseAttempts(r.fields["tries"])).Kind {
		case CauseLimit:
			row.OverLimit++
			seconds[name][r.at.Unix()] = true
			if named := limitReason.FindStringSubmatch(r.fields["reason"]); named != nil {
				row.PerSecond, _ = strconv.ParseFloat(named[1], 64) // the expression matches numbers only; 0 says unknown
			}
		case CauseFairShare:
			row.FairShare++
		default:
			row.Other++
		}
	}
	all := make([]LimitRow, 0, len(rows))
	for name, row := range rows {
		row.Seconds = len(seconds[name])
		all = append(all, *row)
	}
	slices.SortFunc(all, func(a, b LimitRow) int {
		return cmp.Or(cmp.Compare(b.OverLimit+b.FairShare+b.Other, a.OverLimit+a.FairShare+a.Other), cmp.Compare(a.Customer, b.Customer))
	})
	return all
}
