package forward

import (
	"io"
	"mime"
	"net/http"
	"strconv"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/routes"
	"github.com/bluebellsail/bluebellsail/internal/sse"
)

const (
	// maxWhole bounds an answer that is held until it is whole, in bytes. A longer one is
	// passed on as it comes.
	maxWhole = 1 << 20
	// copyBuffer is how much of a stream is read at a time, in bytes.
	copyBuffer = 8 << 10
)

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// deliver passes a server's answer on.
func (t *try) deliver(lease relay.Lease, res *http.Response) (result balance.Result, err error, again bool) {
	if res.StatusCode < http.StatusMultipleChoices && isEventStream(res) {
		return t.deliverStream(lease, res)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxWhole+1))
	if err != nil {
		// Nothing has been passed on: the caller never sees half an answer.
		t.x.Input = t.x.Input || t.ctx.Err() == nil
		return t.unlessOver(balance.Broken),
			errkind.New(errkind.BackendServerFailed, "the answer broke off: %v", err).WithRan(t.ran), true
	}
	lease.First()
	t.x.Input = true
	if res.StatusCode >= http.StatusInternalServerError && t.x.Route.Kind == routes.Idempotent && t.allowNext() {
		return balance.Served, errkind.New(errkind.BackendServerFailed, "the backend server answered %d", res.StatusCode), true
	}
	t.writeHeader(res)
	if len(body) <= maxWhole {
		t.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	t.w.WriteHeader(res.StatusCode)
	_, _ = t.w.Write(body) // a caller who left is noticed by the request's context
	if len(body) <= maxWhole {
		return balance.Served, nil, false
	}
	if _, err := io.Copy(t.w, res.Body); err != nil {
		return t.broken(err)
	}
	return balance.Served, nil, false
}

// deliverStream passes a stream of events on as it comes.
func (t *try) deliverStream(lease relay.Lease, res *http.Response) (result balance.Result, err error, again bool) {
	t.writeHeader(res)
	t.w.WriteHeader(res.StatusCode)
	flush(t.w)
	var events sse.Counter
	buf := make([]byte, copyBuffer)
	for {
		n, readErr := res.Body.Read(buf)
		if n > 0 {
			lease.First()
			t.x.Input = true
			events.Write(buf[:n])
			t.x.Output = uint64(events.Events()) * t.tokensPerEvent()
			_, _ = t.w.Write(buf[:n])
			flush(t.w)
		}
		switch {
		case readErr == io.EOF:
			return balance.Served, nil, false
		case readErr != nil:
			return t.broken(readErr)
		case t.ctx.Err() != nil:
			return t.broken(t.ctx.Err())
		}
	}
}

// broken ends an answer of which the caller has a part: only a connection without its
// proper end tells it so.
func (t *try) broken(cause error) (balance.Result, error, bool) {
	t.f.Abort(t.w)
	err := errkind.New(errkind.BackendServerFailed, "the stream broke off: %v", cause).WithRan(errkind.RanYes)
	return t.unlessOver(balance.Broken), err, false
}

func (t *try) tokensPerEvent() uint64 {
	if t.x.Service.Engine == nil {
		return 0
	}
	return max(t.x.Service.Engine.TokensPerEvent, 1)
}

// writeHeader copies the server's headers.
func (t *try) writeHeader(res *http.Response) {
	h := t.w.Header()
	for key, values := range res.Header {
		h[key] = values
	}
	for _, key := range hopHeaders {
		h.Del(key)
	}
	h.Del("Content-Length")
	t.x.Begun, t.x.Status = true, res.StatusCode
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

func isEventStream(res *http.Response) bool {
	kind, _, err := mime.ParseMediaType(res.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}
