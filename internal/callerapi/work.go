package callerapi

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/httpserver"
)

const (
	tracerName = "github.com/bluebellsail/bluebellsail/internal/callerapi"
	idBytes    = 16
)

// serveWork runs one call through a chain and answers with its refusal, if any.
func (a *API) serveWork(w http.ResponseWriter, r *http.Request, kind filter.WorkKind, chain filter.Handler) {
	c := &filter.Call{ID: newID(), Kind: kind, Path: r.URL.Path, Arrived: a.deps.Clock.Now()}
	w.Header().Set(filter.HeaderRequestID, c.ID)
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := otel.Tracer(tracerName).Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("request", c.ID), attribute.String("path", c.Path)))
	defer span.End()
	err := chain.ServeHTTP(w, r.WithContext(filter.WithCall(ctx, c)))
	status := c.Answer.Status
	if e := filter.CorrectRan(c, err); e != nil {
		span.SetAttributes(attribute.String("error_kind", string(e.Kind)))
		writeRefusal(w, c, e)
		status = e.Status()
		err = e
	}
	if a.deps.Explainer != nil {
		a.deps.Explainer.Record(c, status, err)
	}
}

// writeRefusal sends e as the answer, or as the last event of a stream that has begun. The
// missing [DONE] shows the caller that the stream is incomplete.
func writeRefusal(w http.ResponseWriter, c *filter.Call, e *errkind.Error) {
	if !c.Answer.Begun {
		httpserver.WriteError(w, c.ID, e)
		return
	}
	_, _ = w.Write([]byte("event: error\ndata: "))
	_, _ = w.Write(httpserver.ErrorBody(c.ID, e))
	_, _ = w.Write([]byte("\n\n"))
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

func newID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}
