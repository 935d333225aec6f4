package crowd

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// visits is how often each client connects.
const visits = 3

// crowd is clients that all send the same.
type crowd struct {
	cancel  context.CancelFunc
	settled sync.WaitGroup // until each client has sent everything once, or was refused
	left    sync.WaitGroup
}

// gather starts the clients. Each keeps its connection until the host closes it, and then comes again.
func gather(clients int, address string, s shape) *crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &crowd{cancel: cancel}
	c.settled.Add(clients)
	for range clients {
		c.left.Go(func() {
			settle := sync.OnceFunc(c.settled.Done)
			defer settle()
			for range visits {
				visit(ctx, address, s, settle)
			}
		})
	}
	return c
}

// disperse closes all connections.
func (c *crowd) disperse() {
	c.cancel()
	c.left.Wait()
}

// visit sends a shape on a new connection, calls sent, and reads until the host closes the connection or ctx ends.
func visit(ctx context.Context, address string, s shape, sent func()) {
	dialer := &net.Dialer{Timeout: patience}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return // refused
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	read := make(chan struct{})
	go func() {
		defer close(read)
		if s.unread {
			<-ctx.Done()
			return
		}
		_, _ = io.Copy(io.Discard, conn) // until the host closes the connection
	}()
	if err := conn.SetWriteDeadline(time.Now().Add(patience)); err != nil {
		return
	}
	_, err = conn.Write(s.begin)
	for i := 0; i < endlessPieces && err == nil && len(s.repeat) > 0; i++ {
		_, err = conn.Write(s.repeat)
	}
	sent()
	<-read
}

// play lets a crowd of one shape come to each listener of a host of its own.
func play(t *testing.T, clients int, form func(listener) shape) {
	for _, l := range listeners {
		t.Run(l.name, func(t *testing.T) {
			h := startHost(t)
			c := gather(clients, h.address(l), form(l))
			c.settled.Wait()
			h.awaitIdle()
			h.askDuring()
			c.disperse()
			h.check()
		})
	}
}

func TestCrowdOfShortLines(t *testing.T)      { play(t, size.clients, wholeShortLines) }
func TestCrowdOfOneName(t *testing.T)         { play(t, size.clients, wholeOneName) }
func TestCrowdWithoutBodies(t *testing.T)     { play(t, size.clients, withoutBody) }
func TestCrowdOfUnfinishedHeads(t *testing.T) { play(t, size.clients, unfinishedHead) }
func TestCrowdOfHeadsOverLimit(t *testing.T)  { play(t, size.clients, headOverLimit) }
func TestCrowdOfEndlessLines(t *testing.T)    { play(t, size.clients, endlessLine) }
func TestCrowdOfOddLines(t *testing.T)        { play(t, size.clients, oddLines) }
func TestCrowdOfEmptyLines(t *testing.T)      { play(t, size.clients, emptyLines) }
func TestCrowdOfSilence(t *testing.T)         { play(t, size.silentClients, silence) }
func TestCrowdOfLongBodies(t *testing.T)      { play(t, size.clients, longBody) }

// The bodies of uploads that wait for a server are not read, and the kernel holds what has arrived of them.
func TestCrowdOfWaitingUploads(t *testing.T) {
	defer func(before scale) { size = before }(size)
	size = manyConnsScale
	play(t, size.clients, longBody)
}

// A server's answer that its caller does not read stays in the host's buffers, and such callers take all connections.
func TestCrowdOfUnreadDownloads(t *testing.T) {
	h := startHost(t)
	c := gather(size.clients, h.address(callers), unreadDownload(callers))
	c.settled.Wait()
	h.awaitIdle()
	h.awaitServed() // once responses have stood still for long enough
	h.askDuring()
	c.disperse()
	h.check()
}

// A host stops although clients keep their connections and what they have begun.
func TestStopDuringCrowd(t *testing.T) {
	for name, s := range map[string]shape{
		"silence":          silence(callers),
		"unfinished heads": unfinishedHead(callers),
		"no bodies":        withoutBody(callers),
		"long bodies":      longBody(callers),
		"unread downloads": unreadDownload(callers),
	} {
		t.Run(name, func(t *testing.T) {
			h := startHost(t)
			c := gather(size.clients, h.address(callers), s)
			defer c.disperse()
			c.settled.Wait()
			h.checkStops()
		})
	}
}

// Requests inside the limits are served in calm, whatever their fields.
func TestModestRequestsAreServed(t *testing.T) {
	h := startHost(t)
	for name, s := range modest(callers) {
		if status, err := h.send(callers, s); err != nil || status != http.StatusOK {
			t.Errorf("%s: status %d, %v", name, status, err)
		}
	}
	h.check()
}
