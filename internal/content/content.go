// Package content tells whether two requests are the same one that came again: same
// method, target, body and credentials, whatever their IDs and wherever they come from. It
// keeps a digest only, so that neither path, body nor key can be read from it.
//
// The network address of the caller is no part of it: one that comes again does so from any
// machine of its sender, and through whatever stands before the hosts.
package content

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"golang.org/x/crypto/blake2b"
)

// idSize is the length of an ID: two requests of a year at 140,000 a second have the same
// one by chance with a likelihood of 1e-13.
const idSize = 16

// labelSize of an ID are what logs show: enough to tell the requests of a day apart, too
// little to try contents against it.
const labelSize = 4

// domain keeps the digests apart from all others of the same bytes.
var domain = []byte("pearshelf request content 1")

// ID is a keyed BLAKE2b hash (RFC 7693).
type ID [idSize]byte

// Request is what identifies a request.
type Request struct {
	Method string
	Host   string
	// Target is path and query as they came.
	Target string
	// Customer is the name of the customer that sent it, empty for none, and Credentials
	// what else it shows of who sent it, in the order in which it came.
	Customer    string
	Credentials []string
	// Body is the whole body. It is left out of the ID of a Streamed request, whose body
	// is passed on as it comes and is not known before it is sent.
	Body     []byte
	Streamed bool
}

// Of returns the ID of a request.
func Of(r Request) ID {
	hash, err := blake2b.New(idSize, domain)
	if err != nil {
		panic(err) // length and domain are constants of this package
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
	_, _ = hash.Write(head) // a hash.Hash never fails
	_, _ = hash.Write(r.Body)
	var id ID
	hash.Sum(id[:0])
	return id
}

// appendPart adds a text with its length, so that no two lists of texts are alike.
func appendPart(head []byte, part string) []byte {
	head = binary.AppendUvarint(head, uint64(len(part)))
	return append(head, part...)
}

// Parse reads what String wrote.
func Parse(text string) (ID, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != idSize {
		return ID{}, fmt.Errorf("%q is no ID of a request's content", text)
	}
	return ID(raw), nil
}

// String returns the whole ID in hexadecimal.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// Label returns the short form for logs.
func (id ID) Label() string { return hex.EncodeToString(id[:labelSize]) }

// FromBytes returns the ID that a message holds, and whether it is one.
func FromBytes(raw []byte) (id ID, ok bool) {
	if len(raw) != idSize {
		return ID{}, false
	}
	return ID(raw), true
}
