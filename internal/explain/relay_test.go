package explain

import (
	"slices"
	"strings"
	"testing"
)

// relayedLog has requests of host h1, which does not reach servers: one that h2 served for it, one
// that failed there, and one that no host took.
const relayedLog = `h1 I0406 12:52:20.000000   1 trace.go:110] "request" request="served" service="checkout" for="" idempotent=false outcome="complete" status=200 reason="" took="31ms" left="2.79s" version=4 servers=16 tries="b1 dial-failed took=250ms belief=0.01 load=1.0; h2 answered/200 as=relay took=31ms belief=0.00 load=0.0" missed=0
h2 I0406 12:52:20.000000   1 trace.go:110] "request" request="served" service="checkout" for="h1" idempotent=false outcome="complete" status=200 reason="" took="30ms" left="2.79s" version=4 servers=16 tries="b2 answered/200 took=30ms belief=0.01 load=1.0" missed=0
h1 I0406 12:52:21.000000   1 trace.go:110] "request" request="failed" service="checkout" for="" idempotent=false outcome="complete" status=500 reason="" took="3ms" left="2.79s" version=4 servers=16 tries="h2 answered/500 as=relay took=3ms belief=0.00 load=0.0" missed=0
h2 I0406 12:52:21.000000   1 trace.go:110] "request" request="failed" service="checkout" for="h1" idempotent=false outcome="complete" status=500 reason="" took="2ms" left="2.79s" version=4 servers=16 tries="b7 answered/500 took=2ms belief=0.90 load=1.0" missed=0
h1 I0406 12:52:22.000000   1 trace.go:110] "request" request="refused" service="checkout" for="" idempotent=false outcome="not-run" status=503 reason="this host cannot connect to any backend server, and no other host took the request (repeat the request)" took="2ms" left="2.79s" version=4 servers=16 tries="h2 declined as=relay took=1ms belief=0.00 load=0.0" missed=0
`

func relayedLogs(t *testing.T) *Logs {
	t.Helper()
	logs := &Logs{}
	if err := logs.Read(strings.NewReader(relayedLog), "-"); err != nil {
		t.Fatal(err)
	}
	return logs
}

// The report of a relayed request has what both hosts did, and the cause lies where it was sent.
func TestRelayedRequestIsExplained(t *testing.T) {
	logs := relayedLogs(t)
	report := logs.Request("failed")
	for _, want := range []string{"relayed through host h2, answered/500", "h2 served it for h1", "server b7"} {
		if !slices.ContainsFunc(report.Steps, func(step string) bool { return strings.Contains(step, want) }) {
			t.Errorf("no step has %q: %q", want, report.Steps)
		}
	}
	for id, want := range map[string]string{"served": "server b2 answered", "failed": "server b7 was known to fail", "refused": "h2 did not serve the request"} {
		if got := logs.Request(id).Cause; !strings.Contains(got, want) {
			t.Errorf("%s: cause %q, want %q", id, got, want)
		}
	}
}

// A relayed request counts once.
func TestRelayedRequestCountsOnce(t *testing.T) {
	account := relayedLogs(t).Account(ByCause)
	causes := make(map[CauseKind]int)
	for _, row := range account.Rows {
		causes[row.Cause] += row.NotRun + row.Lost
	}
	if account.Unserved != 2 || causes[CausePathLost] != 1 || causes[CauseServerKnownFailing] != 1 {
		t.Errorf("%d unserved by %v, want one for the lost path and one for the server", account.Unserved, causes)
	}
}
