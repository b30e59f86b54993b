// Package bandwidth is the filter that refuses routed requests which this host's link can
// not carry.
//
// What goes wrong without it: callers of one client account go to the same host and send
// three times their usual. Its link of 10 Mbit/s is full, and packets wait for seconds. All
// that the host asks of others times out: it takes the owners of budgets and of servers for
// lost, one after the other, and each of them sets tokens aside for requests that are given
// up. One notices requests that fail after their deadline at a host whose processor is idle,
// and a budget half of which lies at hosts that have no use for it.
//
// What is refused here costs the link one pass, not two, and the caller goes to another host.
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
	// linkShare of the link that requests may use; the rest is for what hosts say to each other,
	// and for callers' requests that are refused.
	linkShare = 0.8
	// burst is how long requests may come faster than that: what then waits before the link
	// delays everything else by a quarter of a second at most.
	burst = 250 * time.Millisecond
	// urgentShare of the burst is left to requests of the highest rank.
	urgentShare = 0.25
	// overhead is what a request costs beside its body, in bytes: the headers towards the
	// server and an answer of usual size.
	overhead = 2 << 10
	// smallRequest requests always pass: what they cost the link is less than refusing them and
	// having them come again.
	smallRequest = 4 << 10
	// retryAfter is when a caller may come back. Times in which one account's callers send
	// more than a link carries last for some seconds; callers who come back after a third of
	// a second sent three times as much again.
	retryAfter = 2 * time.Second
)

// Filter implements filter.Filter. It is safe for concurrent use.
type Filter struct {
	// limiter is nil for a link without a bound.
	limiter *rate.Limiter
	// urgentReserve is what less urgent requests leave of the burst, in bytes.
	urgentReserve float64
}

// New makes a filter for a link of so many megabits a second; 0: without a bound.
func New(megabits float64) *Filter {
	if megabits <= 0 {
		return &Filter{}
	}
	const bytesPerMegabit = 1e6 / 8
	bytesPerSecond := linkShare * megabits * bytesPerMegabit
	size := bytesPerSecond * burst.Seconds()
	return &Filter{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), int(size)), urgentReserve: urgentShare * size}
}

// ServeHTTP refuses a request for which the link has no room now.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	x := relay.ExchangeFrom(r.Context())
	if !f.allow(time.Now(), len(x.Body)+overhead, x.Priority()) {
		return errkind.New(errkind.Overloaded, "this host's link is full").After(retryAfter)
	}
	return next.ServeHTTP(w, r)
}

// allow takes the bytes of a request off the burst. rank 0 is the most urgent.
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
	// A request larger than the burst is allowed when the burst is whole.
	return f.limiter.AllowN(now, min(bytes, f.limiter.Burst()))
}
