package daemon

import (
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/linkdelay"
	"github.com/bluebellsail/bluebellsail/internal/linkshare"
	"github.com/bluebellsail/bluebellsail/internal/loadview"
	"github.com/bluebellsail/bluebellsail/internal/loadview/sources"
	"github.com/bluebellsail/bluebellsail/internal/procconfig"
	"github.com/bluebellsail/bluebellsail/internal/relay/bandwidth"
)

const (
	bytesPerMegabit = 1e6 / 8
	// busyInterval is how often it is decided whether connections are accepted while the link is busy,
	// idleInterval while it isn't.
	busyInterval = 10 * time.Millisecond
	idleInterval = 50 * time.Millisecond
	// busyShare is the share of the link, in either direction, from which it counts as busy.
	busyShare = 0.5
	// rateInterval is the time over which the rates of the log and busyShare are measured.
	rateInterval = 500 * time.Millisecond
	// reportInterval is the time between lines in the log while the link is full.
	reportInterval = 5 * time.Second
	// roundTripsMissing is the time without any round trip after which the link counts as blocked for as
	// long: heartbeats alone make some in each interval. A host without any for isolatedAfter is cut off,
	// whatever its link.
	roundTripsMissing = 400 * time.Millisecond
	isolatedAfter     = 10 * time.Second
	// pausedAfter is the time between two decisions after which the process counts as paused meanwhile.
	pausedAfter = 2 * idleInterval
	// notReadyAfter is the time without success in accepting connections again after which the host is not
	// ready.
	notReadyAfter = time.Second
	// aheadHorizon is the time of demand for which a host with a busy link holds tokens of a busy account.
	aheadHorizon = time.Second
	// aheadPermille bounds these tokens, in thousandths of the budget's unbilled tokens.
	aheadPermille = 50
)

// link decides who uses this host's network link; see package linkshare. A nil link decides nothing.
type link struct {
	linkCount
	// rate is what the link carries in each direction, in bytes a second.
	rate float64
	// delay estimates how long messages wait on the link.
	delay *linkdelay.Estimator
	busy  atomic.Bool
	// lastTrip is when the last round trip to another host or a server ended.
	lastTrip atomic.Pointer[time.Time]
	// use is what crossed the link in the last rateInterval; nil until that is measured.
	use atomic.Pointer[linkUse]
	// refusing is set while connections are refused.
	refusing atomic.Bool
	// unready is set while connections can't be accepted again for longer than notReadyAfter.
	unready atomic.Bool

	mu    sync.Mutex
	ahead *linkshare.Ahead
	// paused counts how long connections were refused, notResumed failures to accept them again.
	paused     expvar.Float
	notResumed expvar.Int
	vars       expvar.Map
}

// linkUse is what crosses the link in each direction, in bytes a second.
type linkUse struct{ in, out int64 }

// newLink returns nil unless the settings call for decisions about the link.
func newLink(cfg *procconfig.Config, delay *linkdelay.Estimator) *link {
	if cfg.Routed == nil || !cfg.Routed.Overload.Link || cfg.Limits.LinkMbps <= 0 {
		return nil
	}
	l := &link{rate: cfg.Limits.LinkMbps * bytesPerMegabit, delay: delay, ahead: linkshare.NewAhead()}
	for _, p := range linkshare.Purposes() {
		l.vars.Set(p.String(), expvar.Func(func() any { return l.traffic.Of(p) }))
	}
	l.methods.traffic = &l.traffic
	l.vars.Set("calls_in", &l.methods.in)
	l.vars.Set("calls_out", &l.methods.out)
	l.vars.Set("refusing_seconds", &l.paused)
	l.vars.Set("not_resumed", &l.notResumed)
	return l
}

// calls returns the counter of calls between processes that counts their bytes on the link; nil if there is none.
func (l *link) calls() *callCount {
	if l == nil {
		return nil
	}
	return &l.methods
}

// servers makes the connections to backend servers that dial opens count.
func (l *link) servers(dial engineclient.DialFunc) engineclient.DialFunc {
	if l == nil {
		return dial
	}
	return l.countDialed(dial, linkshare.Servers)
}

// callers returns the counter of callers' bytes; nil if they are not counted.
func (l *link) callers() func(in, out int) {
	if l == nil {
		return nil
	}
	return l.counter(linkshare.Callers)
}

// filter returns the filter that rejects requests for which a link of the given capacity has no room.
func (l *link) filter(megabits float64) *bandwidth.Filter {
	if l == nil {
		return bandwidth.New(megabits)
	}
	f := bandwidth.NewShared(megabits)
	l.vars.Set("rejected_by_account", f.Rejected())
	return f
}

// observeRoundTrip records that a round trip has ended.
func (l *link) observeRoundTrip(now time.Time) {
	if l != nil {
		l.lastTrip.Store(&now)
	}
}

// wait returns how long messages wait on the link, at least. Missing round trips count from the time given:
// a process that was paused has ended none meanwhile.
func (l *link) wait(now, from time.Time) time.Duration {
	last := l.lastTrip.Load()
	if last == nil {
		return 0
	}
	missing := now.Sub(*last)
	if missing > isolatedAfter {
		return 0
	}
	if missing = min(missing, now.Sub(from)); missing > roundTripsMissing {
		return missing
	}
	return l.delay.Delay(now)
}

// describe enters the use of the link in the host's load view.
func (l *link) describe(_ string, _ time.Time, into *loadview.Host) {
	if use := l.use.Load(); use != nil {
		sources.Link(use.in, use.out, l.rate, l.refusing.Load(), into)
	}
}

// ready returns nil unless the host can't accept connections again.
func (l *link) ready() error {
	if l == nil || !l.unready.Load() {
		return nil
	}
	return errkind.New(errkind.HostNotReady, "this host can't listen on its callers' address again").After(notReadyAfter)
}

// holdsTokens counts a request and reports whether this host holds tokens of its budget itself.
func (l *link) holdsTokens(budget string) bool {
	if l == nil {
		return false
	}
	busy := l.busy.Load()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ahead.Request(time.Now(), budget, busy)
}

// tokensExhausted records that this host got no more tokens of a budget.
func (l *link) tokensExhausted(budget string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ahead.Exhausted(time.Now(), budget)
}

// holds reports whether this host holds tokens of a budget itself.
func (l *link) holds(budget string) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ahead.Holds(time.Now(), budget)
}
