package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"
)

// inForce is the time within which a new configuration must reach the hosts: the users' bound.
const inForce = 8 * time.Second

// silentFirst leaves the first call without an answer, as an open connection does that has gone silent.
type silentFirst struct{ calls int }

func (s *silentFirst) RoundTrip(r *http.Request) (*http.Response, error) {
	s.calls++
	if s.calls == 1 {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	answer := httptest.NewRecorder()
	answer.Header().Set("ETag", `"7"`)
	answer.WriteString("shards: {}\n")
	return answer.Result(), nil
}

// Guards against a configuration that is not in force in time because the connection on which it was awaited stands
// still.
func TestSilentWatchIsRepeatedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClient("http://platform.example")
		c.http = &http.Client{Transport: &silentFirst{}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		began := time.Now()
		var after time.Duration
		c.watchKey(ctx, watchedKeys[0], func() uint64 { return 0 }, func(*Value) {
			after = time.Since(began)
			cancel()
		}, func(error) {})
		if after == 0 || after > inForce {
			t.Errorf("the value was delivered after %s, want %s at most", after, inForce)
		}
	})
}
