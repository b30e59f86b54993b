// Package identify determines the client account and the team of a request from its bearer key.
package identify

import (
	"net/http"

	"github.com/bluebellsail/bluebellsail/internal/bearer"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// Filter sets a call's account, team and settings revision.
type Filter struct {
	Settings filter.Settings
}

// ServeHTTP implements filter.Filter.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	if err := f.Settings.Ready(); err != nil {
		return err
	}
	key, ok := bearer.Key(r)
	if !ok {
		return errkind.New(errkind.Unauthenticated, "no bearer key in the Authorization header")
	}
	if err := f.identify(filter.CallFrom(r.Context()), key); err != nil {
		// A host that is out of contact with the control group may lack a key, or consider an
		// account disabled, where newer settings differ. A caller told that its key is wrong would
		// not retry.
		if stale := f.Settings.InContact(); stale != nil {
			return stale
		}
		return err
	}
	return next.ServeHTTP(w, r)
}

// identify sets the account and the team of c according to the settings of this host.
func (f *Filter) identify(c *filter.Call, key string) error {
	name, account, ok := f.Settings.AccountByKey(settings.HashKey(key))
	if !ok {
		return errkind.New(errkind.Unauthenticated, "no client account has this key")
	}
	if account.Disabled {
		return errkind.New(errkind.Forbidden, "client account %s is disabled", name)
	}
	team, ok := f.Settings.Team(account.Team)
	if !ok {
		return errkind.New(errkind.Forbidden, "client account %s belongs to team %s, which does not exist", name, account.Team)
	}
	c.AccountName, c.Account = name, account
	c.TeamName, c.Team = account.Team, team
	c.Revision = f.Settings.Revision()
	return nil
}
