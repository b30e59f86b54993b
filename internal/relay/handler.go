package relay

import (
	"io"
	"net/http"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
)

// Handler serves routed requests through a chain of filters.
type Handler struct {
	dialect  Dialect
	chain    filter.Handler
	observer Observer
}

// NewHandler makes a handler. The last of filters has to answer the request.
func NewHandler(d Dialect, o Observer, filters ...filter.Filter) *Handler {
	end := filter.HandlerFunc(func(http.ResponseWriter, *http.Request) error {
		return errkind.New(errkind.Internal, "no filter of the chain answered the request")
	})
	return &Handler{dialect: d, chain: filter.Chain(end, filters...), observer: o}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w = writerFor(w, r.Method)
	x := &Exchange{Arrived: time.Now(), Request: &Request{}}
	err := h.serve(w, r, x)
	if err != nil && !x.Begun {
		e := errkind.From(err)
		x.Status = e.Status()
		h.dialect.Refuse(w, x, e)
	}
	x.Ending = ending(x, err)
	h.observer.Finished(x, err)
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, x *Exchange) error {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return errkind.New(errkind.BadRequest, "the body could not be read: %v", err)
	}
	request, err := h.dialect.Decode(r, body)
	if err != nil {
		return err
	}
	x.Request = request
	return h.chain.ServeHTTP(w, r.WithContext(WithExchange(r.Context(), x)))
}

func ending(x *Exchange, err error) Ending {
	switch {
	case err == nil:
		return EndAnswered
	case !x.Begun:
		return EndRefused
	case errkind.Is(err, errkind.CallerGone):
		return EndAbandoned
	}
	return EndBrokenOff
}
