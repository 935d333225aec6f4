package clientlimit

import (
	"context"
	"net"
	"sync"
	"syscall"

	"github.com/pearshelf/pearshelf/internal/upstream"
)

const (
	// dialFraction is the fraction of the host's memory that may hold bytes which servers and other hosts have sent
	// and the process has not read, most of them because a caller does not read its response.
	dialFraction = 0.1
	// dialDivisor exceeds the sum of 1/n over all n for which the buffer of the nth connection is between
	// minReceiveBuffer and maxReceiveBuffer.
	dialDivisor = 7
)

// DialBuffers limits what the kernel holds for connections that the host itself opens. The nth open connection gets a
// receive buffer in proportion to 1/n, so a few are fast over any distance and many fit the memory: whichever of them
// close, the nth oldest of those that are left was opened as the nth or later. Without a limit the kernel raises a
// buffer to several MiB.
type DialBuffers struct {
	bytes int // for all connections, 0 for no limit

	mu   sync.Mutex
	open int
}

// NewDialBuffers divides a part of the host's memory, which is unknown if it is 0.
func NewDialBuffers(hostBytes int64) *DialBuffers {
	return &DialBuffers{bytes: int(dialFraction * float64(hostBytes))}
}

// Limit returns a function whose connections have limited buffers.
func (b *DialBuffers) Limit(dial upstream.DialFunc) upstream.DialFunc {
	if b.bytes == 0 {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &dialedConn{Conn: opened, buffers: b}
		if err := limitConn(opened, b.add()); err != nil {
			c.Close()
			return nil, err
		}
		return c, nil
	}
}

// limitConn limits the buffers of a connection, if it is one of the kernel's.
func limitConn(conn net.Conn, bytes int) error {
	inKernel, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	socket, err := inKernel.SyscallConn()
	if err != nil {
		return err
	}
	return limitBuffers(socket, bytes)
}

// add counts a connection, and returns its receive buffer in bytes.
func (b *DialBuffers) add() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open++
	return min(max(b.bytes/dialDivisor/b.open, minReceiveBuffer), maxReceiveBuffer)
}

func (b *DialBuffers) remove() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open--
}

// dialedConn is counted until it is closed.
type dialedConn struct {
	net.Conn

	buffers *DialBuffers
	closed  sync.Once
}

// Close implements net.Conn.
func (c *dialedConn) Close() error {
	c.closed.Do(c.buffers.remove)
	return c.Conn.Close()
}
