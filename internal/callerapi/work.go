package callerapi

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"

	"github.com/rs/zerolog/log"
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

// work runs one call through a chain and answers its refusal, if any.
func (a *API) work(w http.ResponseWriter, r *http.Request, kind filter.WorkKind, chain filter.Handler) {
	a.Requests.Add(1)
	c := &filter.Call{ID: newID(), Kind: kind, Path: r.URL.Path, Arrived: a.deps.Clock.Now()}
	w.Header().Set(filter.HeaderRequestID, c.ID)
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := otel.Tracer(tracerName).Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("request", c.ID), attribute.String("path", c.Path)))
	defer span.End()
	err := chain.ServeHTTP(w, r.WithContext(filter.WithCall(ctx, c)))
	status := c.Answer.Status
	if e := filter.Truthful(c, err); e != nil {
		a.Refused.Add(string(e.Kind), 1)
		span.SetAttributes(attribute.String("error_kind", string(e.Kind)))
		refuse(w, c, e)
		status = e.Status()
		err = e
	}
	a.finish(c, status, err)
}

// refuse answers e: by itself, or as the last event of a stream that has begun. The
// caller knows by the missing [DONE] that the stream is not whole.
func refuse(w http.ResponseWriter, c *filter.Call, e *errkind.Error) {
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

func (a *API) finish(c *filter.Call, status int, err error) {
	if a.deps.Explainer != nil {
		a.deps.Explainer.Record(c, status, err)
	}
	ev := log.Info().Str("request", c.ID).Str("account", c.AccountName).Str("team", c.TeamName).
		Uint64("revision", c.Revision).Int("status", status).Int("attempts", c.Attempts).
		Uint64("prompt_tokens", c.Usage.Prompt).Uint64("output_tokens", c.Usage.Output).
		Dur("took", a.deps.Clock.Now().Sub(c.Arrived))
	if e := errkind.From(err); e != nil {
		ev = ev.Str("error", string(e.Kind)).Str("ran", string(e.Ran()))
	}
	ev.Msg("request ended")
}

func newID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}
