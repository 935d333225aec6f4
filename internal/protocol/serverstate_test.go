package protocol_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/protocol"
)

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// Retry-After of a server is honoured with status 503 only, and ignored if it cannot be
// parsed. Of several values, the longest applies.
func TestRest(t *testing.T) {
	for _, row := range []struct {
		status int
		values []string
		want   time.Duration
	}{
		{503, []string{"3"}, 3 * time.Second},
		{503, []string{"0.05"}, 50 * time.Millisecond},
		{503, []string{"86400"}, 24 * time.Hour},
		{503, []string{"1e308"}, 24 * time.Hour},
		{503, []string{"1e999"}, 24 * time.Hour},
		{503, []string{"+Inf"}, 24 * time.Hour},
		{503, []string{"0"}, 0},
		{503, []string{"-1"}, 0},
		{503, []string{"NaN"}, 0},
		{503, []string{""}, 0},
		{503, []string{"soon"}, 0},
		{503, nil, 0},
		{503, []string{"1", "4"}, 4 * time.Second},
		{503, []string{"2", "x"}, 2 * time.Second},
		{503, []string{"Fri, 02 Jan 2026 03:04:15 GMT"}, 10 * time.Second},
		{503, []string{"Fri, 02 Jan 2026 03:04:00 GMT"}, 0},
		{429, []string{"3"}, 0}, // concerns the caller, not the server
		{200, []string{"3"}, 0},
		{301, []string{"3"}, 0},
	} {
		got := protocol.Default().ReadServerState(now, row.status, http.Header{"Retry-After": row.values}).Rest
		if got != row.want {
			t.Errorf("%d with %q: %s, want %s", row.status, row.values, got, row.want)
		}
	}
}

// Connection: close does not mean that a server is leaving, because servers that stay also
// close connections.
func TestLeavingIsReportedByItsHeaderOnly(t *testing.T) {
	for value, want := range map[string]bool{"true": true, "false": false, "": false} {
		h := http.Header{"Connection": {"close"}}
		h.Set(protocol.HeaderLeaving, value)
		if got := protocol.Default().ReadServerState(now, 200, h).Leaving; got != want {
			t.Errorf("%q parsed as leaving: %v", value, got)
		}
	}
}

// The lowest of the limits in a response applies, whatever the status. A value that cannot be
// parsed makes the response state neither that there is a limit nor that there is none.
func TestRateLimit(t *testing.T) {
	for _, row := range []struct {
		values []string
		want   protocol.RateLimit
	}{
		{nil, protocol.RateLimit{}},
		{[]string{"2.4"}, protocol.RateLimit{Named: true, PerSecond: 2.4}},
		{[]string{"0"}, protocol.RateLimit{Named: true}},
		{[]string{"0.1"}, protocol.RateLimit{Named: true, PerSecond: 0.1}},
		{[]string{"1e308"}, protocol.RateLimit{Named: true, PerSecond: 1e6}},
		{[]string{"3", "1"}, protocol.RateLimit{Named: true, PerSecond: 1}},
		{[]string{"-1"}, protocol.RateLimit{Invalid: `"-1"`}},
		{[]string{"NaN"}, protocol.RateLimit{Invalid: `"NaN"`}},
		{[]string{"Inf"}, protocol.RateLimit{Invalid: `"Inf"`}},
		{[]string{"1,4"}, protocol.RateLimit{Invalid: `"1,4"`}},
		{[]string{""}, protocol.RateLimit{Invalid: `""`}},
		{[]string{"1", "x"}, protocol.RateLimit{Invalid: `"x"`}},
	} {
		for _, status := range []int{200, 404, 500, 503} {
			h := http.Header{protocol.HeaderLimit: row.values, "Retry-After": {"3"}}
			got := protocol.Default().ReadServerState(now, status, h)
			if got.Limit != row.want {
				t.Errorf("%d with %q: %+v, want %+v", status, row.values, got.Limit, row.want)
			}
			if rests := got.Rest > 0; rests != (status == 503) {
				t.Errorf("%d: Rest set is %v in a response with a limit", status, rests)
			}
		}
	}
}
