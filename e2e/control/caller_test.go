package control

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/adminapi"
	"github.com/bluebellsail/bluebellsail/internal/devfleet"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/httpserver"
	"github.com/bluebellsail/bluebellsail/internal/standin"
)

const (
	serviceTokens = 7
	chatBody      = `{"model":"m","max_tokens":8,"messages":[{"role":"user","content":"%s %d"}]}`
)

// caller sends requests of one client account.
type caller struct {
	f       *fleet
	client  *http.Client
	scheme  string
	key     string
	backend string
}

// answer is the answer to a caller's request.
type answer struct {
	status  int
	tokens  uint64
	refusal httpserver.ErrorFields
	body    string
}

// billable sums the answers that callers got, and their tokens.
type billable struct {
	answers, tokens uint64
}

func (u *billable) add(t *testing.T, a answer) {
	t.Helper()
	if a.status != http.StatusOK || a.tokens == 0 {
		t.Fatalf("not answered: status %d, %s", a.status, a.body)
	}
	u.answers++
	u.tokens += a.tokens
}

// callerAddresses returns the addresses of all hosts for callers.
func (f *fleet) callerAddresses() []string {
	var out []string
	for _, h := range f.layout.Hosts {
		out = append(out, h.Callers)
	}
	return out
}

// startBackend starts a fake backend server and returns its address.
func (f *fleet) startBackend(announceTo []string) string {
	f.t.Helper()
	file := filepath.Join(f.layout.Dir, "standin.address")
	startProcess(f.t, f.layout.Dir, "standin", "standin", "--address-file", file, "--announce", strings.Join(announceTo, ","),
		"--models", "m", "--services", "ledger", "--decode", "0", "--prefill", "0")
	var address []byte
	eventually(f.t, "the fake backend server listens", func() bool {
		address, _ = os.ReadFile(file)
		return len(address) > 0
	})
	return strings.TrimSpace(string(address))
}

// newCaller creates a budget, a team and a client account, and waits until every host knows them and
// the backend server.
func (f *fleet) newCaller(backend string, tokens uint64) *caller {
	f.t.Helper()
	f.mustRunCLI(f.layout.Hosts, "budget", "create", "cash", "--tokens", strconv.FormatUint(tokens, 10))
	f.mustRunCLI(f.layout.Hosts, "config", "set", "/teams/school", fmt.Sprintf(`{"default_timeout":"10s","service_tokens":%d}`, serviceTokens), "--version", "0")
	out := f.mustRunCLI(f.layout.Hosts, "--json", "account", "create", "caruaru", "--team", "school", "--budget", "cash")
	key := decode[adminapi.KeyAnswer](f.t, out).Key
	f.awaitInForce(2)
	for _, h := range f.layout.Hosts {
		eventually(f.t, h.Host+" serves and knows the backend server", func() bool {
			var list adminapi.ServerList
			var s adminapi.Status
			return f.query(&list, h, "server", "list") && len(list.Servers) == 1 && f.query(&s, h, "status") && s.Ready
		})
	}
	return &caller{f: f, client: &http.Client{Timeout: waitTimeout}, scheme: "http://", key: key, backend: backend}
}

// chat sends a chat completion request to a host.
func (c *caller) chat(h devfleet.Host, what string, i int) answer {
	c.f.t.Helper()
	body := fmt.Sprintf(chatBody, what, i)
	a := c.send(h, "/v1/chat/completions", body, fmt.Sprint(h.Host, "-", what, "-", i), false)
	var usage struct {
		Usage struct {
			Total uint64 `json:"total_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal([]byte(a.body), &usage); err != nil {
		c.f.t.Fatalf("%v: %s", err, a.body)
	}
	a.tokens = usage.Usage.Total
	return a
}

// postEntry posts a ledger entry, which may be executed only once.
func (c *caller) postEntry(h devfleet.Host, id string) answer {
	c.f.t.Helper()
	a := c.send(h, "/services/ledger/entries", fmt.Sprintf(`{"id":%q}`, id), id, true)
	if a.status == http.StatusOK {
		a.tokens = serviceTokens
	}
	return a
}

func (c *caller) send(h devfleet.Host, path, body, key string, once bool) answer {
	c.f.t.Helper()
	req, err := http.NewRequest(http.MethodPost, c.scheme+h.Callers+path, strings.NewReader(body))
	if err != nil {
		c.f.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(filter.HeaderIdempotencyKey, key)
	req.Header.Set(filter.HeaderTimeout, strconv.FormatInt((10*time.Second).Milliseconds(), 10))
	if once {
		req.Header.Set(filter.HeaderNotIdempotent, "true")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		c.f.t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		c.f.t.Fatal(err)
	}
	a := answer{status: resp.StatusCode, body: string(b)}
	var refusal httpserver.ErrorAnswer
	if resp.StatusCode != http.StatusOK && json.Unmarshal(b, &refusal) == nil {
		a.refusal = refusal.Error
	}
	return a
}

// runs returns the requests that the backend server has executed.
func (c *caller) runs() standin.Runs {
	c.f.t.Helper()
	resp, err := c.client.Get("http://" + c.backend + "/debug/runs")
	if err != nil {
		c.f.t.Fatal(err)
	}
	defer resp.Body.Close()
	var r standin.Runs
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil {
		c.f.t.Fatal(err)
	}
	return r
}
