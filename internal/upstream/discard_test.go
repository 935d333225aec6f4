package upstream_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/pearshelf/pearshelf/internal/upstream"
)

// Guards against breaking a request of another caller: a response that was discarded closed its
// connection, which by then carried the next request.
func TestDiscardLeavesTheConnectionToTheNextRequest(t *testing.T) {
	arrived, proceed := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/second" {
			close(arrived)
			<-proceed
		}
		w.Header().Set("Content-Length", "0")
	}))
	defer server.Close()
	transport := upstream.NewTransport(upstream.Config{})
	defer transport.Close()
	do := func(path string) (*upstream.Answer, *upstream.Failure) {
		req, err := http.NewRequest(http.MethodPost, server.URL+path, upstream.Body(nil))
		if err != nil {
			t.Error(err)
		}
		return transport.Do(context.Background(), req, upstream.Conditions{})
	}
	first, failure := do("/first")
	if failure != nil {
		t.Fatal(failure)
	}
	result := make(chan *upstream.Failure, 1)
	go func() {
		answer, failure := do("/second")
		if failure == nil && !answer.Reused {
			t.Error("the second request was sent on another connection")
		}
		result <- failure
	}()
	<-arrived
	first.Discard()
	close(proceed)
	if failure := <-result; failure != nil {
		t.Errorf("the second request failed, written %t: %v", failure.Written, failure)
	}
	third, failure := do("/third")
	if failure != nil {
		t.Fatal(failure)
	}
	third.Discard()
	if fourth, failure := do("/fourth"); failure == nil && fourth.Reused {
		t.Error("the connection of a discarded response carries a later request")
	}
}
