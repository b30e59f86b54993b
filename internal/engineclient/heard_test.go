package engineclient

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against words of a server that are lost with its refusals, or taken from an answer to
// another request.
func TestObservations(t *testing.T) {
	var answer func(w http.ResponseWriter)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { answer(w) }))
	defer s.Close()
	var heard []Observation
	c := New(Config{Observe: func(said Observation) { heard = append(heard, said) }})
	defer c.Close()
	for _, step := range []struct {
		id     string
		status int
		want   int
	}{{"r-1", http.StatusOK, 1}, {"r-1", http.StatusServiceUnavailable, 2}, {"", http.StatusBadGateway, 3}, {"another", http.StatusOK, 3}} {
		answer = func(w http.ResponseWriter) {
			if step.id != "" {
				w.Header().Set(HeaderEngineRequest, step.id)
			}
			w.Header().Set(HeaderRateLimit, "2.5")
			w.Header().Set("Retry-After", "3")
			w.WriteHeader(step.status)
		}
		_, _ = c.Call(t.Context(), Request{Address: s.Listener.Addr().String(), Method: http.MethodPost, Path: "/", EngineRequestID: "r-1"})
		if len(heard) != step.want {
			t.Fatalf("heard %d words after an answer to %q, want %d", len(heard), step.id, step.want)
		}
	}
	if heard[0].RetryAfter != "" || heard[1].RetryAfter != "3" || heard[2].RetryAfter != "" {
		t.Errorf("a rest is what a server asks for that turns a request away: %+v", heard)
	}
	if said := heard[0]; said.RateLimit != "2.5" || said.Sent.IsZero() || said.RequestID != "r-1" {
		t.Errorf("heard %+v", said)
	}
}
