// Package dispatch is the end of the chain: one attempt at one backend server. It
// sends the request, relays the answer and deals with connections that break or go
// silent by reading the run again from where it stopped.
//
// What an error from here says of the run is true for this attempt: "no" only if no
// byte of the request can have reached the server or the server itself said so.
package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/filter/route"
)

const tracerName = "github.com/bluebellsail/bluebellsail/internal/filter/dispatch"

// Bounds of what is kept and waited for.
const (
	// maxKept bounds the answer kept per call for callers that ask again, in bytes.
	maxKept       = 256 << 10
	cancelTimeout = 2 * time.Second
	// cancelWait is how long an answer waits for the engine's word on what a
	// cancelled run used.
	cancelWait = 5 * time.Millisecond
	goneWait   = time.Second
)

// Filter is the last Handler of the chain.
type Filter struct {
	Client  *engineclient.Client
	Silence Silence
	Clock   filter.Clock

	behind sync.WaitGroup
}

// Wait returns once what goes on behind answers has ended: orders to cancel, and ends
// of bodies.
func (f *Filter) Wait() { f.behind.Wait() }

// ServeHTTP implements filter.Handler.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request) error {
	c := filter.CallFrom(r.Context())
	server, id := target(c)
	ctx, cancel := runContext(r.Context(), c)
	defer cancel()
	ctx, span := otel.Tracer(tracerName).Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("server", server), attribute.String("engine_request", id), attribute.Int("attempt", c.Attempts)))
	defer span.End()
	var err error
	if c.Kind == filter.WorkService {
		err = f.service(ctx, w, c, server, id)
	} else {
		err = f.model(ctx, w, c, server, id)
	}
	if err != nil {
		span.RecordError(err)
	}
	return err
}

// target is the server and the run that the attempt is about.
func target(c *filter.Call) (server, id string) {
	if c.Resume != nil {
		return c.Resume.Server, c.Resume.EngineRequestID
	}
	return c.Lease.Address(), route.EngineRequestID(c)
}

// runContext ends at the deadline, and when the caller goes. A call that must not be
// repeated goes on without its caller: cut short, its outcome would be unknown for
// good, while its answer is kept for the caller that asks again.
func runContext(ctx context.Context, c *filter.Call) (context.Context, context.CancelFunc) {
	if c.Idempotent {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(context.WithoutCancel(ctx), c.Deadline)
}

// request is what goes to the server.
func (f *Filter) request(c *filter.Call, server, id string) engineclient.Request {
	path := c.Path
	if c.Query != "" {
		path += "?" + c.Query
	}
	return engineclient.Request{
		Address: server, Method: c.Method, Path: path, ContentType: c.ContentType, Body: c.Body,
		EngineRequestID: id, Remaining: c.Deadline.Sub(f.Clock.Now()), Fresh: !c.Idempotent,
	}
}

// keep appends to the answer that is kept for callers that ask again.
func keep(a *filter.Answer, b []byte) {
	if a.Truncated {
		return
	}
	if len(a.Body)+len(b) > maxKept {
		a.Truncated, a.Body = true, nil
		return
	}
	a.Body = append(a.Body, b...)
}

// cancelRun orders the engine to stop a run and waits a little for what it used. The
// order itself goes on after that.
func (f *Filter) cancelRun(server, id string, wait time.Duration) *engineclient.Usage {
	answer := make(chan *engineclient.Usage, 1)
	f.behind.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		usage, _ := f.Client.Cancel(ctx, server, id) // the engine also stops at the run's own deadline
		answer <- usage
	})
	if wait <= 0 {
		return nil
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case usage := <-answer:
		return usage
	case <-t.C:
		return nil
	}
}

// failed is the refusal for an attempt that may be made elsewhere.
func failed(ran errkind.Ran, server, message string) *errkind.Error {
	return errkind.New(errkind.BackendServerFailed, "backend server %s: %s", server, message).WithRan(ran)
}
