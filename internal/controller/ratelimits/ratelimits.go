// Package ratelimits binds packages ratelimit and admission to a host: it observes the rate limits that
// backend servers advertise in their answers, notifies the other hosts, and requests and issues permits
// for requests to rate-limited servers. It does the same for brittle servers and their admissions.
//
// The owner of a server's limit is the host that ranks first for it. Hosts learn a limit from the
// server's answers, from updates that are broadcast as soon as it changes, or from heartbeats.
// While no server advertises a limit or is brittle, no messages are sent.
package ratelimits

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/controller/owners"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/ratelimit"
	"github.com/bluebellsail/bluebellsail/internal/telemetry"
)

const (
	// forgetAfter is how long a server's limit is kept without a new observation.
	forgetAfter = 2 * time.Minute
	// expireEvery is how often limits without a recent observation are removed.
	expireEvery = 10 * time.Second
)

// Owners finds the owners of limits; *owners.Table implements it.
type Owners interface {
	FirstRanked(key string, n int) []owners.Host
	Rank(key string) (rank int, ok bool)
	AliveFraction() float64
	AgreedFor() time.Duration
	EachRecent(key string, d time.Duration, f func(rank int, alive float64)) (complete bool)
	MarkUnanswered(host string)
	MarkAnswered(host string)
}

// Config configures a Limiter.
type Config struct {
	// Host is this host's name.
	Host   string
	Owners Owners
	Client func(address string) pb.PeerClient
	// WarmupRate returns the requests per second that a cold server of a service accepts from all hosts
	// together; ok is false if it accepts any rate. If it is nil, cold servers are not limited.
	WarmupRate func(service string) (perSecond float64, ok bool)
	// Broadcast notifies all hosts of a changed limit.
	Broadcast func(*pb.ServerLimit)
	Log       zerolog.Logger
}

// Limiter holds the rate limits of servers. It is safe for concurrent use.
type Limiter struct {
	cfg Config

	mu         sync.Mutex
	table      *ratelimit.Table
	issuer     *ratelimit.Issuer
	lastExpiry time.Time
	// unreadable holds the incarnations whose limits could not be parsed; each is logged once.
	unreadable telemetry.FirstSeen[instance.Incarnation]
	// pending holds the calls for permits in progress; the channel is closed when the call ends.
	pending map[instance.Incarnation]chan struct{}
	brittle *brittle

	metrics metrics
}

// metrics are the limiter's counters.
type metrics struct {
	vars expvar.Map
	// changes counts changed limits, warmups the servers that became cold, sends the requests to rate-limited servers, asks the calls
	// for permits by outcome, and issued the permits issued by this host.
	changes, warmups, issued expvar.Int
	sends, asks              expvar.Map
}

// New returns a Limiter that knows no limit.
func New(cfg Config) *Limiter {
	l := &Limiter{
		cfg: cfg, table: ratelimit.NewTable(cfg.WarmupRate), issuer: ratelimit.NewIssuer(), lastExpiry: time.Now(),
		pending: make(map[instance.Incarnation]chan struct{}), brittle: newBrittle(),
	}
	l.metrics.vars.Set("changes", &l.metrics.changes)
	l.metrics.vars.Set("warmups", &l.metrics.warmups)
	l.metrics.vars.Set("sends", &l.metrics.sends)
	l.metrics.vars.Set("asks", &l.metrics.asks)
	l.metrics.vars.Set("issued", &l.metrics.issued)
	return l
}

// Metrics returns the limiter's counters.
func (l *Limiter) Metrics() *expvar.Map { return &l.metrics.vars }

// Key returns the key by which hosts are ranked as owners of a limit.
func Key(inc instance.Incarnation) string {
	return "limits/" + inc.ID + "/" + strconv.FormatUint(inc.Started, 10)
}

// Observe records the rate limit observed in an answer to a request of this host, and notifies the other
// hosts if it has changed.
func (l *Limiter) Observe(inc instance.Incarnation, obs ratelimit.Observation, requestID string) {
	before, changed := l.observe(inc, obs)
	if !changed {
		return
	}
	l.logChange(inc, before, obs, requestID)
	l.cfg.Broadcast(l.encode(time.Now(), inc))
}

func (l *Limiter) observe(inc instance.Incarnation, obs ratelimit.Observation) (before ratelimit.Observation, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.lastExpiry) >= expireEvery {
		l.lastExpiry = now
		l.table.Expire(now.Add(-forgetAfter))
		l.issuer.Expire(now)
		l.unreadable.Forget()
		l.expireBrittle(now)
	}
	return l.table.Observe(inc, obs)
}

// logChange logs a changed limit. from is its source: the ID of the request whose answer carried it, or
// "peer".
func (l *Limiter) logChange(inc instance.Incarnation, before, obs ratelimit.Observation, from string) {
	l.metrics.changes.Add(1)
	l.cfg.Log.Info().Str("event", "server-limit").Str("server", inc.ID).Uint64("incarnation", inc.Started).
		Bool("limited", obs.Limited()).Float64("per_second", obs.Limit).Bool("limited_before", before.Limited()).
		Float64("per_second_before", before.Limit).Str("from", from).Dur("age", time.Since(obs.At)).Send()
}

// RecordUnreadable records that a server advertised a limit that is not a number. An earlier limit stays in
// force.
func (l *Limiter) RecordUnreadable(inc instance.Incarnation, requestID string) {
	if l.unreadable.First(inc) {
		l.cfg.Log.Warn().Str("event", "server-limit-unreadable").Str("server", inc.ID).Uint64("incarnation", inc.Started).
			Str("request", requestID).Send()
	}
}

// RecordSend counts a request sent to a server. It returns the server's limit.
func (l *Limiter) RecordSend(inc instance.Incarnation, why ratelimit.Send) ratelimit.Observation {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, limited := l.table.Limit(time.Now(), inc); limited {
		l.metrics.sends.Add(string(why), 1)
	}
	return l.table.Observed(inc)
}

// SetWarmup records the warm-up that a server announced last.
func (l *Limiter) SetWarmup(inc instance.Incarnation, w ratelimit.Warmup) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.table.SetWarmup(now, inc, w) {
		l.logWarmup(now, inc, w, "announcement")
	}
}

// logWarmup logs that a server is cold. from is the source: "announcement" or "peer".
func (l *Limiter) logWarmup(now time.Time, inc instance.Incarnation, w ratelimit.Warmup, from string) {
	l.metrics.warmups.Add(1)
	perSecond, limited := l.table.Limit(now, inc)
	l.cfg.Log.Info().Str("event", "server-cold").Str("server", inc.ID).Uint64("incarnation", inc.Started).Str("service", w.Service).
		Dur("left", w.Until.Sub(now)).Bool("limited", limited).Float64("per_second", perSecond).Str("from", from).Send()
}

// Limit implements ratelimit.Permits.
func (l *Limiter) Limit(inc instance.Incarnation) (perSecond float64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Limit(time.Now(), inc)
}

// Check implements ratelimit.Permits.
func (l *Limiter) Check(now time.Time, inc instance.Incarnation) (ratelimit.State, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Check(now, inc)
}

// Use implements ratelimit.Permits.
func (l *Limiter) Use(now time.Time, inc instance.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Use(now, inc)
}
