package clientlimit

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// Guards against connections to servers that together hold more unread bytes than their part of the host's memory,
// whichever of them are closed and opened again.
func TestDialBuffersFitTheMemory(t *testing.T) {
	for _, hostBytes := range []int64{64 << 20, 284 << 20, 16 << 30} {
		random := rand.New(rand.NewPCG(1, uint64(hostBytes)))
		b := NewDialBuffers(hostBytes)
		var buffers []int
		for most := 1; most <= 1<<14; most *= 2 {
			for range 4 * most {
				if i := random.IntN(most); i < len(buffers) {
					b.remove()
					buffers = append(buffers[:i], buffers[i+1:]...)
				} else {
					buffers = append(buffers, b.add())
				}
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

// Guards against a count that is too low because a connection was closed twice.
func TestDialedConnectionsAreCountedOnce(t *testing.T) {
	b := NewDialBuffers(96 << 20)
	dial := b.Limit(func(context.Context, string, string) (net.Conn, error) {
		conn, _ := net.Pipe()
		return conn, nil
	})
	for range 2 {
		c, err := dial(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		if b.open != 1 {
			t.Errorf("%d connections are counted, want 1", b.open)
		}
		c.Close()
		c.Close()
	}
	refused := b.Limit(func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed })
	if _, err := refused(t.Context(), "tcp", "127.0.0.1:0"); !errors.Is(err, net.ErrClosed) || b.open != 0 {
		t.Errorf("%d connections are counted after %v", b.open, err)
	}
}

// The kernel doubles the buffer for its own overhead.
func TestDialedConnectionsHaveLimitedBuffers(t *testing.T) {
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
	checkBuffers(t, opened, hostBytes/10/4/dialDivisor)
}

// checkBuffers checks the limits of what the kernel holds for a connection.
func checkBuffers(t *testing.T, conn net.Conn, bytes int) {
	t.Helper()
	socket, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := socket.Control(func(fd uintptr) {
		if n, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF); err != nil || n > 2*bytes {
			t.Errorf("the receive buffer has %d bytes, %v", n, err)
		}
		if n, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT); err != nil || n <= 0 || n > bytes { // -1 is no limit
			t.Errorf("%d bytes may wait to be sent, %v", n, err)
		}
	}); err != nil {
		t.Error(err)
	}
}
