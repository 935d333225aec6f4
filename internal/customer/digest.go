// Package customer knows the customers of the fleet: who holds which key, and what
// each may ask for. Keys themselves are never held: a table has their digests only,
// so that no log, metric, document or core dump can give one away.
package customer

import (
	"encoding/base64"
	"fmt"

	"golang.org/x/crypto/blake2b"
)

// digestBytes is the length of a digest: as hard to invert as the keys, which have
// some 100 bits, and short, because a document has one for each key.
const digestBytes = 16

// digestDomain keeps the digests apart from all others of the same keys.
var digestDomain = []byte("pearshelf customer key 1")

// Digest is the keyed BLAKE2b hash (RFC 7693) of a customer's key.
type Digest [digestBytes]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	hash, err := blake2b.New(digestBytes, digestDomain)
	if err != nil {
		panic(err) // length and domain are constants of this package
	}
	_, _ = hash.Write([]byte(key)) // a hash.Hash never fails
	var d Digest
	hash.Sum(d[:0])
	return d
}

// ParseDigest reads what String wrote.
func ParseDigest(text string) (Digest, error) {
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) != digestBytes {
		return Digest{}, fmt.Errorf("%q is no digest of a key", text)
	}
	return Digest(raw), nil
}

// String returns the digest as documents have it: unpadded base64 (RFC 4648, 5).
func (d Digest) String() string { return base64.RawURLEncoding.EncodeToString(d[:]) }
