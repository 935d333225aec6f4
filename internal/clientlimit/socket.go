package clientlimit

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ListenTCP opens a listener with the receive buffer, for up to maxConns connections.
func (s *Shares) ListenTCP(address string, maxConns int) (net.Listener, error) {
	conf := net.ListenConfig{Control: s.setReceiveBuffer}
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

// setReceiveBuffer sets the receive buffer of a listening socket, which its connections inherit before they are
// accepted.
func (s *Shares) setReceiveBuffer(_, _ string, socket syscall.RawConn) error {
	if s.ReceiveBuffer == 0 {
		return nil
	}
	return control(socket, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, s.ReceiveBuffer)
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
