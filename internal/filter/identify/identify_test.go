package identify

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/settings"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// host has one account and is in contact with the control group unless contact is set.
type host struct {
	account settings.Account
	contact error
}

func (h host) AccountByKey(hash string) (string, *settings.Account, bool) {
	return "school", &h.account, hash == settings.HashKey("key")
}
func (h host) Team(name string) (*settings.Team, bool) { return &settings.Team{}, name == "books" }
func (host) Fleet() settings.Fleet                     { return settings.Fleet{} }
func (host) Revision() uint64                          { return 1 }
func (host) Ready() error                              { return nil }
func (h host) InContact() error                        { return h.contact }

// Guards against rejecting as unknown what the host's own settings lack, however old they are.
// If a key is added while the host can't reach the control group, callers would otherwise be told
// that their key is wrong.
func TestStaleSettingsRejectNoKeyAsUnknown(t *testing.T) {
	cut := errkind.New(errkind.HostNotReady, "out of contact")
	sound := settings.Account{Team: "books"}
	for name, c := range map[string]struct {
		host host
		key  string
		kind errkind.Kind
	}{
		"known":                  {host{account: sound}, "key", ""},
		"known, cut off":         {host{sound, cut}, "key", ""},
		"unknown":                {host{account: sound}, "other", errkind.Unauthenticated},
		"unknown, cut off":       {host{sound, cut}, "other", errkind.HostNotReady},
		"disabled":               {host{account: settings.Account{Team: "books", Disabled: true}}, "key", errkind.Forbidden},
		"disabled, cut off":      {host{settings.Account{Team: "books", Disabled: true}, cut}, "key", errkind.HostNotReady},
		"no such team, cut off":  {host{settings.Account{Team: "gone"}, cut}, "key", errkind.HostNotReady},
		"no key at all, cut off": {host{sound, cut}, "", errkind.Unauthenticated},
	} {
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		if c.key != "" {
			r.Header.Set("Authorization", "Bearer "+c.key)
		}
		r = r.WithContext(filter.WithCall(r.Context(), &filter.Call{}))
		passed := func(http.ResponseWriter, *http.Request) error { return nil }
		err := filter.Chain(filter.HandlerFunc(passed), &Filter{Settings: c.host}).ServeHTTP(httptest.NewRecorder(), r)
		if c.kind == "" {
			testutil.NoError(t, err)
			continue
		}
		testutil.Refused(t, err, c.kind, name)
	}
}
