package crowd

import (
	"bytes"
	"fmt"
	"net"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	// streams are opened on each HTTP/2 connection, each with streamFields empty fields.
	streams      = 200
	streamFields = 1500
	// dataBytes is how much of its body each connection sends; more does not fit a window of 64 KiB.
	dataBytes = 48 << 10
)

// openStreams returns the frames of one HTTP/2 connection whose requests never end.
func openStreams(l listener, data int) ([]byte, error) {
	var out bytes.Buffer
	out.WriteString(http2.ClientPreface)
	framer := http2.NewFramer(&out, nil)
	if err := framer.WriteSettings(); err != nil {
		return nil, err
	}
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	for i := range streams {
		block.Reset()
		if err := encodeHead(encoder, l); err != nil {
			return nil, err
		}
		if err := writeHead(framer, uint32(2*i+1), block.Bytes()); err != nil {
			return nil, err
		}
	}
	for sent := 0; sent < data; sent += pieceBytes {
		stream := uint32(2*(sent/pieceBytes%streams) + 1)
		if err := framer.WriteData(stream, false, make([]byte, pieceBytes)); err != nil {
			return nil, err
		}
	}
	return out.Bytes(), nil
}

func encodeHead(encoder *hpack.Encoder, l listener) error {
	fields := []hpack.HeaderField{
		{Name: ":method", Value: "POST"},
		{Name: ":scheme", Value: "http"},
		{Name: ":authority", Value: "shop.example"},
		{Name: ":path", Value: l.path},
		{Name: "content-length", Value: "65536"},
	}
	for i := range streamFields {
		fields = append(fields, hpack.HeaderField{Name: fmt.Sprintf("x%d", i)})
	}
	for _, f := range fields {
		if err := encoder.WriteField(f); err != nil {
			return err
		}
	}
	return nil
}

// writeHead writes a header block in frames of at most 16 KiB.
func writeHead(framer *http2.Framer, stream uint32, block []byte) error {
	const most = 16 << 10
	first := block[:min(len(block), most)]
	rest := block[len(first):]
	err := framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: first, EndHeaders: len(rest) == 0})
	for err == nil && len(rest) > 0 {
		next := rest[:min(len(rest), most)]
		rest = rest[len(next):]
		err = framer.WriteContinuation(stream, len(rest) == 0, next)
	}
	return err
}

func playStreams(t *testing.T, data int) {
	for _, l := range listeners {
		t.Run(l.name, func(t *testing.T) {
			frames, err := openStreams(l, data)
			if err != nil {
				t.Fatal(err)
			}
			h := startHost(t)
			c := gather(size.streamClients, h.address(l), shape{begin: frames})
			c.settled.Wait()
			h.awaitIdle()
			h.askDuring()
			c.disperse()
			h.check()
		})
	}
}

func TestCrowdOfStreams(t *testing.T)           { playStreams(t, 0) }
func TestCrowdOfStreamsWithBodies(t *testing.T) { playStreams(t, dataBytes) }

// Trickled heads keep their connections busy, so that only the age of a head tells which one is slow.
func TestCrowdOfTrickledHeads(t *testing.T) {
	for _, l := range listeners {
		t.Run(l.name, func(t *testing.T) {
			h := startHost(t)
			lines := shortLines(headBytes)
			conns := make([]net.Conn, 0, size.clients)
			defer func() {
				for _, conn := range conns {
					conn.Close()
				}
			}()
			for range size.clients {
				conn, err := net.DialTimeout("tcp", h.address(l), patience)
				if err != nil {
					continue // refused
				}
				conns = append(conns, conn)
				_, _ = conn.Write([]byte(head(l, 3))) // refused if it fails
			}
			for sent := 0; sent < len(lines); sent += pieceBytes {
				for _, conn := range conns {
					if conn.SetWriteDeadline(time.Now().Add(patience)) == nil {
						_, _ = conn.Write([]byte(lines[sent:min(sent+pieceBytes, len(lines))])) // refused if it fails
					}
				}
			}
			h.awaitIdle()
			h.askDuring()
			h.check()
		})
	}
}
