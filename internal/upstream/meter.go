package upstream

import (
	"context"
	"net"
)

// Meter is told the bytes of connections. Its functions must not block.
type Meter struct {
	Sent, Received func(bytes int)
}

type meterKey struct{}

// WithMeter returns a context for Transport.Do. The meter counts the bytes of a connection that is opened
// for the request, for as long as the connection lives.
func WithMeter(ctx context.Context, m *Meter) context.Context {
	return context.WithValue(ctx, meterKey{}, m)
}

// meteredConn counts the bytes of a connection.
type meteredConn struct {
	net.Conn
	meter *Meter
}

// metered returns conn, counting its bytes if ctx or else the address has a meter.
func metered(ctx context.Context, conf Config, address string, conn net.Conn) net.Conn {
	m, _ := ctx.Value(meterKey{}).(*Meter)
	if m == nil && conf.Meter != nil {
		m = conf.Meter(address)
	}
	if m == nil {
		return conn
	}
	return &meteredConn{Conn: conn, meter: m}
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.Received(n)
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.Sent(n)
	return n, err
}
