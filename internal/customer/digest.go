// Package customer defines the customers of the fleet: their keys, limits and other settings. It
// stores only the digests of keys, so that logs, metrics, documents and core dumps cannot disclose
// a key.
package customer

import (
	"encoding/base64"
	"fmt"

	"golang.org/x/crypto/blake2b"
)

// digestBytes is the length of a digest. At this length, inverting a digest is as hard as guessing
// a key, which has about 100 bits of entropy; a longer one would enlarge documents, which contain
// a digest for each key.
const digestBytes = 16

// digestDomain separates the digests from those of the same keys for other purposes.
var digestDomain = []byte("pearshelf customer key 1")

// Digest is the keyed BLAKE2b hash (RFC 7693) of a customer's key.
type Digest [digestBytes]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	hash, err := blake2b.New(digestBytes, digestDomain)
	if err != nil {
		panic(err) // unreachable: length and domain are constants
	}
	_, _ = hash.Write([]byte(key)) // hash.Hash never returns an error
	var d Digest
	hash.Sum(d[:0])
	return d
}

// ParseDigest parses a digest in the form that Digest.String returns.
func ParseDigest(text string) (Digest, error) {
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) != digestBytes {
		return Digest{}, fmt.Errorf("%q is not a key digest", text)
	}
	return Digest(raw), nil
}

// String returns the form of the digest in documents: unpadded base64url (RFC 4648, 5).
func (d Digest) String() string { return base64.RawURLEncoding.EncodeToString(d[:]) }
