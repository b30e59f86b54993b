package callerapi

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

const announcement = `{"address":"10.0.0.1:80","incarnation":7,"seq":"3","zone":"olinda","pool":"llm","models":["m"],"running":2,"slots":8,"tokens_per_second":30.5,"load_age_ms":20,"resumes":true,"new_field":1}`

func FuzzAnnouncement(f *testing.F) {
	for _, s := range []string{announcement, `{}`, `[]`, `{"address":"host:80","incarnation":1}`, `{"address":"[::1]:80","incarnation":-1}`,
		`{"address":"10.0.0.1:80","incarnation":1,"tokens_per_second":"NaN"}`, `{"address":"10.0.0.1:80","incarnation":1,"age_ms":-5}`} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, body string) {
		st, err := decodeAnnouncement([]byte(body))
		if err != nil {
			return
		}
		if checkServer(st.Address, st.Incarnation) != nil || st.AgeMs < 0 || !(st.TokensPerSecond >= 0) || len(st.Models) > maxNames {
			t.Fatalf("accepted %v", st)
		}
		again, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(st)
		testutil.NoError(t, err)
		if st2, err := decodeAnnouncement(again); err != nil || !proto.Equal(st, st2) {
			t.Fatalf("%s reads back as %v, %v", again, st2, err)
		}
	})
}

func FuzzCacheEvents(f *testing.F) {
	for _, s := range []string{`{"address":"10.0.0.1:80","incarnation":1,"events":[{"seq":1,"stored":["ff","0"],"removed":["1"]},{"seq":2,"cleared":true}]}`,
		`{"address":"10.0.0.1:80","incarnation":1,"events":[{"seq":1,"stored":["xyz"]}]}`, `{}`, `null`} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, body string) {
		events, err := decodeCacheEvents([]byte(body))
		for _, ev := range events {
			if err != nil || checkServer(ev.Server, ev.Incarnation) != nil {
				t.Fatalf("accepted %+v, %v", ev, err)
			}
		}
	})
}

func TestOtherPaths(t *testing.T) {
	h := newFleet().host("a")
	for _, c := range []struct {
		method, path, body string
		status             int
		want               string
	}{
		{"GET", PathModels, "", 200, `"id":"m"`},
		{"GET", PathAddresses + "?zone=olinda", "", 200, `"address":"127.0.0.1:1"`},
		{"POST", PathAnnounce, announcement, 200, `{"hosts":["127.0.0.1:1"],"interval_ms":1000}`},
		{"POST", PathAnnounce, "{}", 400, `"kind":"bad_request"`},
		{"POST", PathAnnounce, strings.Repeat(" ", maxAnnouncement+1), 413, `"kind":"body_too_large"`},
		{"POST", PathCacheEvents, `{"address":"10.0.0.1:80","incarnation":1,"events":[{"seq":4,"stored":["ff"]}]}`, 200, `{"seq":4}`},
		{"GET", PathHealth, "", 200, `"ok"`},
		{"GET", PathAnnounce, "", 404, `"kind":"unknown_path"`},
	} {
		r := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
		r.Header.Set("Authorization", "Bearer "+testKey)
		w := httptest.NewRecorder()
		h.api.ServeHTTP(w, r)
		if w.Code != c.status || !strings.Contains(w.Body.String(), c.want) || !json.Valid(w.Body.Bytes()) {
			t.Errorf("%s %s: %d %s", c.method, c.path, w.Code, w.Body)
		}
		if NeverShed(r) != (c.path != PathModels) {
			t.Errorf("%s: Always is %v", c.path, NeverShed(r))
		}
	}
	r := httptest.NewRequest(http.MethodGet, PathModels, nil)
	w := httptest.NewRecorder()
	h.api.ServeHTTP(w, r)
	if w.Code != http.StatusUnauthorized {
		t.Errorf("models without a key: %d", w.Code)
	}
}
