// Package peer implements the transport between hosts: optionally encrypted datagrams
// for membership, state changes, load and limits, and Twirp over HTTP for synchronous
// calls.
package peer

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/errs"
)

const (
	readBufferBytes  = 64 << 10
	datagramKeyBytes = 32
)

// Sealer encrypts and authenticates datagrams with AES-GCM. A nil Sealer passes them in
// plaintext.
type Sealer struct {
	aead cipher.AEAD
}

// LoadSealer reads a 256-bit key from a file with 64 hex digits.
func LoadSealer(path string) (*Sealer, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errs.Wrap(err, errs.KindSettings, "cannot read datagram key file", "set peer.datagram_key_file to a readable file")
	}
	key, err := hex.DecodeString(strings.TrimSpace(string(raw)))
	if err != nil || len(key) != datagramKeyBytes {
		return nil, errs.New(errs.KindSettings, "datagram key is not 64 hex digits", "generate one with: openssl rand -hex 32")
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, err
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		return nil, err
	}
	return &Sealer{aead: aead}, nil
}

func (s *Sealer) seal(plain []byte) []byte {
	if s == nil {
		return plain
	}
	nonce := make([]byte, s.aead.NonceSize())
	rand.Read(nonce) //nolint:errcheck // never fails
	return s.aead.Seal(nonce, nonce, plain, nil)
}

func (s *Sealer) open(sealed []byte) ([]byte, error) {
	if s == nil {
		return sealed, nil
	}
	size := s.aead.NonceSize()
	if len(sealed) < size {
		return nil, errors.New("datagram is shorter than its nonce")
	}
	return s.aead.Open(nil, sealed[:size], sealed[size:], nil)
}

// Datagrams sends and receives datagrams on one socket.
type Datagrams struct {
	conn   *net.UDPConn
	sealer *Sealer

	receivedBytes atomic.Uint64
	sentByKind    [maxKinds]atomic.Uint64
	onSent        func(address string, kind peerpb.Datagram_Kind, bytes int)
}

// maxKinds is the number of datagram kinds that are counted separately. Higher kinds are
// counted with the last one.
const maxKinds = 32

// ListenDatagrams opens a UDP socket on an address.
func ListenDatagrams(address string, sealer *Sealer) (*Datagrams, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, errs.Wrap(err, errs.KindSettings, "cannot open datagram listener", "free the port or change peer.listen")
	}
	return &Datagrams{conn: conn, sealer: sealer}, nil
}

// Send encodes a datagram once and sends it to each address. Errors are treated like the
// loss of a datagram on the network.
func (d *Datagrams) Send(datagram *peerpb.Datagram, to ...string) {
	raw, err := proto.Marshal(datagram)
	if err != nil {
		klog.V(2).InfoS("cannot encode datagram", "kind", datagram.Kind, "err", err)
		return
	}
	sealed := d.sealer.seal(raw)
	sent := &d.sentByKind[min(uint(datagram.Kind), maxKinds-1)]
	for _, address := range to {
		bytes := d.sendTo(address, sealed)
		sent.Add(uint64(bytes))
		if d.onSent != nil {
			d.onSent(address, datagram.Kind, bytes)
		}
	}
}

// OnSent sets a function that is called with each datagram sent. It must be set before Send.
func (d *Datagrams) OnSent(f func(address string, kind peerpb.Datagram_Kind, bytes int)) {
	d.onSent = f
}

// KindName returns the name of a kind in metrics and logs.
func KindName(kind string) string { return strings.ToLower(strings.TrimPrefix(kind, "KIND_")) }

// sendTo sends an encoded datagram and returns the number of bytes sent.
func (d *Datagrams) sendTo(address string, sealed []byte) int {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		klog.V(2).InfoS("cannot send datagram: invalid address", "peer", address, "err", err)
		return 0
	}
	if _, err := d.conn.WriteToUDPAddrPort(sealed, at); err != nil {
		return 0 // treated as a lost datagram
	}
	return len(sealed)
}

// Receive calls handle with each datagram's payload until the socket closes.
func (d *Datagrams) Receive(handle func(from string, payload []byte)) {
	buffer := make([]byte, readBufferBytes)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // e.g. ICMP port unreachable for an earlier datagram
		}
		d.receivedBytes.Add(uint64(n))
		plain, err := d.sealer.open(buffer[:n])
		if err != nil {
			continue
		}
		unmapped := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		handle(unmapped.String(), append([]byte(nil), plain...))
	}
}

// Bytes returns the total number of bytes sent and received.
func (d *Datagrams) Bytes() (sent, received uint64) {
	for i := range d.sentByKind {
		sent += d.sentByKind[i].Load()
	}
	return sent, d.receivedBytes.Load()
}

// SentByKind returns the total number of bytes sent, by datagram kind.
func (d *Datagrams) SentByKind() map[string]uint64 {
	sent := make(map[string]uint64)
	for i := range d.sentByKind {
		if n := d.sentByKind[i].Load(); n > 0 {
			sent[peerpb.Datagram_Kind(i).String()] = n
		}
	}
	return sent
}

// Close closes the socket.
func (d *Datagrams) Close() error { return d.conn.Close() }
