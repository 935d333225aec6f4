// Package content computes a fingerprint of a request, by which a repeated request is
// recognized: same method, target, body and credentials, regardless of request ID and origin.
// The fingerprint is a digest, so the path, body and credentials cannot be recovered from it.
//
// The network address of the caller is not part of the fingerprint, because a request may be
// repeated from any machine of its sender and through any proxy in front of the hosts.
package content

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"golang.org/x/crypto/blake2b"
)

// idSize is the length of an ID in bytes. At 140,000 requests per second, the probability that
// any two requests of a year collide is 1e-13.
const idSize = 16

// labelSize is the number of bytes of an ID that logs show: enough to distinguish the requests
// of a day, too few to test guessed contents against it.
const labelSize = 4

// domain is the hash key. It separates these digests from other digests of the same bytes.
var domain = []byte("pearshelf request content 1")

// ID is a keyed BLAKE2b hash (RFC 7693).
type ID [idSize]byte

// Request holds the parts of a request that identify it.
type Request struct {
	Method string
	Host   string
	// Target is the path and query as received.
	Target string
	// Customer is the name of the customer that sent the request, empty if there is none.
	// Credentials are all other credentials that it carries, in the order received.
	Customer    string
	Credentials []string
	// Body is the complete body. The body of a Streamed request is not part of its ID: it is
	// forwarded as it arrives and is not known before the request is sent.
	Body     []byte
	Streamed bool
}

// NewID returns the ID of a request.
func NewID(r Request) ID {
	hash, err := blake2b.New(idSize, domain)
	if err != nil {
		panic(err) // unreachable: size and key are valid constants
	}
	head := make([]byte, 0, 256)
	for _, part := range [...]string{r.Method, r.Host, r.Target, r.Customer} {
		head = appendPart(head, part)
	}
	head = binary.AppendUvarint(head, uint64(len(r.Credentials)))
	for _, part := range r.Credentials {
		head = appendPart(head, part)
	}
	if r.Streamed {
		head = append(head, 1)
	} else {
		head = append(head, 0)
	}
	_, _ = hash.Write(head) // hash.Hash.Write never returns an error
	_, _ = hash.Write(r.Body)
	var id ID
	hash.Sum(id[:0])
	return id
}

// appendPart appends a length-prefixed string, which keeps the encoding of a list unambiguous.
func appendPart(head []byte, part string) []byte {
	head = binary.AppendUvarint(head, uint64(len(part)))
	return append(head, part...)
}

// Parse parses an ID in the format returned by String.
func Parse(text string) (ID, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != idSize {
		return ID{}, fmt.Errorf("invalid request content ID %q: want 32 hexadecimal digits", text)
	}
	return ID(raw), nil
}

// String returns the ID in hexadecimal.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// Short returns an abbreviated ID for logs.
func (id ID) Short() string { return hex.EncodeToString(id[:labelSize]) }

// FromBytes decodes an ID from a message; ok is false if raw has the wrong length.
func FromBytes(raw []byte) (id ID, ok bool) {
	if len(raw) != idSize {
		return ID{}, false
	}
	return ID(raw), true
}
