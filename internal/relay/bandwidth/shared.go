package bandwidth

import (
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/linkshare"
	"github.com/bluebellsail/bluebellsail/internal/relay"
)

// shared divides the link between client accounts.
type shared struct {
	mu     sync.Mutex
	shares *linkshare.Shares
	// rejected counts the requests that were rejected by account.
	rejected expvar.Map
}

// NewShared makes a filter that divides a link of the given capacity in megabits per second, above 0,
// between client accounts.
func NewShared(megabits float64) *Filter {
	const bytesPerMegabit = 1e6 / 8
	return &Filter{shared: &shared{shares: linkshare.NewShares(megabits * bytesPerMegabit)}}
}

// Rejected returns the numbers of rejected requests by client account of a filter made by NewShared.
func (f *Filter) Rejected() expvar.Var { return &f.shared.rejected }

// check returns the refusal of a request for which its account's part of the link has no room now. The
// text is short, since it crosses the link too.
func (s *shared) check(now time.Time, x *relay.Exchange) error {
	r := linkshare.Request{Account: x.AccountName(), Rank: x.Priority(), Body: len(x.Body)}
	if x.Account != nil && x.Account.Prepaid != nil {
		r.Weight = *x.Account.Prepaid
	}
	draw := rand.Float64()
	s.mu.Lock()
	ok, after := s.shares.Admit(now, r, draw)
	s.mu.Unlock()
	if ok {
		return nil
	}
	s.rejected.Add(r.Account, 1)
	return errkind.New(errkind.Overloaded, "the host's link is full").After(after)
}
