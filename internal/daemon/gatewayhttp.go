package daemon

import (
	"context"
	"expvar"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter/callergone"
	"github.com/bluebellsail/bluebellsail/internal/httpserver"
	"github.com/bluebellsail/bluebellsail/internal/procconfig"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/relay/budget"
	"github.com/bluebellsail/bluebellsail/internal/relay/deadline"
	"github.com/bluebellsail/bluebellsail/internal/relay/enginepriority"
	"github.com/bluebellsail/bluebellsail/internal/relay/forward"
	"github.com/bluebellsail/bluebellsail/internal/relay/identify"
	"github.com/bluebellsail/bluebellsail/internal/relay/leaving"
	"github.com/bluebellsail/bluebellsail/internal/relay/match"
	"github.com/bluebellsail/bluebellsail/internal/relay/quarantine"
	"github.com/bluebellsail/bluebellsail/internal/relay/resume"
)

// maxHeaderBytes is the largest header size that a routing table may allow.
const maxHeaderBytes = 1 << 20

// bodiesDivisor bounds the buffered request bodies: the memory limit divided by bodiesDivisor.
// A body of megabytes takes up to four times its size until it has reached the backend server:
// the received pieces, the joined body, the request made of it, and garbage of these that is
// not collected yet. So bodies use up to half of the limit; the other half is for everything
// else. With 40 callers that sent 4 MB each at once, a process with a limit of 134 MB reached
// 141 to 175 MB without the bound, and 83 to 98 MB with it.
const bodiesDivisor = 8

// maxBodiesBytes returns the bound on the bytes of requests that are buffered at once; 0 means
// unbounded. It always allows one request of the largest size.
func maxBodiesBytes(l procconfig.Limits) int64 {
	if l.MemoryMB == 0 {
		return 0
	}
	return max(l.MemoryBytes()/bodiesDivisor, l.MaxBodyBytes+maxHeaderBytes)
}

// serve opens the listeners that the settings configure.
func (g *gateway) serve() error {
	r := g.d.cfg.Routed
	if r.Requests != "" {
		handler := relay.NewHandler(g.protocol, g,
			&callergone.Filter{ID: requestID}, &match.Filter{Tables: g.routes}, &identify.Filter{Tables: g.routes}, &g.usage, &deadline.Filter{Delay: &g.d.linkDelay}, &leaving.Filter{ServesUntil: g.servesUntil},
			&resume.Filter{Origins: g.origins, Versions: g.versions}, &quarantine.Filter{Quarantine: g.suspects},
			g.d.link.filter(g.d.cfg.Limits.LinkMbps), &budget.Filter{Budgets: g.budgets},
			&forward.Filter{
				Dialect: g.protocol, Client: g.client, Accepts: g.client.Accepts, ObservePlain: g.d.observeRoundTrip, Balancer: g.assigner, Retries: g.balancer, Limits: g.limits, Origins: g.origins, Versions: g.versions, Abort: httpserver.Abort,
				Queue: g.overload().Waits(), EnginePriority: enginePriority(r.Overload),
				Pacer: g.slow,
			})
		g.requests = httpserver.New(httpserver.Config{
			Hold: g.slow.Connection,
			Name: "requests", Address: r.Requests, Handler: handler, Limits: g.callerLimits,
			MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: g.d.cfg.Limits.MaxBodyBytes, Streams: g.d.cfg.Limits.Streams,
			RequestsPerConnection: max(r.RequestsPerConnection, 0), MaxBodiesBytes: maxBodiesBytes(g.d.cfg.Limits),
			CountBytes: g.d.link.callers(), Pausable: g.d.link != nil,
		})
		if err := g.requests.Start(); err != nil {
			return errors.Wrap(err, "callers' address")
		}
		if g.d.link != nil {
			g.d.link.vars.Set("connections_opened", expvar.Func(func() any { return g.requests.Opened() }))
			g.d.tasks.run("link", newLinkGate(g.d.link, g.d.tel.Log, g.requests, time.Now()).run)
		}
		g.d.countConnections("requests", g.requests)
	}
	for _, l := range []struct {
		name, address string
		handler       func() http.Handler
	}{
		{"readiness", r.Readiness, func() http.Handler { return g.protocol.Readiness(g.ready) }},
		{"registry", r.Registry, func() http.Handler { return g.protocol.Registry(g, g, g) }},
		{"directory", r.Directory, func() http.Handler { return g.protocol.Directory(g) }},
	} {
		if l.address == "" {
			continue
		}
		s := g.server(l.name, l.address, l.handler())
		if err := s.Start(); err != nil {
			return errors.Wrap(err, l.name)
		}
		g.d.countConnections(l.name, s)
		g.others = append(g.others, s)
	}
	if r.Metrics == "" {
		return nil
	}
	s, err := serveMetrics(r.Metrics)
	if err != nil {
		return errors.Wrap(err, "metrics")
	}
	g.others = append(g.others, s)
	return nil
}

// enginePriority returns the decision at which priority requests are sent to engines; nil if none is sent.
func enginePriority(o procconfig.Overload) func(*relay.Exchange, time.Time) int {
	if !o.EnginePriority {
		return nil
	}
	return enginepriority.ForExchange
}

// requestID returns the id under which Finished logs the request.
func requestID(ctx context.Context) string { return relay.ExchangeFrom(ctx).ID }

func (g *gateway) server(name, address string, h http.Handler) *httpserver.Server {
	limits := g.d.cfg.Limits
	return httpserver.New(httpserver.Config{
		Name: name, Address: address, Handler: h, MaxBodyBytes: limits.MaxBodyBytes, Streams: limits.Streams,
	})
}

