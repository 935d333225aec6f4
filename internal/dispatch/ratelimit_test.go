package dispatch

import (
	"testing"
	"time"
)

// A token expires because other hosts may have used its share of the rate limit while this host
// was paused.
func TestTokenExpires(t *testing.T) {
	taken := time.Unix(1_700_000_000, 0)
	token := &sendToken{takenAt: taken}
	if token.isExpired(taken.Add(tokenLifetime)) {
		t.Error("token expired before its lifetime was over")
	}
	if !token.isExpired(taken.Add(tokenLifetime + time.Nanosecond)) {
		t.Error("token did not expire after its lifetime")
	}
}
