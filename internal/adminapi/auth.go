package adminapi

import (
	"net/http"

	"github.com/bluebellsail/bluebellsail/internal/bearer"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// actorHashDigits is the number of digits of an operator's key hash that identify the
// operator in logs and in the history.
const actorHashDigits = 12

// actor returns the name of the operator whose key r contains.
func (h *Handler) actor(r *http.Request) (string, error) {
	key, ok := bearer.Key(r)
	if !ok {
		return "", errkind.New(errkind.Unauthenticated, "send an operator's key as Authorization: Bearer KEY")
	}
	hash := settings.HashKey(key)
	if !settings.ContainsHash(h.cfg.OperatorKeyHashes(), hash) {
		return "", errkind.New(errkind.Unauthenticated, "the key is not an operator's key")
	}
	return "operator-" + hash[:actorHashDigits], nil
}
