package budget

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/routes"
)

// account records what is billed.
type account struct{ reserved, billed uint64 }

func (a *account) Reserve(_ context.Context, _, _ string, tokens uint64) (string, error) {
	a.reserved = tokens
	return "holder", nil
}

func (a *account) Spend(_ string, tokens uint64) { a.billed = tokens }

// next is the end of a request as the filter that forwards it leaves it.
type next struct {
	consumed, begun bool
	output          uint64
	err             error
}

func (n next) ServeHTTP(_ http.ResponseWriter, r *http.Request) error {
	x := relay.ExchangeFrom(r.Context())
	x.PromptConsumed, x.Begun, x.OutputTokens = n.consumed, n.begun, n.output
	return n.err
}

// Guards against a bill for an answer that the caller did not get, and against answers that cost nothing
// because the caller, or the server, broke them off.
func TestBillByHowTheRequestEnded(t *testing.T) {
	const prompt, outputCap = 1000, 200
	prepaid := uint64(1_000_000)
	failed := errkind.New(errkind.BackendServerFailed, "truncated")
	left := errkind.New(errkind.CallerGone, "left")
	for name, c := range map[string]struct {
		next
		want uint64
	}{
		"whole answer":                               {next{consumed: true, begun: true, output: 60}, prompt + 60},
		"caller left in the midst":                   {next{consumed: true, begun: true, output: 24, err: left}, prompt + 24},
		"server broke off, not resumed":              {next{consumed: true, begun: true, output: 24, err: failed}, prompt + 24},
		"caller left before the first event":         {next{consumed: true, err: left}, 0},
		"caller left before the request was sent":    {next{err: left}, 0},
		"server lost, may have run, nothing arrived": {next{consumed: true, err: failed}, 0},
		"no server":                {next{err: errkind.New(errkind.NoBackendServer, "none")}, 0},
		"more output than the cap": {next{consumed: true, begun: true, output: 900}, prompt + outputCap},
	} {
		a := &account{}
		x := &relay.Exchange{
			Request: &relay.Request{ID: "r", PromptTokens: prompt, OutputCap: outputCap}, Account: &routes.Account{Name: "school", Prepaid: &prepaid},
		}
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		r = r.WithContext(relay.WithExchange(r.Context(), x))
		var inner filter.Handler = c.next
		err := (&Filter{Budgets: a}).ServeHTTP(httptest.NewRecorder(), r, inner)
		if a.reserved != prompt+outputCap || a.billed != c.want || err != c.err {
			t.Errorf("%s: billed %d of %d reserved, error %v; want %d", name, a.billed, a.reserved, err, c.want)
		}
	}
}
