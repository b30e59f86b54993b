package engineclient

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against observations that are lost with rejections, or taken from an answer to
// another request.
func TestObservations(t *testing.T) {
	var answer func(w http.ResponseWriter)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { answer(w) }))
	defer s.Close()
	var observed []Observation
	c := New(Config{Observe: func(obs Observation) { observed = append(observed, obs) }})
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
		if len(observed) != step.want {
			t.Fatalf("%d observations after an answer to %q, want %d", len(observed), step.id, step.want)
		}
	}
	if observed[0].RetryAfter != "" || observed[1].RetryAfter != "3" || observed[2].RetryAfter != "" {
		t.Errorf("RetryAfter must be set for rejections only: %+v", observed)
	}
	if obs := observed[0]; obs.RateLimit != "2.5" || obs.Sent.IsZero() || obs.RequestID != "r-1" {
		t.Errorf("observed %+v", obs)
	}
}
