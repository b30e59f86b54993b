// Package bandwidth is the filter that rejects routed requests that this host's network link can't
// carry.
//
// Without it a host whose callers send three times their usual load over its link of 10 Mbit/s
// fills the link, and packets wait for seconds. Its calls to other hosts time out: it considers the
// owners of budgets and of servers unreachable, one after the other, and each of them reserves
// tokens for requests that are then given up. Requests fail after their deadline at a host whose
// processor is idle, and half of a budget is held by hosts that have no use for it.
//
// A rejected request crosses the link once instead of twice, and the caller turns to another host.
package bandwidth

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/relay"
)

const (
	// linkShare is the share of the link that requests may use. The rest is for traffic between
	// hosts and for the requests of callers that are rejected.
	linkShare = 0.8
	// burst is how long requests may exceed that rate. The backlog that builds up on the link
	// meanwhile delays other traffic by at most a quarter of a second.
	burst = 250 * time.Millisecond
	// urgentShare is the share of the burst reserved for requests of the highest priority.
	urgentShare = 0.25
	// overhead is what a request adds to the link in addition to its body, in bytes: the headers
	// sent to the server and an answer of usual size.
	overhead = 2 << 10
	// smallRequest is the size in bytes below which requests always pass: they cost the link less
	// than rejecting them and receiving them again.
	smallRequest = 4 << 10
	// retryAfter is when a caller may retry. Overload by one account's callers lasts for some
	// seconds; callers told to retry after a third of a second sent three times as much again.
	retryAfter = 2 * time.Second
)

// Filter implements filter.Filter. It is safe for concurrent use.
type Filter struct {
	// shared is nil unless the link is divided between client accounts.
	shared *shared
	// limiter is nil if the link has no limit.
	limiter *rate.Limiter
	// urgentReserve is the part of the burst that less urgent requests may not use, in bytes.
	urgentReserve float64
}

// New makes a filter for a link of the given capacity in megabits per second; 0 means no limit.
func New(megabits float64) *Filter {
	if megabits <= 0 {
		return &Filter{}
	}
	const bytesPerMegabit = 1e6 / 8
	bytesPerSecond := linkShare * megabits * bytesPerMegabit
	size := bytesPerSecond * burst.Seconds()
	return &Filter{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), int(size)), urgentReserve: urgentShare * size}
}

// ServeHTTP rejects a request for which the link has no capacity now.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	x := relay.ExchangeFrom(r.Context())
	if f.shared != nil {
		if err := f.shared.check(time.Now(), x); err != nil {
			// The caller chooses a host again for its next try.
			w.Header().Set("Connection", "close")
			return err
		}
		return next.ServeHTTP(w, r)
	}
	if !f.allow(time.Now(), len(x.Body)+overhead, x.Priority()) {
		return errkind.New(errkind.Overloaded, "the network link of this host has no capacity for the request").After(retryAfter)
	}
	return next.ServeHTTP(w, r)
}

// allow takes the bytes of a request from the burst and reports whether they fit. Rank 0 is the
// most urgent.
func (f *Filter) allow(now time.Time, bytes, rank int) bool {
	if f.limiter == nil {
		return true
	}
	if bytes < smallRequest {
		f.limiter.AllowN(now, bytes)
		return true
	}
	if rank > 0 && f.limiter.TokensAt(now) < f.urgentReserve {
		return false
	}
	// A request larger than the burst is allowed when the burst is unused.
	return f.limiter.AllowN(now, min(bytes, f.limiter.Burst()))
}
