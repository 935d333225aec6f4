package customer

import (
	"net/http"
	"strings"
)

const (
	// HeaderAuthorization carries the key (RFC 9110, 11.6.2). It never goes to a
	// backend server where there are customers.
	HeaderAuthorization = "Authorization"
	// HeaderChallenge is on the refusal of a request without a known key.
	HeaderChallenge = "Www-Authenticate"

	scheme = "Bearer"
	// maxKeyBytes bounds a key, which is hashed before it is known.
	maxKeyBytes = 512
)

// Challenge is the value of HeaderChallenge.
const Challenge = scheme

// KeyOf returns the key that a request carries as a bearer token (RFC 6750, 2.1).
// Where there is none, more than one, or none that is well formed, it returns false.
func KeyOf(h http.Header) (string, bool) {
	values := h[HeaderAuthorization]
	if len(values) != 1 {
		return "", false
	}
	given, key, found := strings.Cut(values[0], " ")
	key = strings.TrimLeft(key, " ")
	if !found || !strings.EqualFold(given, scheme) || key == "" || len(key) > maxKeyBytes {
		return "", false
	}
	return key, !strings.ContainsAny(key, " ,\t")
}
