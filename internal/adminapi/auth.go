package adminapi

import (
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// actorHashDigits of an operator key's hash name the operator in logs and history.
const actorHashDigits = 12

// actor returns the name of the operator whose key r bears.
func (h *Handler) actor(r *http.Request) (string, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return "", errkind.New(errkind.Unauthenticated, "give an operator's key as Authorization: Bearer KEY")
	}
	hash := settings.HashKey(key)
	if !containsHash(h.cfg.OperatorKeyHashes(), hash) {
		return "", errkind.New(errkind.Unauthenticated, "no operator has this key")
	}
	return "operator-" + hash[:actorHashDigits], nil
}

// containsHash compares with every hash, each in constant time: the time taken must
// not tell how close a guessed key came.
func containsHash(hashes []string, hash string) bool {
	found := 0
	for _, h := range hashes {
		found |= subtle.ConstantTimeCompare([]byte(h), []byte(hash))
	}
	return found == 1
}
