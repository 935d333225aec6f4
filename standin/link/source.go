package link

import (
	"net"
	"net/netip"
)

// A Link cuts all that connect to it alike. CutSources cuts some of them off, by the address that
// they connect from: a partition between some hosts and a server.

// CutSources puts the link's target out of reach of connections from some addresses, until it is
// called with other ones: FaultReset resets their connections, and new ones at once; FaultRefuse
// resets new ones only. FaultHang is not available, since the kernel establishes connections before
// the link sees them.
func (l *Link) CutSources(fault Fault, sources ...netip.Addr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sourceFault = fault
	l.sources = make(map[netip.Addr]bool, len(sources))
	for _, source := range sources {
		l.sources[source] = true
	}
	if fault != FaultReset {
		return
	}
	for conn := range l.conns {
		if l.isAccepted(conn) && l.sources[sourceOf(conn)] {
			reset(conn)
		}
	}
}

// Origin returns the address that a relayed connection comes from. remote is the address (IP:port)
// that the target sees.
func (l *Link) Origin(remote string) netip.Addr {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.origins[remote]
}

func (l *Link) keepOrigin(out, in net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.origins[out.LocalAddr().String()] = sourceOf(in)
}

func (l *Link) dropOrigin(out net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.origins, out.LocalAddr().String())
}

// refusesSource reports whether a new connection is reset for the address that it comes from.
func (l *Link) refusesSource(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return (l.sourceFault == FaultReset || l.sourceFault == FaultRefuse) && l.sources[sourceOf(conn)]
}

// isAccepted reports whether a connection came to the link, and was not opened by it to its target.
// l.mu must be held.
func (l *Link) isAccepted(conn net.Conn) bool {
	return conn.LocalAddr().String() == l.tcp.Addr().String()
}

func sourceOf(conn net.Conn) netip.Addr {
	address, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr().Unmap()
}

// reset ends a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a connection that ended already needs no reset
	}
	conn.Close()
}
