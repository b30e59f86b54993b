package parse

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

const teamCap = 100

type fixedSettings struct{ filter.Settings }

func (fixedSettings) Fleet() settings.Fleet { return settings.Fleet{}.WithDefaults() }

// run sends one request through the filter.
func run(kind filter.WorkKind, path, body string) (*filter.Call, error) {
	team := settings.Team{MaxOutputTokens: teamCap}.WithDefaults()
	c := &filter.Call{Kind: kind, Path: path, Team: &team, TeamName: "t"}
	r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
	r.URL.Path = path
	f := &Filter{Settings: fixedSettings{}}
	err := f.ServeHTTP(httptest.NewRecorder(), r.WithContext(filter.WithCall(r.Context(), c)),
		filter.HandlerFunc(func(http.ResponseWriter, *http.Request) error { return nil }))
	return c, err
}

// engineTokens counts a prompt like an engine that takes one token for 4 bytes of text, rounded up,
// and 4 tokens for each message.
func engineTokens(t *testing.T, body []byte) uint64 {
	t.Helper()
	var req struct {
		Messages []struct{ Content json.RawMessage }
		Prompt   json.RawMessage
	}
	if err := json.Unmarshal(body, &req); err != nil {
		t.Fatalf("engine can't read %s: %v", body, err)
	}
	texts := []json.RawMessage{req.Prompt}
	if len(req.Messages) > 0 {
		texts = nil
		for _, m := range req.Messages {
			texts = append(texts, m.Content)
		}
	}
	var sum uint64
	for _, raw := range texts {
		sum += uint64(textLen(raw)+3)/4 + 4
	}
	return sum
}

func textLen(raw json.RawMessage) int {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return len(s)
	}
	var parts []struct{ Text string }
	n := 0
	if json.Unmarshal(raw, &parts) == nil {
		for _, p := range parts {
			n += len(p.Text)
		}
	}
	return n
}

func FuzzCompletion(f *testing.F) {
	for _, body := range []string{
		`{"model":"m","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"hello"}]}`,
		`{"model":"m","messages":[{"content":[{"type":"text","text":"a"}]},{},{"content":null}],"max_completion_tokens":7}`,
		`{"model":"m","prompt":"\u00e9\ud800","stream_options":{"include_usage":true},"x":[1,{"y":null}]}`,
		`{"model":"m","prompt":["one"]}`, `{"model":"m","prompt":[1,2,3]}`, `{"model":"m","MAX_TOKENS":9,"prompt":""}`,
		`{"model":"m","prompt":"` + strings.Repeat("é", 2000) + `"}`, `{"model":"m","messages":[{}` + strings.Repeat(",{}", 200) + `]}`,
		`{"model":null}`, `[]`, `null`, "\xff", `{"model":"m","prompt":"a","max_tokens":-1}`, `{"model":"m","prompt":"a","n":1e3}`,
	} {
		f.Add(body, true)
		f.Add(body, false)
	}
	f.Fuzz(func(t *testing.T, body string, chat bool) {
		path := PathCompletions
		if chat {
			path = PathChat
		}
		c, err := run(filter.WorkModel, path, body)
		if err != nil {
			if e := errkind.From(err); e.Kind == errkind.Internal {
				t.Fatalf("the refusal is an internal error: %v", err)
			}
			return
		}
		var sent struct {
			Model         string
			Stream        bool
			MaxTokens     uint64 `json:"max_tokens"`
			StreamOptions struct {
				IncludeUsage bool `json:"include_usage"`
			} `json:"stream_options"`
		}
		if err := json.Unmarshal(c.Body, &sent); err != nil {
			t.Fatalf("engine's body %s: %v", c.Body, err)
		}
		if !sent.Stream || !sent.StreamOptions.IncludeUsage || sent.Model != c.Model || sent.MaxTokens != c.OutputCap {
			t.Fatalf("engine's body %s for %+v", c.Body, c)
		}
		if c.OutputCap == 0 || c.OutputCap > teamCap || c.Reserved != c.PromptTokens+c.OutputCap {
			t.Fatalf("cap %d, prompt %d, reserved %d", c.OutputCap, c.PromptTokens, c.Reserved)
		}
		if n := engineTokens(t, c.Body); n > c.PromptTokens {
			t.Fatalf("engine counts %d tokens, the bound is %d: %s", n, c.PromptTokens, body)
		}
	})
}

func FuzzServicePath(f *testing.F) {
	for _, p := range []string{"/services/a/b", "/services/", "/services/../x", "/services/a/..", "/services/a%2f", "/services/é"} {
		f.Add(p)
	}
	f.Fuzz(func(t *testing.T, path string) {
		name, err := serviceName(path)
		if err != nil {
			return
		}
		if !strings.HasPrefix(path, PrefixServices+name) || strings.ContainsAny(name, "/ %?#") || strings.Contains(path+"/", "/../") {
			t.Fatalf("%q gave service %q", path, name)
		}
	})
}

func TestPrefixHashesOfSharedBlocksAreEqual(t *testing.T) {
	a := strings.Repeat("a", 3*BlockBytes)
	x, y := PrefixHashes("m", []byte(a+strings.Repeat("x", BlockBytes))), PrefixHashes("m", []byte(a+strings.Repeat("y", BlockBytes)))
	if len(x) != 4 || x[2] != y[2] || x[3] == y[3] || x[0] == PrefixHashes("n", []byte(a))[0] {
		t.Fatalf("%v and %v", x, y)
	}
	if n := len(PrefixHashes("m", make([]byte, 10*MaxBlocks*BlockBytes))); n != MaxBlocks {
		t.Fatalf("%d hashes", n)
	}
}

// Guards against messages that prompts share and that get other hashes beside other messages, and against
// sharing the last one.
func TestSharedPartsAreMessagesButTheLast(t *testing.T) {
	parts := func(contents ...string) []uint64 {
		var messages []string
		for _, content := range contents {
			messages = append(messages, `{"role":"user","content":"`+content+`"}`)
		}
		c, err := run(filter.WorkModel, PathChat, `{"model":"m","max_tokens":5,"messages":[`+strings.Join(messages, ",")+`]}`)
		if err != nil {
			t.Fatal(err)
		}
		return c.SharedParts
	}
	first, second := parts("system", "shared", "mine"), parts("other", "shared", "yours")
	if len(first) != 2 || len(second) != 2 || first[1] != second[1] || first[0] == second[0] {
		t.Errorf("%x and %x", first, second)
	}
	if got := parts("alone"); len(got) != 0 {
		t.Errorf("a single message: %x", got)
	}
	if got := parts(strings.Split(strings.Repeat("m ", 2*MaxSharedParts), " ")...); len(got) != MaxSharedParts {
		t.Errorf("%d parts of a long prompt", len(got))
	}
}
