package clientlimit

// The end of a connection may end the body of a response to a request of HTTP/1.0. A response that is cut off must
// therefore end with a reset, which conn.http10, unfinished, failed and cutOff see to.

// finishResponse is called when a handler has written its whole response. It is not called if the handler aborts it.
func (c *conn) finishResponse() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.unfinished = false
}

// resetCutOff has the end of the connection be a reset if the response of the last request is not complete.
// Limiter.mu must be held.
func (c *conn) resetCutOff() {
	if !c.http10 || !c.unfinished && !c.failed {
		return
	}
	if socket, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0) // fails on a connection that has ended
	}
}
