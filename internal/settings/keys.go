package settings

import (
	"crypto/subtle"
	"net/http"
	"strings"
)

// bearerScheme comes before the key in an Authorization header, in any case.
const bearerScheme = "bearer "

// BearerKey returns the key of a request's Authorization header.
func BearerKey(r *http.Request) (string, bool) {
	h := r.Header.Get("Authorization")
	if len(h) <= len(bearerScheme) || !strings.EqualFold(h[:len(bearerScheme)], bearerScheme) {
		return "", false
	}
	return h[len(bearerScheme):], true
}

// ContainsHash compares with every hash, each in constant time: the time taken must
// not tell how close a guessed key came.
func ContainsHash(hashes []string, hash string) bool {
	found := 0
	for _, h := range hashes {
		found |= subtle.ConstantTimeCompare([]byte(h), []byte(hash))
	}
	return found == 1
}
