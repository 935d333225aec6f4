package clientlimit

import (
	"context"
	"math/rand/v2"
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// bufferedConn notes its receive buffer.
type bufferedConn struct {
	net.Conn

	bytes int
}

// SetReadBuffer is that of net.TCPConn.
func (c *bufferedConn) SetReadBuffer(bytes int) error {
	c.bytes = bytes
	return nil
}

// Close implements net.Conn.
func (c *bufferedConn) Close() error { return nil }

// Guards against connections to servers that together hold more unread bytes than their part of the host's memory,
// whichever of them are closed and opened again.
func TestDialBuffersFitTheMemory(t *testing.T) {
	for _, hostBytes := range []int64{64 << 20, 284 << 20, 16 << 30} {
		random := rand.New(rand.NewPCG(1, uint64(hostBytes)))
		var opened *bufferedConn
		dial := NewDialBuffers(hostBytes).Limit(func(context.Context, string, string) (net.Conn, error) {
			opened = &bufferedConn{}
			return opened, nil
		})
		var conns []net.Conn
		var buffers []int
		for most := 1; most <= 1<<14; most *= 2 {
			for range 4 * most {
				if i := random.IntN(most); i < len(conns) {
					conns[i].Close()
					conns[i].Close()
					conns, buffers = append(conns[:i], conns[i+1:]...), append(buffers[:i], buffers[i+1:]...)
					continue
				}
				c, err := dial(t.Context(), "tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				conns, buffers = append(conns, c), append(buffers, opened.bytes)
			}
			above := 0
			for _, n := range buffers {
				if n < minReceiveBuffer || n > maxReceiveBuffer {
					t.Fatalf("%d MB: a buffer of %d bytes", hostBytes>>20, n)
				}
				above += n - minReceiveBuffer
			}
			if above > int(hostBytes/10) {
				t.Fatalf("%d MB: %d connections hold %d bytes above the least", hostBytes>>20, len(buffers), above)
			}
		}
	}
}

// The kernel doubles the buffer for its own overhead.
func TestDialedConnectionsHaveTheReceiveBuffer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	const hostBytes = 96 << 20
	var opened net.Conn
	dial := NewDialBuffers(hostBytes).Limit(func(ctx context.Context, network, address string) (net.Conn, error) {
		var err error
		opened, err = (&net.Dialer{}).DialContext(ctx, network, address)
		return opened, err
	})
	for range 4 {
		c, err := dial(t.Context(), "tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	socket, err := opened.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := socket.Control(func(fd uintptr) {
		n, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF)
		if err != nil || n > 2*hostBytes/10/4/dialDivisor {
			t.Errorf("the buffer has %d bytes, %v", n, err)
		}
	}); err != nil {
		t.Error(err)
	}
}
