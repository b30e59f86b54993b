// Package identify finds out whose request it is: bearer key, client account, team.
package identify

import (
	"net/http"

	"github.com/bluebellsail/bluebellsail/internal/bearer"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// Filter fills in a call's account, team and settings revision.
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
	name, account, ok := f.Settings.AccountByKey(settings.HashKey(key))
	if !ok {
		return errkind.New(errkind.Unauthenticated, "no client account has this key")
	}
	if account.Disabled {
		return errkind.New(errkind.Forbidden, "client account %s is disabled", name)
	}
	team, ok := f.Settings.Team(account.Team)
	if !ok {
		return errkind.New(errkind.Forbidden, "client account %s is of team %s, which does not exist", name, account.Team)
	}
	c := filter.CallFrom(r.Context())
	c.AccountName, c.Account = name, account
	c.TeamName, c.Team = account.Team, team
	c.Revision = f.Settings.Revision()
	return next.ServeHTTP(w, r)
}
