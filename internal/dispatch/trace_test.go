package dispatch

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/logging"
	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/internal/world"
)

// closedAddress returns an address at which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	return l.Addr().String()
}

// Guards against log lines that do not tell a sound rejection from a believed one: each send names
// its connection, the response with its ID, and what shows that the request did not run.
func TestLoggedSendNamesConnectionResponseAndEvidence(t *testing.T) {
	notRun := func(id string) map[string]string {
		return map[string]string{protocol.HeaderRequestID: id, protocol.HeaderNotRun: "true"}
	}
	host := func(id string) map[string]string {
		return map[string]string{protocol.HeaderRequestID: id, HeaderOutcome: string(OutcomeNotRun), HeaderKind: "stale-host"}
	}
	for name, c := range map[string]struct {
		header  map[string]string // of the response, nil if nothing listens
		earlier int
		expired bool
		relay   bool
		want    []string
		without string
	}{
		"rejection":                    {header: notRun(ownID), want: []string{"conn=new got=503:own not-run-by=rejection"}},
		"rejection, kept connection":   {header: notRun(ownID), earlier: 2, want: []string{"conn=kept/2 got=503:own not-run-by=rejection"}},
		"rejection of another request": {header: notRun("a;b c=d"), earlier: 1, want: []string{"conn=kept/1 got=503:id:a_b_c_d"}, without: "not-run-by"},
		"rejection without an ID":      {header: notRun(""), earlier: 1, want: []string{"conn=kept/1 got=503:none"}, without: "not-run-by"},
		"no connection":                {want: []string{"not-run-by=unsent"}, without: "conn="},
		"deadline before the write":    {header: notRun(ownID), expired: true, want: []string{"conn=new not-run-by=unwritten"}, without: "got="},
		"another host's decline":       {header: host(ownID), relay: true, want: []string{"as=relay conn=new got=503:own not-run-by=host"}},
		"decline of another request":   {header: host(anotherID), relay: true, want: []string{"conn=new got=503:id:another"}, without: "not-run-by"},
	} {
		t.Run(name, func(t *testing.T) {
			x := newSendingExchange(t)
			address := closedAddress(t)
			if c.header != nil {
				address = serverWith(t, http.StatusServiceUnavailable, c.header)
			}
			for range c.earlier {
				openConnection(t, x.d.backends, address)
			}
			if c.expired {
				x.req.Deadline = time.Now().Add(-time.Second)
			}
			if c.relay {
				x.d.relays = newRelayTable()
				_, _ = x.relayThrough(t.Context(), world.RelayHost{OwnerView: world.OwnerView{Host: "h2", Address: address}})
			} else {
				refusal := x.sendTo(t, address)
				if got, want := refusal.Outcome == OutcomeNotRun, x.trace.attempts[0].evidence != ""; got != want {
					t.Errorf("outcome %q, evidence %q", refusal.Outcome, x.trace.attempts[0].evidence)
				}
			}
			line := x.trace.String()
			for _, want := range c.want {
				if !strings.Contains(line, want) {
					t.Errorf("%q lacks %q", line, want)
				}
			}
			if c.without != "" && strings.Contains(line, c.without) {
				t.Errorf("%q has %q", line, c.without)
			}
		})
	}
}

// A request line stays short whatever a server puts into its responses, and lines beyond the limit
// are counted. Guards against a log that grows without bound while servers reject everything.
func TestLoggedSendsAreBounded(t *testing.T) {
	const bytesPerSend = 220
	id := strings.Repeat("x", 4096)
	a := &attempt{server: "i-00000000", result: "not-run/503"}
	a.response = "503:" + formatResponseID(id, ownID)
	a.connection = formatConnection(true, 1<<30)
	a.evidence = evidenceRejection
	var requestTrace trace
	for range maxSends {
		requestTrace.attempts = append(requestTrace.attempts, a)
	}
	if got := len(requestTrace.String()); got > maxSends*bytesPerSend {
		t.Errorf("%d sends take %d bytes", maxSends, got)
	}
	log := requestLog{limit: logging.NewLineLimiter(requestLinesPerSecond)}
	now, logged := time.Unix(1000, 0), 0
	const refused = 5 * requestLinesPerSecond
	for range refused {
		if log.shouldLog(now, false) {
			logged++
		}
	}
	if missed := log.limit.TakeSuppressed(); logged != requestLinesPerSecond || missed != refused-requestLinesPerSecond {
		t.Errorf("%d lines and %d counted as left out of %d", logged, missed, refused)
	}
}

type ignoreOutcomes struct{}

func (ignoreOutcomes) Observe(*peerpb.Observation) {}

type ignoreEvents struct{}

func (ignoreEvents) Record(event.Number, string, string, string) {}

// sendTo sends the request to a server and evaluates the result.
func (x *exchange) sendTo(t *testing.T, address string) *Refusal {
	t.Helper()
	x.view.Config = &config.Service{}
	x.d.observer, x.d.events = ignoreOutcomes{}, ignoreEvents{}
	lease := &serverLease{Server: world.BackendView{ID: fmt.Sprint("server at ", address)}}
	x.beginAttempt(lease, "")
	result := x.roundTrip(t.Context(), destination{transport: x.d.backends, scheme: "http", address: address, view: x.view, adjust: func(http.Header) {}})
	done, refusal := x.handleResult(t.Context(), lease, result)
	if done {
		t.Fatal("the caller has been answered")
	}
	return refusal
}
