package clientlimit

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ListenTCP opens a listener for up to maxConns connections with limited buffers.
func (s *Shares) ListenTCP(address string, maxConns int) (net.Listener, error) {
	conf := net.ListenConfig{Control: s.setBuffers}
	conf.SetMultipathTCP(false) // its connections do not inherit TCP_NOTSENT_LOWAT
	l, err := conf.Listen(context.Background(), "tcp", address)
	if err != nil || s.ReceiveBuffer == 0 {
		return l, err
	}
	socket, err := l.(*net.TCPListener).SyscallConn()
	if err == nil {
		err = control(socket, func(fd int) error { return unix.Listen(fd, backlogOf(maxConns)) })
	}
	if err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// backlogOf returns how many connections may wait to be accepted.
func backlogOf(maxConns int) int { return max(minBacklog, int(backlogShare*float64(maxConns))) }

// setBuffers sets the buffers of a listening socket, which its connections inherit before they are accepted.
func (s *Shares) setBuffers(_, _ string, socket syscall.RawConn) error {
	if s.ReceiveBuffer == 0 {
		return nil
	}
	return limitBuffers(socket, s.ReceiveBuffer)
}

// limitBuffers limits the bytes that a connection has received and the process has not read, and those that the process
// has written and the kernel cannot send yet. Bytes on their way are not limited, so far receivers lose no speed.
func limitBuffers(socket syscall.RawConn, bytes int) error {
	return control(socket, func(fd int) error {
		if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, bytes); err != nil {
			return err
		}
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, bytes)
	})
}

// control calls f with the descriptor of a socket.
func control(socket syscall.RawConn, f func(fd int) error) error {
	var failed error
	if err := socket.Control(func(fd uintptr) { failed = f(int(fd)) }); err != nil {
		return err
	}
	return failed
}
