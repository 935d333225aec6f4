package dispatch

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearshelf/pearshelf/internal/availability"
	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/metrics"
	"github.com/pearshelf/pearshelf/internal/process"
	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/internal/upstream"
	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	ownID     = "own"
	anotherID = "another"
	targetID  = "Target"
)

// unlimited is a RateLimits that never withholds a request.
type unlimited struct{ RateLimits }

func (unlimited) RecordLimit(process.Server, time.Time, protocol.RateLimit) {}

// newSendingExchange returns the exchange of a request with the ID ownID, which can be sent to any
// address.
func newSendingExchange(t *testing.T) *exchange {
	t.Helper()
	proto := protocol.Default()
	proto.Target = targetID
	req := NewRequest(httptest.NewRequest(http.MethodPost, "/x", nil))
	req.ID, req.Deadline, req.Idempotent = ownID, time.Now().Add(time.Minute), true
	if err := req.body.buffer(); err != nil {
		t.Fatal(err)
	}
	transport := upstream.NewTransport(upstream.Config{})
	t.Cleanup(transport.Close)
	snap := &world.Snapshot{}
	return &exchange{
		d: &Dispatcher{
			proto: proto, conf: Config{PeerScheme: "http"}, backends: transport, owners: transport,
			availability: availability.NewTable(time.Now), rateLimits: unlimited{},
			metrics: metrics.New(prometheus.NewRegistry()), snapshot: func() *world.Snapshot { return snap },
		},
		req: req, snap: snap, view: &world.ServiceView{},
	}
}

