package backend

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
)

// statusLine begins each response, and so the first write of each.
var statusLine = []byte("HTTP/1.")

// lateListener accepts connections on which the server may send a response a second time, where the
// response to the connection's next request is expected.
type lateListener struct {
	net.Listener
	// repeat decides whether a response is sent again.
	repeat func() bool
}

// Accept implements net.Listener.
func (l lateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{Conn: conn, repeat: l.repeat}, nil
}

// lateConn is written to by one goroutine at a time, as net/http does.
type lateConn struct {
	net.Conn
	repeat func() bool
	late   []byte // response to an earlier request, to be sent before the next one
}

// Write implements net.Conn. Only responses that net/http writes at once are sent again.
func (c *lateConn) Write(p []byte) (int, error) {
	if !bytes.HasPrefix(p, statusLine) {
		return c.Conn.Write(p)
	}
	if c.late != nil {
		if _, err := c.Conn.Write(c.late); err != nil {
			return 0, err
		}
		c.late = nil
	}
	if c.repeat() && isWhole(p) {
		c.late = slices.Clone(p)
	}
	return c.Conn.Write(p)
}

// isWhole reports whether p is a whole response with a length.
func isWhole(p []byte) bool {
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(p)), nil)
	if err != nil || response.ContentLength < 0 {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil
}
