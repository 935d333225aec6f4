package soak

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// A read was sent twice by the caller's own client, when a kept connection broke under it: the
// first had run, the second was told truthfully that it had not, and the check took the answer of
// the second for that of both. The log has both with one content:
//
//	content="a446e30b" outcome="unknown" reason="caller went away" tries="b2 canceled"
//	content="a446e30b" outcome="not-run" reason="backend server b1 shed the request"
//
// A caller must send each request once.
func TestCallersSendEachRequestOnce(t *testing.T) {
	var reads atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if reads.Add(1) == 1 {
			return // the connection is kept
		}
		panic(http.ErrAbortHandler) // it breaks
	}))
	defer server.Close()
	c := &caller{client: server.Client()}
	address := strings.TrimPrefix(server.URL, "http://")
	for _, token := range []string{"first", "second"} {
		c.exchange(context.Background(), pathRead+"/"+token, &attempt{kind: pathRead, token: token, host: &host{address: address}})
	}
	if got := reads.Load(); got != 2 {
		t.Errorf("two reads were sent %d times", got)
	}
}
