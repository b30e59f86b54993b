package forward

import (
	"context"
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/routes"
)

const (
	// maxWhole bounds an answer that is held until it is whole, in bytes. A longer one is
	// passed on as it comes.
	maxWhole = 1 << 20
	// shedRetry is when a caller may come back whose request a full server did not take:
	// about the time in which a batch of a busy engine ends a request.
	shedRetry = 300 * time.Millisecond
)

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// attempt sends the request to one server and relays its answer.
func (t *try) attempt(lease relay.Lease) outcome {
	choice := lease.Choice()
	t.work.Exclude = append(t.work.Exclude, choice.Instance.Incarnation())
	t.x.Attempts = append(t.x.Attempts, relay.Attempt{
		Server: choice.Instance.ID, Wait: choice.Wait, Cached: choice.Cached, Shared: choice.Shared, Home: choice.HomeWait,
		Running: choice.Running,
	})
	note := &t.x.Attempts[len(t.x.Attempts)-1]
	started := time.Now()
	// The context ends the exchange with the server: its connection is closed unless the
	// answer was read to its end.
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	var out outcome
	res, err := t.f.Client.Forward(ctx, t.outgoing(choice))
	if err != nil {
		out = t.notAnswered(err)
	} else {
		note.First = time.Since(started)
		out = t.answered(lease, res, cancel)
	}
	note.Took = time.Since(started)
	note.Outcome = "answered"
	if out.err != nil {
		note.Outcome = out.err.Error()
	}
	lease.Done(out.result)
	return out
}

// notAnswered takes an attempt without an answer.
func (t *try) notAnswered(err error) outcome {
	result := balance.Unreachable
	if e, ok := err.(*engineclient.Error); !ok || e.Ran != errkind.RanNo {
		t.sent++
		t.mayHaveRun()
		result = balance.Broken
		t.x.Input = t.x.Input || t.ctx.Err() == nil
	}
	return t.failed(result, "%v", err)
}

// failed is the outcome of an attempt that another server may make good.
func (t *try) failed(result balance.Result, format string, args ...any) outcome {
	if t.ctx.Err() != nil {
		result = balance.Abandoned // the request's own end caused it
	}
	return outcome{err: errkind.New(errkind.BackendServerFailed, format, args...).WithRan(t.ran), result: result, again: true}
}

// answered takes a server's answer. cancel gives its connection up.
func (t *try) answered(lease relay.Lease, res *http.Response, cancel context.CancelFunc) outcome {
	defer func() { _ = res.Body.Close() }() // an error means that the connection is given up
	t.sent++
	reply := t.f.Dialect.Reply(res)
	if reply.Load != nil {
		lease.Report(*reply.Load)
	}
	switch {
	case reply.OtherInstance:
		lease.Wrong()
		return t.failed(balance.Served, "another instance has the server's address")
	case reply.ID != t.x.ID:
		// A late answer to another request, or bytes that are no answer. The connection is out
		// of step: the answer that belongs here would be taken for that of the next request.
		cancel()
		t.mayHaveRun()
		t.x.Input = true
		return t.failed(balance.Broken, "the answer names request %q", reply.ID)
	case reply.NotRun:
		out := t.failed(balance.Shed, "the backend server did not take the request")
		if t.ran == errkind.RanNo {
			out.err = errkind.New(errkind.Overloaded, "the backend server did not take the request: status %d", res.StatusCode).After(shedRetry)
		}
		return out
	}
	t.mayHaveRun()
	if res.StatusCode == http.StatusSwitchingProtocols {
		return t.failed(balance.Broken, "the backend server switched protocols unasked")
	}
	if res.StatusCode < http.StatusMultipleChoices && isEventStream(res) {
		return t.relayStream(lease, res)
	}
	if t.x.Begun {
		return t.failed(balance.Broken, "status %d in place of the rest of a stream", res.StatusCode)
	}
	return t.relayWhole(lease, res)
}

// relayWhole passes on an answer that is no stream, once it is whole: the caller never
// sees half of it, and another server may be asked when it breaks off.
func (t *try) relayWhole(lease relay.Lease, res *http.Response) outcome {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxWhole+1))
	if err != nil {
		t.x.Input = t.x.Input || t.ctx.Err() == nil
		return t.failed(balance.Broken, "the answer broke off: %v", err)
	}
	lease.First()
	t.x.Input = true
	if res.StatusCode >= http.StatusInternalServerError && t.x.Route.Kind == routes.Idempotent && t.allowNext() {
		return t.failed(balance.Served, "the backend server answered %d", res.StatusCode)
	}
	t.writeHeader(res)
	if length := t.lengthOf(res, body); length != "" {
		t.w.Header().Set("Content-Length", length)
	}
	t.w.WriteHeader(res.StatusCode)
	t.x.Sent += len(body)
	_, _ = t.w.Write(body) // a caller who left is noticed by the request's context
	if len(body) <= maxWhole {
		return outcome{result: balance.Served}
	}
	if _, err := io.Copy(t.w, res.Body); err != nil {
		return outcome{err: errkind.New(errkind.BackendServerFailed, "%v", err), result: balance.Broken}
	}
	return outcome{result: balance.Served}
}

// lengthOf is the Content-Length that goes with an answer; empty: none. An answer to HEAD
// names the length of a body that it does not have.
func (t *try) lengthOf(res *http.Response, body []byte) string {
	switch {
	case t.x.Method == http.MethodHead:
		return res.Header.Get("Content-Length")
	case res.StatusCode == http.StatusNoContent || res.StatusCode == http.StatusNotModified || len(body) > maxWhole:
		return ""
	}
	return strconv.Itoa(len(body))
}

// writeHeader copies the server's headers.
func (t *try) writeHeader(res *http.Response) {
	h := t.w.Header()
	for key, values := range res.Header {
		h[key] = values
	}
	for _, field := range res.Header["Connection"] {
		for _, key := range strings.Split(field, ",") {
			h.Del(strings.TrimSpace(key))
		}
	}
	for _, key := range hopHeaders {
		h.Del(key)
	}
	h.Del("Content-Length")
	t.x.Begun, t.x.Status = true, res.StatusCode
}

func isEventStream(res *http.Response) bool {
	kind, _, err := mime.ParseMediaType(res.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}