// callerLimits returns the limits of the current routing table; without a table, the
// server's defaults.
func (g *gateway) callerLimits() httpserver.Limits {
	x, err := g.routes.Current()
	if err != nil {
		return httpserver.Limits{}
	}
	l := x.Table().Limits
	return httpserver.Limits{
		HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeaderTimeout: l.HeaderTimeout.Std(), IdleTimeout: l.IdleTimeout.Std(),
	}
}

// loggedLinkDelay is the delay above which a request's line in the log tells it.
const loggedLinkDelay = 20 * time.Millisecond

// Finished implements relay.Observer. It logs one line per request.
func (g *gateway) Finished(x *relay.Exchange, err error) {
	g.metrics.finished(x, err)
	g.usage.Finished(time.Now(), x, err)
	g.traffic.add(time.Now(), len(x.Body)+x.BytesSent)
	event := g.d.tel.Log.Info().Str("event", "request").Str("request", x.ID).Int("status", x.Status).
		Str("ending", string(x.Ending)).Int("sent", x.BytesSent).Dur("took", time.Since(x.Arrived)).Str("account", x.AccountName())
	if x.Table != nil {
		event = event.Uint64("revision", x.Table.Revision())
	}
	if x.Route != nil {
		event = event.Str("route", x.Route.Name).Time("deadline", x.Deadline)
	}
	if x.LinkDelay > loggedLinkDelay {
		event = event.Dur("link_delay", x.LinkDelay)
	}
	if !x.Deadline.IsZero() {
		event = event.Stringer("fingerprint", x.QuarantineID.Fingerprint)
	}
	if x.Admission != nil && x.Admission.Status().Crashes > 0 {
		st := x.Admission.Status()
		event = event.Str("level", string(st.Level)).Int("crashes", st.Crashes).Int("trials", st.Trials).
			Str("crash_reporter", st.Reporter).Dur("last_crash_ago", st.LastCrash)
	}
	if x.PromptTokens > 0 {
		event = event.Uint64("reserved", x.Reserved).Str("tokens_of", x.Holder).Uint64("prompt", x.PromptTokens).Uint64("output", x.OutputTokens)
	}
	if g.d.cfg.Routed.Overload.EngineMemory && x.HintIgnored() {
		event = event.Uint64("hint_ignored", x.OutputHint)
	}
	if shared := balance.SharedParts(x.Prompt); len(shared) > 0 {
		event = event.Str("parts", partIDs(shared))
	}
	if x.ResumeAfter != "" {
		event = event.Str("resumes", x.Resumes).Str("resume_after", x.ResumeAfter)
		if x.Origin != nil {
			event = event.Str("origin", x.Origin.Service+"/"+x.Origin.Version).Str("origin_from", x.OriginFrom)
		}
	}
	for _, a := range x.Attempts {
		event = event.Str("server", a.Server).Str("version", a.Version).Dur("predicted", a.Wait).Uint64("cached", a.Cached).
			Uint64("shared", a.Shared).Dur("home_wait", a.PreferredWait).Int("running", a.Running).
			Dur("first", a.FirstByte).Dur("ran", a.Took).Str("outcome", string(a.Cause))
		if a.MemoryPermille > 0 {
			event = event.Uint32("memory_permille", a.MemoryPermille)
		}
		if a.Priority >= 0 {
			event = event.Int("engine_priority", a.Priority)
		}
		if a.Limit.Limited() {
			event = event.Float64("limit", a.Limit.Limit)
		}
		if a.CooldownLeft > 0 {
			event = event.Dur("cooldown_left", a.CooldownLeft)
		}
		if a.Cooldown > 0 {
			event = event.Dur("cooldown", a.Cooldown)
		}
		if a.Owner != "" {
			event = event.Str("owner", a.Owner)
		}
		if a.Waited > 0 {
			event = event.Dur("waited", a.Waited).Int("ahead", a.Ahead)
		}
		if a.Early {
			event = event.Bool("early", true)
		}
		if a.Via != "" {
			event = event.Str("via", a.Via)
		}
		if a.Events > 0 {
			event = event.Int("events", a.Events)
		}
		if a.Framing == relay.Unframed {
			event = event.Str("framing", string(a.Framing))
		}
		if a.Detail != "" {
			event = event.Str("detail", a.Detail)
		}
	}
	if x.RefusedAfter > 0 {
		event = event.Dur("refused_after", x.RefusedAfter)
	}
	if e := errkind.From(err); e != nil {
		event = event.Str("kind", string(e.Kind)).Str("did_run", string(e.Ran())).Str("error", e.Message)
		if age, ok := g.routes.Confirmation(); ok {
			event = event.Dur("table_confirmed_ago", age)
		}
	}
	event.Send()
}

// maxLoggedParts bounds the parts of a prompt in a request's line.
const maxLoggedParts = 8

// partIDs returns the IDs of the first maxLoggedParts parts, as callers send them.
func partIDs(parts []balance.Part) string {
	var ids []string
	for _, p := range parts[:min(len(parts), maxLoggedParts)] {
		ids = append(ids, strconv.FormatUint(p.ID, 16))
	}
	return strings.Join(ids, ",")
}

// close stops the servers that serve started.
func (g *gateway) close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, s := range g.others {
		_ = s.Drain(ctx) // not waited for, since callers of these can use another host
	}
	if g.requests != nil {
		_ = g.requests.Drain(ctx)
	}
}
