// Package dispatch is the last handler of the chain: one attempt at one backend server. It sends
// the request and relays the answer. If the connection breaks or becomes silent, it reads the run
// again from where it stopped.
//
// The value of Ran in an error from this package holds for this attempt: "no" only if no byte of
// the request can have reached the server, or the server itself reported that it did not run it.
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

// Bounds of sizes and waits.
const (
	// maxKept bounds the answer kept per call for callers that ask again, in bytes.
	maxKept       = 256 << 10
	cancelTimeout = 2 * time.Second
	// cancelUsageWait is how long an answer waits for the engine to report the usage of a canceled
	// run.
	cancelUsageWait     = 5 * time.Millisecond
	callerGoneUsageWait = time.Second
)

// Filter is the last Handler of the chain.
type Filter struct {
	Client  *engineclient.Client
	Silence Silence
	Clock   filter.Clock

	background sync.WaitGroup
}

// Wait returns once the work that continues after answers has ended: cancel orders and the reading
// of remaining response bodies.
func (f *Filter) Wait() { f.background.Wait() }

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

// target returns the server and the engine request ID of the attempt.
func target(c *filter.Call) (server, id string) {
	if c.Resume != nil {
		return c.Resume.Server, c.Resume.EngineRequestID
	}
	return c.Lease.Address(), route.EngineRequestID(c)
}

// runContext returns a context that ends at the deadline, and when the caller leaves. A call that
// must not be repeated continues without its caller: if it were cut short, its outcome would stay
// unknown, while its answer, if finished, is kept for the caller that asks again.
func runContext(ctx context.Context, c *filter.Call) (context.Context, context.CancelFunc) {
	if c.Idempotent {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(context.WithoutCancel(ctx), c.Deadline)
}

// request returns the request to send to the server.
func (f *Filter) request(c *filter.Call, server, id string) engineclient.Request {
	path := c.Path
	if c.Query != "" {
		path += "?" + c.Query
	}
	return engineclient.Request{
		Address: server, Method: c.Method, Path: path, ContentType: c.ContentType, Body: c.Body,
		EngineRequestID: id, Remaining: c.Deadline.Sub(f.Clock.Now()), Fresh: !c.Idempotent,
		Leaving: c.Lease != nil && c.Lease.Server().GetLeaving(),
	}
}

// appendAnswer appends b to the answer that is kept for callers that ask again.
func appendAnswer(a *filter.Answer, b []byte) {
	if a.Truncated {
		return
	}
	if len(a.Body)+len(b) > maxKept {
		a.Truncated, a.Body = true, nil
		return
	}
	a.Body = append(a.Body, b...)
}

// cancelRun orders the engine to stop a run and waits up to wait for the usage it reports. The
// order itself continues in the background.
func (f *Filter) cancelRun(server, id string, wait time.Duration) *engineclient.Usage {
	answer := make(chan *engineclient.Usage, 1)
	f.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		usage, _ := f.Client.Cancel(ctx, server, id) // on an error the engine stops at the run's deadline anyway
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

// attemptFailed returns the refusal for an attempt that may be repeated at another server.
func attemptFailed(ran errkind.Ran, server, message string) *errkind.Error {
	return errkind.New(errkind.BackendServerFailed, "backend server %s: %s", server, message).WithRan(ran)
}
