package dispatch

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/internal/upstream"
	"github.com/pearshelf/pearshelf/internal/world"
)

// refusalOfOwner returns an owner host's response that it has not run the request.
func refusalOfOwner(id string) *upstream.Answer {
	header := http.Header{}
	header.Set(protocol.HeaderRequestID, id)
	header.Set(HeaderOutcome, string(OutcomeNotRun))
	header.Set(HeaderKind, string(errs.KindQueueFull))
	return &upstream.Answer{Response: &http.Response{StatusCode: http.StatusServiceUnavailable, Header: header, Body: io.NopCloser(strings.NewReader(""))}}
}

// A request that may have run at one owner host must not be reported as not run because the
// next owner refused it.
func TestRefusalAfterAnOwnerBrokeOff(t *testing.T) {
	x := &exchange{d: &Dispatcher{proto: protocol.Default()}, req: &Request{ID: "r1", Idempotent: true}, w: httptest.NewRecorder(), written: true}
	done, err := x.passResponse(context.Background(), world.OwnerView{Host: "h2"}, refusalOfOwner("r1"), otherHosts{})
	refusal, ok := err.(*Refusal)
	if !done || !ok || refusal.Outcome != OutcomeUnknown {
		t.Errorf("done %t, error %v; want the outcome unknown", done, err)
	}
}

// A request that causes a panic on the goroutine that sends it fails alone: the panic must not
// crash the host.
func TestPanicWhileSendingDoesNotCrashHost(t *testing.T) {
	in := httptest.NewRequest(http.MethodGet, "/x", nil)
	req := NewRequest(in)
	if err := req.body.buffer(); err != nil {
		t.Fatal(err)
	}
	x := &exchange{d: &Dispatcher{proto: protocol.Default()}, req: req}
	got := x.roundTripRecovered(context.Background(), destination{adjust: func(http.Header) { panic("planted") }})
	if got.failure == nil || !got.failure.Written {
		t.Errorf("got %+v, want a failure of a request that may have run", got)
	}
}

// A request that may have run at an owner host must not be reported as not run because this host
// refuses it in the end.
func TestRefusalHereAfterAnOwnerBrokeOff(t *testing.T) {
	for written, want := range map[bool]Outcome{true: OutcomeUnknown, false: OutcomeNotRun} {
		x := &exchange{req: &Request{ID: "r1"}, written: written}
		got := x.toRefusal(refuseNotRun(errs.New(errs.KindQueueFull, "full", "repeat it"), 0))
		if got.Outcome != want {
			t.Errorf("written %t: outcome %s, want %s", written, got.Outcome, want)
		}
	}
}

// An owner host that lost its path while a server had the request has declined it, and the server may
// have run it: the request must not be reported as not run when no other host takes it.
func TestRefusalAfterAnOwnerLostItsPath(t *testing.T) {
	owner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderOutcome, string(OutcomeUnknown))
		w.Header().Set(HeaderKind, string(errs.KindPathLost))
		w.WriteHeader(http.StatusBadGateway)
	}))
	defer owner.Close()
	req := NewRequest(httptest.NewRequest(http.MethodGet, "/x", nil))
	req.Idempotent, req.Deadline = true, time.Now().Add(time.Minute)
	if err := req.body.buffer(); err != nil {
		t.Fatal(err)
	}
	address := strings.TrimPrefix(owner.URL, "http://")
	x := &exchange{
		d:    &Dispatcher{proto: protocol.Default(), owners: upstream.NewTransport(upstream.Config{}), conf: Config{PeerScheme: "http"}, snapshot: func() *world.Snapshot { return &world.Snapshot{} }},
		req:  req,
		snap: &world.Snapshot{},
		view: &world.ServiceView{Owners: []world.OwnerView{{Host: "h2", Address: address}}},
	}
	if done, err := x.forward(t.Context()); done {
		t.Fatalf("the owner's refusal ended the request: %v", err)
	}
	if got := x.toRefusal(refuseNotRun(errs.New(errs.KindQueueFull, "full", "repeat it"), 0)); got.Outcome != OutcomeUnknown {
		t.Errorf("outcome %s, want %s", got.Outcome, OutcomeUnknown)
	}
}
