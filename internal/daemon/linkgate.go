package daemon

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/linkshare"
)

// connectionGate accepts and refuses callers' connections; *httpserver.Server implements it.
type connectionGate interface {
	Pause()
	Resume() error
}

// linkGate refuses callers' connections while the link is full. One goroutine uses it.
type linkGate struct {
	link    *link
	log     zerolog.Logger
	server  connectionGate
	gate    *linkshare.Gate
	episode linkshare.Episode
	// paused is set while connections are refused, since then.
	paused bool
	since  time.Time
	// refused is how long connections were refused since the last line in the log.
	refused time.Duration
	// failing is since when connections can't be accepted again, failureLogged when the log was last told;
	// zero if they can.
	failing, failureLogged time.Time

	// stepped is when connections were last decided about, ran since when without a pause of the process.
	stepped, ran time.Time

	rates    rates
	reported time.Time
	reports  rates
}

// rates measures the bytes since a time by purpose.
type rates struct {
	at    time.Time
	bytes []linkshare.Bytes
}

// take returns the bytes by purpose since the last call, and how long that was ago.
func (r *rates) take(now time.Time, t *linkshare.Traffic) ([]linkshare.Bytes, time.Duration) {
	var bytes, since []linkshare.Bytes
	for i, p := range linkshare.Purposes() {
		b := t.Of(p)
		bytes = append(bytes, b)
		if r.bytes != nil {
			b.In, b.Out = b.In-r.bytes[i].In, b.Out-r.bytes[i].Out
		}
		since = append(since, b)
	}
	passed := now.Sub(r.at)
	r.at, r.bytes = now, bytes
	return since, passed
}

func newLinkGate(l *link, log zerolog.Logger, server connectionGate, now time.Time) *linkGate {
	return &linkGate{
		link: l, log: log, server: server, gate: linkshare.NewGate(l.rate), rates: rates{at: now}, reports: rates{at: now},
	}
}

// run decides about connections until ctx ends.
func (g *linkGate) run(ctx context.Context) {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		g.step(time.Now())
		if g.link.busy.Load() || g.paused {
			timer.Reset(busyInterval)
		} else {
			timer.Reset(idleInterval)
		}
	}
}

func (g *linkGate) step(now time.Time) {
	if now.Sub(g.stepped) > pausedAfter {
		g.ran = now
	}
	g.stepped = now
	if now.Sub(g.rates.at) >= rateInterval {
		g.measure(now)
	}
	delay := time.Duration(0)
	if g.link.busy.Load() || g.episode.IsFull() {
		delay = g.link.wait(now, g.ran) // otherwise the link is not the cause
	}
	open := g.gate.Update(now, g.link.traffic.Total().In, delay)
	g.apply(now, open)
	switch g.episode.Update(now, open) {
	case linkshare.Full:
		g.report(now, "link-full")
	case linkshare.Relieved:
		g.report(now, "link-relieved")
	case linkshare.Unchanged:
		if g.episode.IsFull() && now.Sub(g.reported) >= reportInterval {
			g.report(now, "link-load")
		}
	}
}

// measure decides whether the link is busy.
func (g *linkGate) measure(now time.Time) {
	var in, out int64
	since, passed := g.rates.take(now, &g.link.traffic)
	for _, b := range since {
		in, out = in+b.In, out+b.Out
	}
	g.link.use.Store(&linkUse{in: perSecond(in, passed), out: perSecond(out, passed)})
	g.link.busy.Store(float64(max(in, out)) > busyShare*g.link.rate*passed.Seconds())
}

// apply refuses connections or accepts them again.
func (g *linkGate) apply(now time.Time, open bool) {
	switch {
	case !open && !g.paused:
		g.server.Pause()
		g.paused, g.since = true, now
		g.link.refusing.Store(true)
	case open && g.paused:
		if err := g.server.Resume(); err != nil {
			g.notResumed(now, err) // tried again with the next step
			return
		}
		g.failing, g.failureLogged = time.Time{}, time.Time{}
		g.link.unready.Store(false)
		g.paused = false
		g.link.refusing.Store(false)
		g.refused += now.Sub(g.since)
		g.link.paused.Add(now.Sub(g.since).Seconds())
	}
}

// notResumed records that connections could not be accepted again.
func (g *linkGate) notResumed(now time.Time, err error) {
	g.link.notResumed.Add(1)
	if g.failing.IsZero() {
		g.failing = now
	}
	g.link.unready.Store(now.Sub(g.failing) >= notReadyAfter)
	if now.Sub(g.failureLogged) < reportInterval {
		return
	}
	g.failureLogged = now
	g.log.Warn().Str("event", "link-not-resumed").Dur("refused", now.Sub(g.since)).Err(err).Send()
}

// report logs the rates by purpose, in bytes a second, since the last line.
func (g *linkGate) report(now time.Time, event string) {
	since, passed := g.reports.take(now, &g.link.traffic)
	g.reported = now
	line := g.log.Info().Str("event", event).Int64("link", int64(g.link.rate))
	for i, p := range linkshare.Purposes() {
		line = line.Int64(p.String()+"_in", perSecond(since[i].In, passed)).Int64(p.String()+"_out", perSecond(since[i].Out, passed))
	}
	line.Dur("over", passed).Dur("refused", g.refused).Dur("delay", g.link.wait(now, g.ran)).Send()
	g.refused = 0
}

func perSecond(bytes int64, passed time.Duration) int64 {
	if passed <= 0 {
		return 0
	}
	return int64(float64(bytes) / passed.Seconds())
}
