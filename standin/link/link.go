// Package link is a stand-in for the network in front of a host: it relays TCP
// and UDP to the host, can cut either direction, delay it, reset connections or
// let open ones go silent.
package link

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	datagramBytes = 64 << 10
	pieceBytes    = 32 << 10
)

// Link relays to one target; others reach the target only through it.
type Link struct {
	tcp    net.Listener // under mu
	udp    *net.UDPConn
	target string

	cutIn  atomic.Bool // towards the target
	cutOut atomic.Bool // from the target

	delayNs atomic.Int64 // of each piece, both ways

	mu    sync.Mutex
	conns map[net.Conn]bool
	// silenced connections pass nothing on any more, without an end.
	silenced map[net.Conn]bool
	// sources are cut off by sourceFault, see CutSources.
	sourceFault Fault
	sources     map[netip.Addr]bool
	// origins are the addresses that relayed connections come from, by the address from which they
	// reach the target.
	origins map[string]netip.Addr
	flows   map[string]*net.UDPConn
}

// openTries bounds how often a port is looked for that is free for TCP and UDP.
const openTries = 20

// New opens a link on loopback; Connect names the target.
func New() (*Link, error) {
	var err error
	for range openTries {
		var l *Link
		if l, err = open(); err == nil {
			return l, nil
		}
	}
	return nil, err
}

func open() (*Link, error) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: tcp.Addr().(*net.TCPAddr).Port})
	if err != nil {
		tcp.Close()
		return nil, err
	}
	return &Link{tcp: tcp, udp: udp, conns: make(map[net.Conn]bool), silenced: make(map[net.Conn]bool), origins: make(map[string]netip.Addr), flows: make(map[string]*net.UDPConn)}, nil
}

// Address is the address that others use.
func (l *Link) Address() string { return l.listener().Addr().String() }

func (l *Link) listener() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tcp
}

// Down refuses new connections and resets the open ones, as the machine of a process that
// has ended does.
func (l *Link) Down() {
	l.listener().Close()
	l.Reset()
}

// Up listens again after Down.
func (l *Link) Up() error {
	tcp, err := net.Listen("tcp", l.Address())
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.tcp = tcp
	l.mu.Unlock()
	go l.acceptTCP(tcp)
	return nil
}

// Connect starts relaying to a target.
func (l *Link) Connect(target string) {
	l.target = target
	go l.acceptTCP(l.listener())
	go l.relayUDP()
}

// Cut drops datagrams towards the target (in) and from it (out). TCP needs both
// ways: a cut of either breaks open connections and lets new ones stand still.
func (l *Link) Cut(in, out bool) {
	l.cutIn.Store(in)
	l.cutOut.Store(out)
	if in || out {
		l.breakConns()
	}
}

// Delay holds each piece of data up for a time, 0 for none.
func (l *Link) Delay(d time.Duration) { l.delayNs.Store(int64(d)) }

// Silence lets all open connections stand still for good; new ones work.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		l.silenced[conn] = true
	}
}

// Reset breaks all open connections with a reset; new ones work.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		reset(conn)
	}
}

func (l *Link) isSilenced(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silenced[conn]
}

// pass copies one direction until either side ends.
func (l *Link) pass(to, from net.Conn) {
	buffer := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buffer)
		if l.isSilenced(from) && err == nil {
			continue // the bytes are lost and nobody is told
		}
		if d := time.Duration(l.delayNs.Load()); d > 0 {
			time.Sleep(d)
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *Link) breakConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		conn.Close()
	}
}

// Close ends the link.
func (l *Link) Close() {
	l.listener().Close()
	l.udp.Close()
	l.breakConns()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, flow := range l.flows {
		flow.Close()
	}
}

func (l *Link) acceptTCP(tcp net.Listener) {
	for {
		conn, err := tcp.Accept()
		if err != nil {
			return
		}
		if l.refusesSource(conn) {
			reset(conn)
			continue
		}
		go l.relayTCP(conn)
	}
}

func (l *Link) keep(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = true
}

func (l *Link) drop(conn net.Conn) {
	conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
	delete(l.silenced, conn)
}

func (l *Link) relayTCP(in net.Conn) {
	l.keep(in)
	defer l.drop(in)
	if l.cutIn.Load() || l.cutOut.Load() {
		_, _ = io.Copy(io.Discard, in) // stands still until the other side gives up
		return
	}
	out, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	l.keep(out)
	defer l.drop(out)
	l.keepOrigin(out, in)
	defer l.dropOrigin(out)
	go func() {
		l.pass(out, in)
		closeWrite(out)
	}()
	l.pass(in, out)
}

func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

func (l *Link) relayUDP() {
	buffer := make([]byte, datagramBytes)
	for {
		n, from, err := l.udp.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || l.cutIn.Load() {
			continue
		}
		if flow := l.flow(from); flow != nil {
			_, _ = flow.Write(buffer[:n])
		}
	}
}

// flow returns the socket that stands for one sender towards the target.
func (l *Link) flow(from *net.UDPAddr) *net.UDPConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if flow, ok := l.flows[from.String()]; ok {
		return flow
	}
	target, err := net.ResolveUDPAddr("udp", l.target)
	if err != nil {
		return nil
	}
	flow, err := net.DialUDP("udp", nil, target)
	if err != nil {
		return nil
	}
	l.flows[from.String()] = flow
	go l.relayBack(flow, from)
	return flow
}

func (l *Link) relayBack(flow *net.UDPConn, to *net.UDPAddr) {
	buffer := make([]byte, datagramBytes)
	for {
		n, err := flow.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || l.cutOut.Load() {
			continue
		}
		_, _ = l.udp.WriteToUDP(buffer[:n], to)
	}
}
