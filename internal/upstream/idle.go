package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// idleMargin is the part of a server's announced idle timeout for which a
// connection is used again: a request that crosses the server's close is lost.
const idleMargin = 0.8

// announcedIdle reads "timeout=N" of a Keep-Alive header (RFC 2068, 19.7.1.1),
// in whole seconds. It is 0 where there is none.
func announcedIdle(h http.Header) time.Duration {
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

// announce keeps the idle timeout that the server announced.
func (c *trackedConn) announce(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if timeout > 0 {
		c.idleTimeout = timeout
	}
}

// sealIfIdle forbids writes on a connection that has been idle for longer than
// maxIdle, or for nearly as long as its server keeps it. The request on it then
// counts as not written.
func (c *trackedConn) sealIfIdle(idle, maxIdle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleTimeout > 0 && float64(idle) > idleMargin*float64(c.idleTimeout) {
		c.sealed = true
	}
	if maxIdle > 0 && idle > maxIdle {
		c.sealed = true
	}
}
