// Package limit bounds the requests in flight at this host per team, so that one team can't use up
// the host's memory.
package limit

import (
	"net/http"
	"sync"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
)

const retryAfter = time.Second

// Filter counts the calls in flight per team.
type Filter struct {
	mu    sync.Mutex
	teams map[string]int
}

// ServeHTTP implements filter.Filter.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	c := filter.CallFrom(r.Context())
	if !f.enter(c.TeamName, c.Team.MaxInFlight) {
		return errkind.New(errkind.Overloaded, "team %s has %d requests in flight at this host", c.TeamName, c.Team.MaxInFlight).After(retryAfter)
	}
	defer f.leave(c.TeamName)
	return next.ServeHTTP(w, r)
}

func (f *Filter) enter(team string, limit int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.teams[team] >= limit {
		return false
	}
	if f.teams == nil {
		f.teams = make(map[string]int)
	}
	f.teams[team]++
	return true
}

func (f *Filter) leave(team string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.teams[team]--
	if f.teams[team] == 0 {
		delete(f.teams, team)
	}
}
