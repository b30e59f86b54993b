// Package usage counts, for operators, which client accounts have requests at a host and which were refused.
package usage

import (
	"net/http"
	"sync"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/loadview"
	"github.com/bluebellsail/bluebellsail/internal/relay"
)

// Filter implements filter.Filter. It changes nothing about a request. The zero value is ready to use; it
// is safe for concurrent use.
type Filter struct {
	mu       sync.Mutex
	requests map[use]int
	refused  loadview.Refusals
}

type use struct{ service, account string }

func useOf(x *relay.Exchange) use {
	u := use{account: x.AccountName()}
	if x.Service != nil {
		u.service = x.Service.Name
	}
	return u
}

// ServeHTTP counts a request while it is served.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	u := useOf(relay.ExchangeFrom(r.Context()))
	f.count(u, 1)
	defer f.count(u, -1)
	return next.ServeHTTP(w, r)
}

func (f *Filter) count(u use, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requests == nil {
		f.requests = make(map[use]int)
	}
	if f.requests[u] += n; f.requests[u] == 0 {
		delete(f.requests, u)
	}
}

// Finished counts a request that has ended if it was refused.
func (f *Filter) Finished(now time.Time, x *relay.Exchange, err error) {
	e := errkind.From(err)
	if e == nil || x.Ending != relay.EndRefused {
		return
	}
	u := useOf(x)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused.Add(now, u.service, u.account, string(e.Kind))
}

// Describe implements loadview.Source.
func (f *Filter) Describe(service string, now time.Time, into *loadview.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for u, n := range f.requests {
		if service == "" || service == u.service {
			into.AccountNamed(u.account).Requests += n
		}
	}
	into.Refused = append(into.Refused, f.refused.Of(now, service)...)
}
