package customer

import (
	"net/http"
	"strings"
)

const (
	// HeaderAuthorization carries the key (RFC 9110, 11.6.2). It is not forwarded to backend
	// servers if customers are configured.
	HeaderAuthorization = "Authorization"
	// HeaderChallenge is set on the refusal of a request without a known key.
	HeaderChallenge = "Www-Authenticate"

	scheme = "Bearer"
	// maxKeyBytes bounds the length of a key, since unknown keys are hashed too.
	maxKeyBytes = 512
)

// Challenge is the value of HeaderChallenge.
const Challenge = scheme

// BearerKey returns the key that a request carries as a bearer token (RFC 6750, 2.1). It returns false
// if there is no Authorization header, more than one, or a malformed one.
func BearerKey(h http.Header) (string, bool) {
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
