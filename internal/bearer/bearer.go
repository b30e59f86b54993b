// Package bearer reads the bearer key of an HTTP request.
package bearer

import (
	"net/http"
	"strings"
)

// scheme precedes the key in an Authorization header, in any letter case.
const scheme = "bearer "

// Key returns the key in the request's Authorization header, and whether there is one.
func Key(r *http.Request) (string, bool) {
	h := r.Header.Get("Authorization")
	if len(h) <= len(scheme) || !strings.EqualFold(h[:len(scheme)], scheme) {
		return "", false
	}
	return h[len(scheme):], true
}
