package adminapi

import (
	"net/http"

	"github.com/bluebellsail/bluebellsail/internal/bearer"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// actorHashDigits of an operator key's hash name the operator in logs and history.
const actorHashDigits = 12

// actor returns the name of the operator whose key r bears.
func (h *Handler) actor(r *http.Request) (string, error) {
	key, ok := bearer.Key(r)
	if !ok {
		return "", errkind.New(errkind.Unauthenticated, "give an operator's key as Authorization: Bearer KEY")
	}
	hash := settings.HashKey(key)
	if !settings.ContainsHash(h.cfg.OperatorKeyHashes(), hash) {
		return "", errkind.New(errkind.Unauthenticated, "no operator has this key")
	}
	return "operator-" + hash[:actorHashDigits], nil
}
