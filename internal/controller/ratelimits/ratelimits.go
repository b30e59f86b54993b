// Package ratelimits binds package ratelimit to a host: it takes the limits that backend servers
// name in their answers, tells the other hosts, and gets and issues permits for requests to
// servers that name one.
//
// The owner of a server's limit is the host that ranks first for it. Hosts learn a limit from
// the server, by news as soon as it changes, or by heartbeats. While no server names a limit
// nothing of this costs a message.
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
	// forgetAfter is the silence after which a server's limit is forgotten.
	forgetAfter = 2 * time.Minute
	// sweepEvery is how often limits are looked through for those to forget.
	sweepEvery = 10 * time.Second
)

// Owners finds the owners of limits; *owners.Table implements it.
type Owners interface {
	Of(key string, n int) []owners.Host
	Rank(key string) (rank int, ok bool)
	Reach() float64
	Unanswered(host string)
	Answered(host string)
}

// Config of a Limiter.
type Config struct {
	// Host is this host's name.
	Host   string
	Owners Owners
	Client func(address string) pb.PeerClient
	// Tell tells all hosts of a changed limit.
	Tell func(*pb.ServerLimit)
	Log  zerolog.Logger
}

// Limiter knows the limits of servers. It is safe for concurrent use.
type Limiter struct {
	cfg Config

	mu     sync.Mutex
	table  *ratelimit.Table
	issuer *ratelimit.Issuer
	swept  time.Time
	// unreadable are runs whose limits can't be read, each logged once.
	unreadable telemetry.Firsts[instance.Incarnation]
	// asking are the questions for permits under way; the channel is closed at the answer.
	asking map[instance.Incarnation]chan struct{}

	metrics metrics
}

// metrics are the limiter's counters.
type metrics struct {
	vars expvar.Map
	// changes counts changed limits, sends the requests to servers that named one, asks the
	// questions for permits by outcome, issued the permits given out.
	changes, issued expvar.Int
	sends, asks     expvar.Map
}

// New makes a limiter that knows no limit.
func New(cfg Config) *Limiter {
	l := &Limiter{
		cfg: cfg, table: ratelimit.NewTable(), issuer: ratelimit.NewIssuer(), swept: time.Now(),
		asking: make(map[instance.Incarnation]chan struct{}),
	}
	l.metrics.vars.Set("changes", &l.metrics.changes)
	l.metrics.vars.Set("sends", &l.metrics.sends)
	l.metrics.vars.Set("asks", &l.metrics.asks)
	l.metrics.vars.Set("issued", &l.metrics.issued)
	return l
}

// Metrics are the limiter's counters.
func (l *Limiter) Metrics() *expvar.Map { return &l.metrics.vars }

// Key is a limit's name among the keys that hosts own.
func Key(run instance.Incarnation) string {
	return "limits/" + run.ID + "/" + strconv.FormatUint(run.Started, 10)
}

// Heard takes what a server said with the answer to a request of this host.
func (l *Limiter) Heard(run instance.Incarnation, w ratelimit.Observation, requestID string) {
	before, changed := l.hear(run, w)
	if !changed {
		return
	}
	l.logChange(run, before, w, requestID)
	l.cfg.Tell(encode(time.Now(), run, w))
}

func (l *Limiter) hear(run instance.Incarnation, w ratelimit.Observation) (before ratelimit.Observation, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.swept) >= sweepEvery {
		l.swept = now
		l.table.Expire(now.Add(-forgetAfter))
		l.issuer.Expire(now)
		l.unreadable.Forget()
	}
	return l.table.Observe(run, w)
}

// logChange writes what a server says now. from is the request whose answer said it, or a peer.
func (l *Limiter) logChange(run instance.Incarnation, before, w ratelimit.Observation, from string) {
	l.metrics.changes.Add(1)
	l.cfg.Log.Info().Str("event", "server-limit").Str("server", run.ID).Uint64("incarnation", run.Started).
		Bool("limited", w.Limited()).Float64("per_second", w.Limit).Bool("limited_before", before.Limited()).
		Float64("per_second_before", before.Limit).Str("from", from).Dur("age", time.Since(w.At)).Send()
}

// Unreadable takes that a server named a limit that is no number. What it said before holds.
func (l *Limiter) Unreadable(run instance.Incarnation, requestID string) {
	if l.unreadable.First(run) {
		l.cfg.Log.Warn().Str("event", "server-limit-unreadable").Str("server", run.ID).Uint64("incarnation", run.Started).
			Str("request", requestID).Send()
	}
}

// Sending notes that a request is sent to a server. It returns the server's limit.
func (l *Limiter) Sending(run instance.Incarnation, why ratelimit.Send) ratelimit.Observation {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.table.Observed(run)
	if w.Limited() {
		l.metrics.sends.Add(string(why), 1)
	}
	return w
}

// Limit implements ratelimit.Permits.
func (l *Limiter) Limit(run instance.Incarnation) (perSecond float64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.table.Observed(run)
	return w.Limit, w.Limited()
}

// Check implements ratelimit.Permits.
func (l *Limiter) Check(now time.Time, run instance.Incarnation) (ratelimit.State, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Check(now, run)
}

// Use implements ratelimit.Permits.
func (l *Limiter) Use(now time.Time, run instance.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Use(now, run)
}
