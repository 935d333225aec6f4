package explain_test

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/pearshelf/pearshelf/internal/explain"
)

// Log lines as hosts write them. Those of the second host have its name as a prefix.
const logs = `
I0406 12:52:20.000000   14785 trace.go:110] "request" request="good1" service="checkout" idempotent=false outcome="complete" status=200 reason="" took="210ms" left="2.79s" version=4 servers=16 tries="b1 answered/200 took=210ms belief=0.01 load=1.0" missed=0
I0406 12:52:21.000000   14785 trace.go:110] "request" request="other" service="checkout" idempotent=false outcome="complete" status=500 reason="" took="2ms" left="2.99s" version=4 servers=16 tries="b7 answered/500 took=2ms belief=0.90 load=0.0" missed=0
I0406 12:52:22.000000   14785 trace.go:110] "request" request="lost" service="checkout" idempotent=false outcome="complete" status=500 reason="" took="3ms" left="2.997s" version=4 servers=16 tries="b7 answered/500 took=3ms belief=0.05 load=0.0" missed=0
I0406 12:52:22.100000   14785 trace.go:110] "request" request="own" service="checkout" idempotent=false outcome="complete" status=500 reason="" took="180ms" left="2.8s" version=4 servers=16 tries="b2 answered/500 took=180ms belief=0.01 load=0.0" missed=0
I0406 12:52:23.000000   14785 trace.go:110] "request" request="shed" service="checkout" idempotent=false outcome="not-run" status=503 reason="backend-server-shed: \"b3\" refused" took="4ms" left="2.99s" version=4 servers=16 tries="b3 not-run/503 known=returning:said-3.1s-ago said=rest:3s took=2ms belief=0.01 load=3.0; b4 not-run/503 took=2ms belief=0.02 load=3.0" missed=0
I0406 12:52:23.050000   14785 trace.go:110] "request" request="withheld" service="checkout" idempotent=false outcome="not-run" status=503 reason="backend-server-shed: \"b3\" refused" took="4ms" left="2.99s" version=4 servers=16 tries="b3 not-run/503 known=returning:said-3.1s-ago said=rest:3s took=2ms belief=0.01 load=3.0; b4 not-run/503 took=2ms belief=0.02 load=3.0" retry="3 of 2.6 spent, up for 41s" missed=0
I0406 12:52:23.100000   14785 trace.go:110] "request" request="copied" service="checkout" idempotent=true outcome="complete" status=200 reason="" took="400ms" left="2.6s" version=4 servers=16 tries="b1 answered/200 took=400ms belief=0.01 load=1.0; b7 abandoned took=100ms belief=0.01 load=0.0" missed=0
I0406 12:52:23.200000   14785 trace.go:110] "request" request="limited" service="checkout" customer="fan" idempotent=true outcome="not-run" status=429 reason="customer-limit: the limit of customer fan, 3 requests a second, is reached" took="0s" left="2.6s" version=4 servers=16 tries="" missed=0
I0406 12:52:23.300000   14785 trace.go:110] "request" request="keyless" service="checkout" customer="" idempotent=true outcome="not-run" status=401 reason="unknown-key: no customer holds the key of this request" took="0s" left="0s" version=4 servers=16 tries="" missed=0
I0406 12:52:23.400000   14785 trace.go:110] "request" request="ended" service="checkout" customer="" content="2ec3ba11" idempotent=false outcome="unknown" status=502 reason="connection broke: EOF" took="90ms" left="2.9s" version=4 servers=16 tries="b5 answer-broken server=ended took=90ms belief=0.01 load=1.0" missed=0
I0406 12:52:23.500000   14785 trace.go:110] "request" request="held" service="checkout" customer="" content="2ec3ba11" idempotent=false outcome="not-run" status=503 reason="3 servers ended under this request: b5 4s ago by h1, b6 3s ago by h2, b8 1s ago by h1 (mend what ends the servers)" took="0s" left="2.9s" version=4 servers=16 tries="" missed=0
I0406 12:52:23.600000   14785 trace.go:110] "request" request="noroom" service="checkout" customer="" content="2ec3ba11" idempotent=false outcome="not-run" status=503 reason="all backend servers of checkout have no room in the rate limits that they name, for this request again in 1.2s (repeat the request after the time in Retry-After; add capacity)" took="4ms" left="2.9s" version=4 servers=16 tries="b1 backend-server-rate-limit took=2ms belief=0.01 load=1.0; b2 backend-server-rate-limit took=2ms belief=0.01 load=1.0" missed=0
   2.1 h2 I0406 12:52:24.000000   14786 event.go:167] "host-started" event=101 host="h2" service="" backend="" detail="dc1"
some other text
`

func read(t *testing.T) *explain.Logs {
	t.Helper()
	l := &explain.Logs{}
	if err := l.Read(strings.NewReader(logs), "h1"); err != nil {
		t.Fatal(err)
	}
	return l
}

