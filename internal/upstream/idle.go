package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// idleTimeoutFraction is the fraction of the server's announced idle timeout
// within which a connection is reused. A request sent while the server closes the
// connection is lost, so the last fifth is left out.
const idleTimeoutFraction = 0.8

// keepAliveTimeout parses the "timeout=N" parameter of a Keep-Alive header
// (RFC 2068, 19.7.1.1), in whole seconds. It returns 0 if there is none.
func keepAliveTimeout(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// setServerIdleTimeout records the idle timeout that the server announced; 0
// leaves an earlier one in place.
func (c *trackedConn) setServerIdleTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if timeout > 0 {
		c.serverIdleTimeout = timeout
	}
}

// sealIfIdle seals a connection that has been idle for longer than maxIdle (0 for
// no limit), or for longer than idleTimeoutFraction of the server's idle timeout.
// A request on it then counts as not written.
func (c *trackedConn) sealIfIdle(idle, maxIdle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serverIdleTimeout > 0 && float64(idle) > idleTimeoutFraction*float64(c.serverIdleTimeout) {
		c.sealed = true
	}
	if maxIdle > 0 && idle > maxIdle {
		c.sealed = true
	}
}
