package dispatch

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/internal/upstream"
	"github.com/pearshelf/pearshelf/internal/world"
)

// refusedByOwner is an owner host's answer that the request has not run.
func refusedByOwner(id string) *upstream.Answer {
	header := http.Header{}
	header.Set(protocol.HeaderRequestID, id)
	header.Set(HeaderOutcome, string(OutcomeNotRun))
	header.Set(HeaderKind, string(errs.KindQueueFull))
	return &upstream.Answer{Response: &http.Response{StatusCode: http.StatusServiceUnavailable, Header: header, Body: io.NopCloser(strings.NewReader(""))}}
}

// A request that may have run at one owner host is not told as not run because
// the next one refused it.
func TestRefusalAfterAnOwnerBrokeOff(t *testing.T) {
	x := &exchange{req: &Request{ID: "r1", Idempotent: true}, w: httptest.NewRecorder(), written: true}
	done, err := x.relay(context.Background(), world.OwnerView{Host: "h2"}, refusedByOwner("r1"))
	refusal, ok := err.(*Refusal)
	if !done || !ok || refusal.Outcome != OutcomeUnknown {
		t.Errorf("done %t, error %v; want the outcome unknown", done, err)
	}
}

// A request that makes a host panic while it is sent apart from its handler fails alone.
func TestPanicWhileSendingEndsNoHost(t *testing.T) {
	in := httptest.NewRequest(http.MethodGet, "/x", nil)
	req := NewRequest(in)
	if err := req.body.keep(); err != nil {
		t.Fatal(err)
	}
	x := &exchange{d: &Dispatcher{marks: protocol.Own()}, req: req}
	got := x.fetchApart(context.Background(), destination{adjust: func(http.Header) { panic("planted") }})
	if got.failure == nil || !got.failure.Written {
		t.Errorf("got %+v, a failure that may have run expected", got)
	}
}

// The same holds where this host itself refuses it in the end.
func TestRefusalHereAfterAnOwnerBrokeOff(t *testing.T) {
	for written, want := range map[bool]Outcome{true: OutcomeUnknown, false: OutcomeNotRun} {
		x := &exchange{req: &Request{ID: "r1"}, written: written}
		got := x.truthful(notRun(errs.New(errs.KindQueueFull, "full", "repeat it"), 0))
		if got.Outcome != want {
			t.Errorf("written %t: outcome %s, want %s", written, got.Outcome, want)
		}
	}
}
