package clientlimit

import (
	"container/list"
	"crypto/tls"
	"net"
)

const (
	// closesPerAccept bounds the connections that are closed to accept another one.
	closesPerAccept = 4
	// overshootFraction is the fraction by which a listener may exceed its limit for as long as requests that were
	// given up for it take to end.
	overshootFraction = 8
)

// Listener accepts up to a number of connections. A further one takes the place of the connection that has waited
// for longest without a complete request.
type Listener struct {
	net.Listener
	limiter *Limiter
	name    string
	max     int

	// Protected by Limiter.mu. waiting are the connections that have no request in a handler, by the time at which
	// they were accepted, became idle or began a request.
	open    int
	waiting list.List // of *conn
}

// Listen returns a listener with a limit of connections. The name is used in metrics.
func (l *Limiter) Listen(inner net.Listener, name string, maxConns int) *Listener {
	return &Listener{Listener: inner, limiter: l, name: name, max: maxConns}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, listener: l, limiter: l.limiter}
		if l.admit(c) {
			return c, nil
		}
		_ = inner.Close() // nothing was read from it
		l.limiter.refused(l.name, Connections)
	}
}

// admit makes room for a connection, and reports whether there is some.
func (l *Listener) admit(c *conn) bool {
	for range closesPerAccept {
		l.limiter.mu.Lock()
		if l.open < l.max {
			l.add(c)
			l.limiter.mu.Unlock()
			return true
		}
		var oldest *conn
		if element := l.waiting.Front(); element != nil {
			oldest = element.Value.(*conn)
			oldest.abandon()
		}
		l.limiter.mu.Unlock()
		if oldest == nil {
			return l.admitBeyond(c)
		}
		oldest.refuse()
		l.limiter.refused(l.name, Connections)
	}
	return false
}

// admitBeyond gives up a request that waits for its body, whose connection closes once it has been answered, and
// admits the new connection already.
func (l *Listener) admitBeyond(c *conn) bool {
	if !l.limiter.giveUpBody() {
		return false
	}
	l.limiter.mu.Lock()
	defer l.limiter.mu.Unlock()
	if l.open >= l.max+l.max/overshootFraction {
		return false
	}
	l.add(c)
	return true
}

// add counts a new connection. Limiter.mu must be held.
func (l *Listener) add(c *conn) {
	l.open++
	c.wait()
}

// unwrap returns the connection below TLS, nil if it was not accepted by a Listener.
func unwrap(c net.Conn) *conn {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	accepted, _ := c.(*conn)
	return accepted
}