// serverWith returns the address of a server whose responses have a status and headers. A value of
// "" for the request ID leaves it out.
func serverWith(t *testing.T, status int, header map[string]string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for name, value := range header {
			if value != "" {
				w.Header().Set(name, value)
			}
		}
		w.WriteHeader(status)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// openConnection leaves a kept connection to an address, so that the next request does not get a
// new one.
func openConnection(t *testing.T, transport *upstream.Transport, address string) {
	t.Helper()
	out, err := http.NewRequest(http.MethodGet, "http://"+address, upstream.Body(nil))
	if err != nil {
		t.Fatal(err)
	}
	response, failure := transport.Do(t.Context(), out, upstream.Conditions{})
	if failure != nil {
		t.Fatal(failure)
	}
	response.DrainAndClose()
}

// What a response states counts only if it is a response to this request: a rejection or load
// report that a server sent late, for another request of the same connection, must not be taken
// for this one's. Guards against running a non-idempotent request twice.
func TestResponseCountsOnlyForItsRequest(t *testing.T) {
	rejections := map[string]struct {
		status int
		notRun string
	}{
		"rejection":   {http.StatusServiceUnavailable, "true"},
		"misdirected": {http.StatusMisdirectedRequest, ""},
		"own error":   {http.StatusInternalServerError, ""},
	}
	for _, c := range []struct {
		id               string
		reused           bool
		allowMissingEcho bool
		isForThis        bool
	}{
		{id: ownID, reused: false, isForThis: true},
		{id: ownID, reused: true, isForThis: true},
		{id: anotherID, reused: false, isForThis: false},
		{id: anotherID, reused: true, isForThis: false},
		{id: anotherID, reused: true, allowMissingEcho: true, isForThis: false},
		{id: "", reused: false, isForThis: true},
		{id: "", reused: true, isForThis: false},
		{id: "", reused: true, allowMissingEcho: true, isForThis: true},
	} {
		for name, rejection := range rejections {
			t.Run(fmt.Sprintf("%s, id %q, reused %t, missing allowed %t", name, c.id, c.reused, c.allowMissingEcho), func(t *testing.T) {
				x := newSendingExchange(t)
				address := serverWith(t, rejection.status, map[string]string{
					protocol.HeaderRequestID: c.id, protocol.HeaderNotRun: rejection.notRun, protocol.HeaderLoad: "3/4",
				})
				if c.reused {
					openConnection(t, x.d.backends, address)
				}
				x.view.Config = &config.Service{AllowMissingEcho: c.allowMissingEcho}
				result := x.roundTrip(t.Context(), destination{transport: x.d.backends, scheme: "http", address: address, view: x.view, adjust: func(http.Header) {}})
				if result.failure != nil {
					t.Fatal(result.failure)
				}
				if result.response.Reused != c.reused {
					t.Fatalf("connection reused %t, want %t", result.response.Reused, c.reused)
				}
				isRejection := name != "own error"
				if got, want := result.kind == responseNotRun, isRejection && c.isForThis; got != want {
					t.Errorf("counts as not run: %t, want %t", got, want)
				}
				if !c.isForThis && result.kind != responseMismatched {
					t.Errorf("kind %d, want that of a mismatched response", result.kind)
				}
				if got, want := result.reported.Load != nil, name != "misdirected" && c.isForThis; got != want {
					t.Errorf("load report counts: %t, want %t", got, want)
				}
			})
		}
	}
}

// A decline that another host sent for another request must not lead to a second send of this one:
// the host may have passed it to a server.
func TestLateDeclineOfAnotherRequest(t *testing.T) {
	address := serverWith(t, http.StatusServiceUnavailable, map[string]string{
		protocol.HeaderRequestID: anotherID, HeaderOutcome: string(OutcomeNotRun), HeaderKind: string(errs.KindStaleHost),
	})
	for name, send := range map[string]func(x *exchange) (bool, error){
		"owner host": func(x *exchange) (bool, error) {
			x.view.Owners = []world.OwnerView{{Host: "h2", Address: address}}
			return x.forward(t.Context())
		},
		"relay": func(x *exchange) (bool, error) {
			x.d.relays = newRelayTable()
			return x.relayThrough(t.Context(), world.RelayHost{OwnerView: world.OwnerView{Host: "h2", Address: address}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			done, err := send(newSendingExchange(t))
			refusal, ok := err.(*Refusal)
			if !done || !ok || refusal.Outcome != OutcomeUnknown {
				t.Errorf("done %t, error %v; want the outcome unknown", done, err)
			}
		})
	}
}

// A download is resumed only by a response to this request: the validators of different resources
// may be equal.
func TestResumeByAnotherRequestsResponse(t *testing.T) {
	for id, want := range map[string]bool{ownID: true, anotherID: false} {
		x := newSendingExchange(t)
		address := serverWith(t, http.StatusPartialContent, map[string]string{protocol.HeaderRequestID: id, "ETag": `"v1"`})
		others := otherHosts{func() []world.OwnerView { return []world.OwnerView{{Host: "h2", Address: address}} }, func(http.Header) {}}
		response := x.reopenAtHost(t.Context(), rangeRequest{offset: 1, etag: `"v1"`}, others, new([]string))
		if (response != nil) != want {
			t.Errorf("resumed by a response with the ID %s: %t, want %t", id, response != nil, want)
		}
	}
}

// roundTripUntilWritten sends the request until a byte of it has left, as the dispatcher does: a
// connection that was closed a moment ago may be picked once more. Any other failure fails the test.
func (x *exchange) roundTripUntilWritten(t *testing.T, to destination) sendResult {
	t.Helper()
	for range maxUnsentFailures {
		result := x.roundTrip(t.Context(), to)
		if result.failure == nil {
			return result
		}
		if result.failure.Written {
			t.Fatal(result.failure)
		}
	}
	t.Fatalf("no byte of the request was written on %d connections", maxUnsentFailures)
	return sendResult{}
}

// A request that was rejected may be sent to the same address again, with the same ID: its borrowed slot
// was in use, or another server has taken the address. It must not go out on the same connection: the
// rejection could arrive once more there, and count for the second send. Other requests may use that
// connection. Guards against running a non-idempotent request twice.
func TestRejectedRequestAvoidsItsConnection(t *testing.T) {
	for _, borrowed := range []bool{false, true} {
		for _, idempotent := range []bool{false, true} {
			x := newSendingExchange(t)
			x.state = &serviceState{budget: newRetryBudget()}
			address := serverWith(t, http.StatusServiceUnavailable, map[string]string{protocol.HeaderRequestID: ownID, protocol.HeaderNotRun: "true"})
			lease := &serverLease{Borrowed: borrowed, attempt: &attempt{}, reportLoad: func(protocol.Load) {}}
			to := destination{transport: x.d.backends, scheme: "http", address: address, view: x.view, adjust: func(http.Header) {}}
			result := x.roundTripUntilWritten(t, to)
			x.req.Idempotent = idempotent
			x.handleResult(t.Context(), lease, result)
			x.req.Idempotent = true // sent although this host's view is never fresh
			again := to
			again.avoid = x.toServer(lease).avoid
			if second := x.roundTripUntilWritten(t, again); second.response.Reused {
				t.Errorf("borrowed %t, idempotent %t: the same request went out on its connection again", borrowed, idempotent)
			} else {
				second.response.DrainAndClose()
			}
			if other := x.roundTripUntilWritten(t, to); !other.response.Reused {
				t.Errorf("borrowed %t, idempotent %t: no connection was left to another request", borrowed, idempotent)
			}
		}
	}
}
