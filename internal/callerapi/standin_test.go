package callerapi

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter/parse"
	"github.com/bluebellsail/bluebellsail/internal/settings"
	"github.com/bluebellsail/bluebellsail/internal/standin"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

const standinBody = `{"model":"m","stream":true,"max_tokens":12,"ignore_eos":true,"messages":[{"role":"user","content":"hello"}]}`

// standins starts two fake backend servers of package standin, the first with faults.
func standins(t *testing.T, f *fakeFleet, faults standin.Faults) (first, second *standin.Server) {
	t.Helper()
	var servers []*standin.Server
	for range 2 {
		s := standin.New(standin.Options{Models: []string{"m"}, Services: []string{"ledger"}, DecodeSpeed: 500})
		testutil.NoError(t, s.Start())
		t.Cleanup(s.Close)
		f.engines[s.Address()], f.order = &fakeEngine{resumes: true}, append(f.order, s.Address())
		servers = append(servers, s)
	}
	servers[0].SetFaults(faults, nil)
	return servers[0], servers[1]
}

func TestFaultsOfStandinServers(t *testing.T) {
	// Guards against a chain that works only with the fakeEngine of these tests, because that
	// and package standin implement the protocol differently. The first standin server breaks
	// off, silences or overruns a stream; the second one has no faults.
	body := []byte(standinBody)
	prompt, err := standin.ParsePrompt(body)
	testutil.NoError(t, err)
	want := standin.Answer(prompt.Hash(), 0, 12)
	for name, c := range map[string]struct {
		faults standin.Faults
		kind   errkind.Kind
	}{
		"none":            {},
		"refuses":         {faults: standin.Faults{Refuse: true}},
		"drops":           {faults: standin.Faults{DropAfterTokens: 4}},
		"unframed":        {faults: standin.Faults{Unframed: true}},
		"drops unframed":  {faults: standin.Faults{Unframed: true, DropAfterTokens: 4}},
		"falls silent":    {faults: standin.Faults{SilentAfterTokens: 4}},
		"all silent":      {faults: standin.Faults{Silent: true}},
		"ignores its cap": {faults: standin.Faults{IgnoreMaxTokens: true}, kind: errkind.ReservationExhausted},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet()
			first, _ := standins(t, f, c.faults)
			h := f.host("a")
			h.team.MaxOutputTokens = 12
			h.team.DefaultTimeout = settings.Duration(3 * time.Second)
			h.api.deps.Dispatch.Silence = fixedSilence{first: 300 * time.Millisecond, gap: 100 * time.Millisecond}
			s := serve(t, h)
			res, err := post(s, parse.PathChat, standinBody)
			testutil.NoError(t, err)
			got, _ := io.ReadAll(res.Body)
			_ = res.Body.Close()
			if c.kind != "" {
				if e := refusalOf(t, string(got)); e.Kind != c.kind {
					t.Errorf("got %+v", e)
				}
				h.api.Wait()
				if first.Runs().Cancelled != 1 {
					t.Errorf("%+v", first.Runs())
				}
				return
			}
			if text, whole := textOf(string(got)); res.StatusCode != http.StatusOK || text != want || !whole {
				t.Errorf("got %d %q, complete %v, want %q", res.StatusCode, text, whole, want)
			}
			h.mu.Lock()
			defer h.mu.Unlock()
			if h.settled != 1 || f.billed[h.call.Identity] != uint64(prompt.Tokens()+12) {
				t.Errorf("billed %v, want %d", f.billed, prompt.Tokens()+12)
			}
		})
	}
}

// Guards against a part of a plain service's answer that is passed on as the whole, whichever way it
// is framed.
func TestCutAnswersOfStandinServices(t *testing.T) {
	for name, faults := range map[string]standin.Faults{
		"unframed":     {Unframed: true},
		"cut":          {CutServiceAnswers: true},
		"cut unframed": {CutServiceAnswers: true, Unframed: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet()
			standins(t, f, faults)
			s := serve(t, f.host("a"))
			res, err := post(s, "/services/ledger/entries", `{"id":"entry 1"}`)
			testutil.NoError(t, err)
			got, err := io.ReadAll(res.Body)
			_ = res.Body.Close()
			if want := `{"id":"entry 1","run":1}`; err != nil || strings.TrimSpace(string(got)) != want {
				t.Errorf("got %d %q, %v", res.StatusCode, got, err)
			}
		})
	}
}