// Covers the three walk-throughs of docs/OPERATIONS.md, an error caused by the request itself, and the
// other causes. Guards against a request being explained by the wrong cause.
func TestCauses(t *testing.T) {
	l := read(t)
	for id, want := range map[string][]string{
		"lost":     {"b7 failed it at once", "did not know yet", "must not run twice"},
		"own":      {"b2 worked on it for 180ms", "the request's own"},
		"shed":     {"overload: 2 servers refused", "has not run"},
		"withheld": {"overload: 2 servers refused", "allowance was spent (3 of 2.6 spent, up for 41s)", "has not run"},
		"copied":   {"server b1 answered it"},
		"other":    {"known to fail (belief 0.90)"},
		"limited":  {"customer fan was beyond its fleet-wide limit", "3 requests a second", "has not run"},
		"keyless":  {"no customer holds the key", "has not run"},
		"ended":    {"b5 ended while it had the request", "may have run", "must not run twice"},
		"held":     {"refused, because 3 servers ended", "b6 3s ago by h2", "has not run"},
		"noroom":   {"sent to no server", "no room in the rate limits", "again in 1.2s"},
		"gone":     {"no host has a line", "killed or cut off"},
	} {
		cause := l.Request(id).Cause
		for _, part := range want {
			if !strings.Contains(cause, part) {
				t.Errorf("%s: cause %q lacks %q", id, cause, part)
			}
		}
	}
}

func TestReportShowsRelatedLines(t *testing.T) {
	l := read(t)
	lost := strings.Join(l.Request("lost").Context, "\n")
	if !strings.Contains(lost, "server b7 within 5s: 1 of the 1 other logged attempts failed") {
		t.Errorf("context of the lost request: %s", lost)
	}
	gone := strings.Join(l.Request("gone").Context, "\n")
	if !strings.Contains(gone, "12:52:24 h2 host-started dc1") {
		t.Errorf("context of the unlogged request: %s", gone)
	}
	steps := strings.Join(l.Request("shed").Steps, "\n")
	for _, part := range []string{`reason given: backend-server-shed: "b3" refused`, "3.0 requests in progress there, returning:said-3.1s-ago; the server reported in its response: rest:3s"} {
		if !strings.Contains(steps, part) {
			t.Errorf("steps of the refused request lack %q: %s", part, steps)
		}
	}
}

// Guards against unserved requests that are counted twice, not at all or under the wrong cause.
func TestAccount(t *testing.T) {
	account := read(t).Account(explain.ByCause)
	counted := map[explain.CauseKind][2]int{}
	sum := 0
	for _, row := range account.Rows {
		counted[row.Cause] = [2]int{row.NotRun, row.Lost}
		sum += row.NotRun + row.Lost
	}
	want := map[explain.CauseKind][2]int{
		explain.CauseServerNewlyFailing: {0, 1},
		explain.CauseServerKnownFailing: {0, 1},
		explain.CauseRequestError:       {0, 1},
		explain.CauseShed:               {1, 0},
		explain.CauseRetryWithheld:      {1, 0},
		explain.CauseLimit:              {1, 0},
		explain.CauseUnknownKey:         {1, 0},
		explain.CauseServerCrashed:      {0, 1},
		explain.CauseQuarantined:        {1, 0},
		explain.CauseRateLimits:         {1, 0},
	}
	if !maps.Equal(counted, want) || sum != account.Unserved {
		t.Errorf("counted %v of %d, want %v", counted, account.Unserved, want)
	}
	if rows := read(t).Account(explain.ByCustomer).Rows; !slices.ContainsFunc(rows, func(r explain.AccountRow) bool { return r.Group == "fan" && r.NotRun == 1 }) {
		t.Errorf("no row for customer fan: %v", rows)
	}
}

// A customer's refusals beyond its limit must not be mixed with those of an overloaded service: the
// first call for a higher limit, the others for capacity.
func TestLimitsSeparateTheReasonsOfRefusals(t *testing.T) {
	want := explain.LimitRow{Customer: "fan", PerSecond: 3, OverLimit: 1, Seconds: 1}
	if rows := read(t).Limits(); !slices.Contains(rows, want) {
		t.Errorf("got %+v, want %+v among them", rows, want)
	}
}

// The report of a request shows, for each send, the connection, the response and what shows that the
// request did not run. Guards against a refused request whose sends cannot be told apart.
func TestReportShowsEvidenceOfEachSend(t *testing.T) {
	const log = `I0406 12:52:23.700000   14785 trace.go:110] "request" request="resent" service="checkout" customer="" idempotent=false outcome="not-run" status=503 reason="backend-server-shed: shed" took="4ms" left="2.9s" version=4 servers=16 tries="b1 not-run/503 conn=kept/12 got=503:own not-run-by=rejection took=2ms belief=0.01 load=1.0; b2 dial-failed not-run-by=unsent took=2ms belief=0.01 load=1.0; b3 wrong-answer conn=kept/3 got=503:id:9c41 took=2ms belief=0.01 load=1.0" missed=0`
	l := &explain.Logs{}
	if err := l.Read(strings.NewReader(log), "h1"); err != nil {
		t.Fatal(err)
	}
	steps := strings.Join(l.Request("resent").Steps, "\n")
	for _, part := range []string{
		"connection kept/12; response 503:own; not run, shown by: rejection",
		"0 requests in progress there; not run, shown by: unsent",
		"connection kept/3; response 503:id:9c41",
	} {
		if !strings.Contains(steps, part) {
			t.Errorf("steps of the request lack %q: %s", part, steps)
		}
	}
}
