package callerapi

import (
	"encoding/json"
	"net/http"
	"slices"

	"github.com/bluebellsail/bluebellsail/internal/filter"
)

type healthAnswer struct {
	Status string `json:"status"`
}

// addressesAnswer is an ordered list: callers use the first address and try the next ones in
// order when a host rejects them or doesn't answer.
type addressesAnswer struct {
	Addresses []address `json:"addresses"`
	// TTLMs is how long the list may be cached, in milliseconds.
	TTLMs int64 `json:"ttl_ms"`
}

type address struct {
	Host    string `json:"host"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	TTLMs   int64  `json:"ttl_ms"`
}

func (a *API) addresses(w http.ResponseWriter, r *http.Request) {
	now := a.deps.Clock.Now()
	answer := addressesAnswer{Addresses: []address{}}
	for i, h := range a.deps.Addresses.Addresses(r.URL.Query().Get("zone")) {
		ttl := max(h.Until.Sub(now).Milliseconds(), 0)
		if i == 0 || ttl < answer.TTLMs {
			answer.TTLMs = ttl
		}
		answer.Addresses = append(answer.Addresses, address{Host: h.Host, Zone: h.Zone, Address: h.Address, TTLMs: ttl})
	}
	writeJSON(w, answer)
}

// modelsAnswer has the format that APIs for language models commonly use.
type modelsAnswer struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// listModels lists the models in service that the caller's team may use.
func (a *API) listModels(w http.ResponseWriter, r *http.Request) error {
	c := filter.CallFrom(r.Context())
	answer := modelsAnswer{Object: "list", Data: []modelItem{}}
	for _, m := range a.deps.Models.Models() {
		if len(c.Team.Models) == 0 || slices.Contains(c.Team.Models, m) {
			answer.Data = append(answer.Data, modelItem{ID: m, Object: "model"})
		}
	}
	c.Answer.Status = http.StatusOK
	writeJSON(w, answer)
	return nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
