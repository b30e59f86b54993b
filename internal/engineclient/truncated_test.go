package engineclient

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against a KV cache of which only a part arrived, and which another engine would continue
// from.
func TestPartOfAKVCacheIsNotExported(t *testing.T) {
	for name, c := range map[string]struct {
		serve http.HandlerFunc
		whole bool
	}{
		"whole": {func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "cache") }, true},
		"unframed": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Transfer-Encoding", "identity")
			_, _ = io.WriteString(w, "cac")
		}, false},
		"truncated": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "5")
			_, _ = io.WriteString(w, "cac")
		}, false},
		"too long": {func(w http.ResponseWriter, _ *http.Request) {
			piece := make([]byte, 1<<20)
			for range maxKV/len(piece) + 1 {
				_, _ = w.Write(piece)
			}
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(c.serve)
			defer s.Close()
			client := New(Config{})
			defer client.Close()
			kv, err := client.ExportKV(t.Context(), s.Listener.Addr().String(), "r1")
			if (err == nil) != c.whole {
				t.Errorf("%d bytes, %v", len(kv), err)
			}
		})
	}
}
