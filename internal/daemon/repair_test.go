package daemon

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// engine starts an engine that reports the output tokens of finished runs by id, and returns
// its address.
func engine(t *testing.T, runs map[string]int) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		output, known := runs[strings.TrimPrefix(r.URL.Path, "/v1/streams/")]
		if !known {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprintf(w, "data: {\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", output)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// If a host is killed before its peers know at which server a request runs, the request's tokens
// would stay locked for over a minute. The usage must be found by querying all servers.
func TestUsageIsFoundWithoutServerInRecord(t *testing.T) {
	gone := httptest.NewServer(nil)
	gone.Close()
	servers := []string{
		engine(t, nil), engine(t, map[string]int{"r1-1": 3, "other-2": 99}), engine(t, map[string]int{"r1-2": 5}),
		strings.TrimPrefix(gone.URL, "http://"),
	}
	ask := engineUsage(engineclient.New(engineclient.Config{}), func() []string { return servers })
	for id, want := range map[string]uint64{"r1": 5, "none": 0} {
		prompt, output, known := ask(t.Context(), &pb.InflightRecord{RequestId: id})
		if known != (want > 0) || output != want || known && prompt != 7 {
			t.Errorf("%s: %d and %d tokens, known %v", id, prompt, output, known)
		}
	}
}
