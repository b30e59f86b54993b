package callerapi

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// keyedSettings requires a key from backend servers.
type keyedSettings struct{ *fakeHost }

func (keyedSettings) Fleet() settings.Fleet {
	return settings.Fleet{AnnounceKeyHashes: []string{settings.HashKey("server-key")}}.WithDefaults()
}

// Guards against prompts of client accounts being sent to an unauthorized server: without the
// check, anyone who can reach the callers' address may announce a server.
func TestAnnouncementsRequireKeyIfSet(t *testing.T) {
	h := newFleet().host("a")
	deps := h.api.deps
	deps.Settings = keyedSettings{h}
	api := New(deps)
	events := `{"address":"10.0.0.1:80","incarnation":1,"events":[{"seq":4,"stored":["ff"]}]}`
	for _, c := range []struct {
		path, body, key string
		want            int
	}{
		{PathAnnounce, announcement, "", http.StatusUnauthorized},
		{PathAnnounce, announcement, testKey, http.StatusUnauthorized},
		{PathAnnounce, announcement, "server-key", http.StatusOK},
		{PathCacheEvents, events, "", http.StatusUnauthorized},
		{PathCacheEvents, events, "server-key", http.StatusOK},
	} {
		r := httptest.NewRequest(http.MethodPost, c.path, strings.NewReader(c.body))
		if c.key != "" {
			r.Header.Set("Authorization", "Bearer "+c.key)
		}
		w := httptest.NewRecorder()
		api.ServeHTTP(w, r)
		if w.Code != c.want {
			t.Errorf("%s with key %q: got %d, want %d: %s", c.path, c.key, w.Code, c.want, w.Body)
		}
	}
}
