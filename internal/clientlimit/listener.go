package clientlimit

import (
	"container/list"
	"crypto/tls"
	"net"
	"time"
)

const (
	// closesPerAccept bounds the connections that are closed to accept another one.
	closesPerAccept = 4
	// overshootFraction is the fraction by which a listener may exceed its limit for as long as requests that were
	// given up for it take to end.
	overshootFraction = 8
)

// Listener accepts up to a number of connections. A further one takes the place of the connection that has waited
// for longest without a complete request, or of one whose client does not read its response.
type Listener struct {
	net.Listener
	limiter *Limiter
	name    string
	max     int

	// Protected by Limiter.mu. waiting are those connections that have no request in a handler, by the time at which
	// they were accepted, became idle or began a request.
	waiting list.List // of *conn
	conns   map[*conn]struct{}
}

// Listen returns a listener with a limit of connections. The name is used in metrics.
func (l *Limiter) Listen(inner net.Listener, name string, maxConns int) *Listener {
	return &Listener{Listener: inner, limiter: l, name: name, max: maxConns, conns: make(map[*conn]struct{})}
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
		if len(l.conns) < l.max {
			l.add(c)
			l.limiter.mu.Unlock()
			return true
		}
		victim := l.victim(time.Now())
		if victim != nil {
			victim.abandon()
		}
		l.limiter.mu.Unlock()
		if victim == nil {
			return l.admitBeyond(c)
		}
		victim.refuse()
		l.limiter.refused(l.name, Connections)
	}
	return false
}

// victim returns the connection that is closed for another one, nil if there is none. Limiter.mu must be held.
func (l *Listener) victim(now time.Time) *conn {
	if element := l.waiting.Front(); element != nil {
		return element.Value.(*conn)
	}
	var victim *conn
	oldest := now.Add(-responseGrace)
	for c := range l.conns {
		if since, ok := c.stalledSince(); ok && since.Before(oldest) && !c.abandoned {
			victim, oldest = c, since
		}
	}
	return victim
}

// admitBeyond gives up a request that waits for its body, whose connection closes once it has been answered, and
// admits the new connection already.
func (l *Listener) admitBeyond(c *conn) bool {
	if !l.limiter.giveUpBody() {
		return false
	}
	l.limiter.mu.Lock()
	defer l.limiter.mu.Unlock()
	if len(l.conns) >= l.max+l.max/overshootFraction {
		return false
	}
	l.add(c)
	return true
}

// add counts a new connection. Limiter.mu must be held.
func (l *Listener) add(c *conn) {
	l.conns[c] = struct{}{}
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
