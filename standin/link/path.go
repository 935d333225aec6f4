package link

import (
	"context"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
)

// Fault is the way in which a Path is cut.
type Fault int

// Faults of a path.
const (
	// FaultNone: the path works.
	FaultNone Fault = iota
	// FaultHang: nothing passes. Open connections and new ones hang.
	FaultHang
	// FaultReset: open connections are reset, new ones hang.
	FaultReset
	// FaultRefuse: open connections work, new ones are refused.
	FaultRefuse
)

// Path is a stand-in for the network path from one host to the backend servers. Other than a
// Link, which stands before a server for all hosts alike, it concerns a single host: it is that
// host's dial function.
type Path struct {
	mu    sync.Mutex
	fault Fault
	// cut are the addresses out of reach, nil for all.
	cut     []string
	changed chan struct{} // closed at each change of the fault
	conns   map[*pathConn]bool
}

// NewPath returns a path that works.
func NewPath() *Path {
	return &Path{changed: make(chan struct{}), conns: make(map[*pathConn]bool)}
}

// Cut puts addresses out of reach of the host, all if none are given.
func (p *Path) Cut(fault Fault, addresses ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault, p.cut = fault, addresses
	close(p.changed)
	p.changed = make(chan struct{})
	if fault != FaultReset {
		return
	}
	for conn := range p.conns {
		if p.faultOf(conn.address) == FaultReset {
			reset(conn.Conn)
		}
	}
}

// Heal makes the path work again. What hung goes on.
func (p *Path) Heal() { p.Cut(FaultNone) }

// faultOf returns the fault that concerns an address. p.mu must be held.
func (p *Path) faultOf(address string) Fault {
	if len(p.cut) > 0 && !slices.Contains(p.cut, address) {
		return FaultNone
	}
	return p.fault
}

// state returns the fault that concerns an address, and a channel that is closed when it may have
// changed.
func (p *Path) state(address string) (Fault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faultOf(address), p.changed
}

// Dial opens a connection over the path; it is an upstream.DialFunc.
func (p *Path) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	for {
		fault, changed := p.state(address)
		switch fault {
		case FaultNone:
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return p.keep(conn, address), nil
		case FaultRefuse:
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
		}
	}
}

func (p *Path) keep(conn net.Conn, address string) *pathConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := &pathConn{Conn: conn, path: p, address: address, closed: make(chan struct{})}
	p.conns[kept] = true
	return kept
}

// pathConn is a connection over a Path.
type pathConn struct {
	net.Conn
	path    *Path
	address string
	once    sync.Once
	closed  chan struct{}
}

// pass blocks while nothing passes, or until the connection is closed.
func (c *pathConn) pass() error {
	for {
		fault, changed := c.path.state(c.address)
		if fault != FaultHang {
			return nil
		}
		select {
		case <-changed:
		case <-c.closed:
			return net.ErrClosed
		}
	}
}

// Read implements net.Conn. What arrives during a cut is passed on after it.
func (c *pathConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if passed := c.pass(); passed != nil {
		return 0, passed
	}
	return n, err
}

// Write implements net.Conn. The kernel takes what is written during a cut and sends it after it,
// unless the connection is closed before that.
func (c *pathConn) Write(b []byte) (int, error) {
	if fault, _ := c.path.state(c.address); fault != FaultHang {
		return c.Conn.Write(b)
	}
	held := slices.Clone(b)
	go func() {
		if c.pass() == nil {
			_, _ = c.Conn.Write(held) // a failure shows at the next read
		}
	}()
	return len(b), nil
}

// Close implements net.Conn.
func (c *pathConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.path.mu.Lock()
		defer c.path.mu.Unlock()
		delete(c.path.conns, c)
	})
	return c.Conn.Close()
}
