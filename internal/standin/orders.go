package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// The verbs of an order.
const (
	VerbLoadModel     = "load_model"
	VerbUnloadModel   = "unload_model"
	VerbLoadAdapter   = "load_adapter"
	VerbUnloadAdapter = "unload_adapter"
	VerbChangeRole    = "change_role"
)

// Order is one order from the control group. Object may be sent instead of Model or Adapter,
// whichever the verb refers to.
type Order struct {
	Verb    string `json:"verb"`
	Object  string `json:"object,omitempty"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	Fence   uint64 `json:"fence"`
}

// subject returns the model or the adapter that the order loads or unloads.
func (o Order) subject() string {
	if strings.HasSuffix(o.Verb, "_adapter") && o.Adapter != "" {
		return o.Adapter
	}
	if strings.HasSuffix(o.Verb, "_model") && o.Model != "" {
		return o.Model
	}
	return o.Object
}

// catalog holds the loaded models and adapters, the role, and the accepted orders.
type catalog struct {
	mu       sync.Mutex
	models   []string
	adapters []string
	role     string
	fence    uint64
	accepted []Order
}

func (o *catalog) lists() (models, adapters []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.models), slices.Clone(o.adapters)
}

func (o *catalog) currentRole() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.role
}

// accept records an order. It returns false if checks is set and the order's fencing number is
// lower than that of an earlier order.
func (o *catalog) accept(order Order, checks bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if checks && order.Fence < o.fence {
		return false
	}
	o.fence = max(o.fence, order.Fence)
	o.accepted = append(o.accepted, order)
	return true
}

// apply executes an accepted order.
func (o *catalog) apply(order Order) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch order.Verb {
	case VerbLoadModel:
		o.models = with(o.models, order.subject())
	case VerbUnloadModel:
		o.models = without(o.models, order.subject())
	case VerbLoadAdapter:
		o.adapters = with(o.adapters, order.subject())
	case VerbUnloadAdapter:
		o.adapters = without(o.adapters, order.subject())
	case VerbChangeRole:
		o.role = order.Role
	}
}

func with(list []string, name string) []string {
	if slices.Contains(list, name) {
		return list
	}
	return append(list, name)
}

func without(list []string, name string) []string {
	return slices.DeleteFunc(list, func(s string) bool { return s == name })
}

var knownVerbs = []string{VerbLoadModel, VerbUnloadModel, VerbLoadAdapter, VerbUnloadAdapter, VerbChangeRole}

func (s *Server) postOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&order); err != nil {
		reject(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if !slices.Contains(knownVerbs, order.Verb) {
		reject(w, http.StatusBadRequest, "bad_request", "unknown verb "+order.Verb)
		return
	}
	if !s.acceptsWork(w) {
		return
	}
	if !s.catalog.accept(order, s.opts.ChecksFence) {
		reject(w, http.StatusConflict, "stale_fence", "an order with a higher fencing number was received")
		return
	}
	s.applyOrder(order)
	writeJSON(w, http.StatusOK, order)
}

// applyOrder applies the order. Models and adapters are loaded after LoadTime, and then appear in
// the announcements.
func (s *Server) applyOrder(order Order) {
	if s.opts.LoadTime == 0 || !strings.HasPrefix(order.Verb, "load_") {
		s.catalog.apply(order)
		return
	}
	time.AfterFunc(s.opts.LoadTime, func() { s.catalog.apply(order) })
}

func (s *Server) getOrders(w http.ResponseWriter, _ *http.Request) {
	s.catalog.mu.Lock()
	accepted := slices.Clone(s.catalog.accepted)
	s.catalog.mu.Unlock()
	writeJSON(w, http.StatusOK, accepted)
}
