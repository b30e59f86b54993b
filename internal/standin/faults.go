package standin

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Faults is the body of POST /debug/faults, the set of injected faults. Each request replaces
// the whole set, so an empty object ends all faults. Data and connections that were lost before
// stay lost.
type Faults struct {
	// Slow is a factor for the time of every step; 0 and 1 mean normal speed.
	Slow float64 `json:"slow,omitempty"`
	// Refuse rejects new work with status 503 and states, correctly, that it was not executed.
	Refuse bool `json:"refuse,omitempty"`
	// Silent makes all connections silent, open and new ones. The only exception is the
	// connection over which the fault is set, so that the fault can be removed over it.
	Silent bool `json:"silent,omitempty"`
	// SilenceOpen makes all connections silent that are open now. They stay silent.
	SilenceOpen bool `json:"silence_open,omitempty"`
	// SilentAfterTokens makes a connection silent after a stream has sent this many tokens over it.
	SilentAfterTokens int `json:"silent_after_tokens,omitempty"`
	// DropAfterTokens cuts the connection of a stream after this many tokens.
	DropAfterTokens int `json:"drop_after_tokens,omitempty"`
	// DropServiceAnswers executes a call of a plain service and cuts the connection before the answer.
	DropServiceAnswers bool `json:"drop_service_answers,omitempty"`
	// CutServiceAnswers executes a call of a plain service and cuts the connection inside the answer.
	CutServiceAnswers bool `json:"cut_service_answers,omitempty"`
	// Unframed sends answers without a length and without chunks. They end with their connections, so
	// that one that is cut looks like a whole one.
	Unframed bool `json:"unframed,omitempty"`
	// LateLoadMS is the age of the announced load, in milliseconds.
	LateLoadMS int64 `json:"late_load_ms,omitempty"`
	// HideLoadAge announces a stale load as if it were fresh.
	HideLoadAge bool `json:"hide_load_age,omitempty"`
	// IgnoreMaxTokens makes answers far longer than their cap.
	IgnoreMaxTokens bool `json:"ignore_max_tokens,omitempty"`
	// StopAnnouncing stops the announcements while work is still served.
	StopAnnouncing bool `json:"stop_announcing,omitempty"`
	// LoseCacheEvents drops cache events instead of posting them, which leaves gaps.
	LoseCacheEvents bool `json:"lose_cache_events,omitempty"`
	// RetryAfter is the header Retry-After of the refusals that Refuse causes: the cooldown in
	// seconds during which the host should send nothing.
	RetryAfter string `json:"retry_after,omitempty"`
	// RateLimit is the rate limit that every answer advertises, in requests per second from all
	// hosts together; nil if none is advertised.
	RateLimit *float64 `json:"rate_limit,omitempty"`
	// Die terminates the process immediately.
	Die bool `json:"die,omitempty"`
	// DieOnPrompt terminates the process when it executes a completion whose prompt contains this text.
	DieOnPrompt string `json:"die_on_prompt,omitempty"`
}

type faultState struct {
	mu      sync.Mutex
	current Faults
}

func (f *faultState) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

func (f *faultState) set(n Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = n
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		reject(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	s.SetFaults(f, connOf(r))
	writeJSON(w, http.StatusOK, f)
}

// SetFaults replaces the injected faults. The connection keep, if not nil, does not become silent.
func (s *Server) SetFaults(f Faults, keep *faultConn) {
	s.faults.set(f)
	slow := f.Slow
	if slow <= 0 {
		slow = 1
	}
	s.engine.slowDown(slow)
	if s.listener != nil {
		s.listener.silentNew.Store(f.Silent)
		if f.Silent || f.SilenceOpen {
			s.listener.silenceOpen(keep)
		}
	}
	if f.Die {
		s.die()
	}
}
