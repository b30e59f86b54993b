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
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/ratelimit"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/routes"
)

const (
	// maxBuffered bounds an answer that is held until it is whole, in bytes. A longer one is
	// passed on as it comes.
	maxBuffered = 1 << 20
	// shedRetryAfter is when a caller may come back whose request a full server did not take:
	// about the time in which a batch of a busy engine ends a request.
	shedRetryAfter = 300 * time.Millisecond
)

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// attempt sends the request to one server and relays its answer.
func (t *task) attempt(lease relay.Lease) outcome {
	choice := lease.Choice()
	t.work.Exclude = append(t.work.Exclude, choice.Instance.Incarnation())
	t.x.Attempts = append(t.x.Attempts, relay.Attempt{
		Server: choice.Instance.ID, Wait: choice.Wait, Cached: choice.Cached, Shared: choice.Shared, PreferredWait: choice.HomeWait,
		Running: choice.Running,
	})
	note := &t.x.Attempts[len(t.x.Attempts)-1]
	note.CooldownLeft = choice.CooldownLeft
	note.Limit = t.f.Limits.Sending(choice.Instance.Incarnation(), t.sendReason())
	started := time.Now()
	// The context ends the exchange with the server: its connection is closed unless the
	// answer was read to its end.
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	var out outcome
	outgoing := t.outgoing(choice)
	res, err := t.f.Client.Forward(ctx, outgoing)
	note.Early = outgoing.Early
	if err != nil {
		out = t.handleNoAnswer(err)
	} else {
		note.FirstByte = time.Since(started)
		out = t.handleAnswer(lease, res, started, cancel)
	}
	note.Took = time.Since(started)
	note.SetOutcome(out.cause, out.err)
	lease.Done(out.result)
	if t.x.Admission != nil && out.cause.CrashLike() {
		t.x.Admission.Broke(filter.Break{
			Run: choice.Instance.Incarnation(), Address: choice.Instance.Address, HealthPath: t.x.Service.HealthPath,
			Began: started, Others: choice.Running, RequestID: t.x.ID,
		})
	}
	return out
}

// framed tells whether an answer's end can be told from the end of its connection. Where it
// can't, the answer of a server that crashes looks whole.
func framed(res *http.Response) bool { return res.ContentLength >= 0 || len(res.TransferEncoding) > 0 }

// handleNoAnswer takes an attempt without an answer.
func (t *task) handleNoAnswer(err error) outcome {
	result := balance.Unreachable
	if e, ok := err.(*engineclient.Error); !ok || e.Ran != errkind.RanNo {
		t.markReached()
		t.markMayHaveRun()
		result = balance.Broken
		t.x.PromptConsumed = t.x.PromptConsumed || t.ctx.Err() == nil
	}
	return t.failure(result, engineclient.CauseOf(err), "%v", err)
}

// markReached notes that a server has the request.
func (t *task) markReached() {
	t.serversReached++
	if t.x.Admission != nil {
		t.x.Admission.Reached()
	}
}

// failure is the outcome of an attempt that another server may make good.
func (t *task) failure(result balance.Result, cause engineclient.Cause, format string, args ...any) outcome {
	if t.ctx.Err() != nil {
		result, cause = balance.Abandoned, engineclient.CauseLeft // the request's own end caused it
	}
	err := errkind.New(errkind.BackendServerFailed, format, args...).WithRan(t.ran)
	return outcome{err: err, cause: cause, result: result, retryable: true}
}

// servedOutcome is the outcome of an attempt whose answer is with the caller.
func servedOutcome(res *http.Response) outcome {
	whole := framed(res) && res.StatusCode < http.StatusInternalServerError
	return outcome{cause: engineclient.CauseAnswered, result: balance.Served, complete: whole}
}

// sendReason is why the request is sent to one more server.
func (t *task) sendReason() ratelimit.Send {
	switch {
	case t.x.Begun:
		return ratelimit.SendResume
	case len(t.x.Attempts) > 1:
		return ratelimit.SendRepeat
	}
	return ratelimit.SendFirst
}

// observeLimit takes what a server says of its rate limit with the answer to a request that was
// sent at a time.
func (t *task) observeLimit(run instance.Incarnation, reply relay.Reply, sent time.Time) {
	if reply.LimitUnreadable {
		t.f.Limits.Unreadable(run, t.x.ID)
		return
	}
	w := ratelimit.Observation{Limit: reply.Limit, At: time.Now()}
	if !w.Limited() {
		w.At = sent
	}
	t.f.Limits.Observe(run, w, t.x.ID)
}

// observeCooldown takes that a server wants nothing from this host for a while.
func (t *task) observeCooldown(lease relay.Lease, reply relay.Reply) {
	switch {
	case reply.CooldownUnreadable:
		lease.CooldownUnreadable(t.x.ID)
	case reply.Cooldown > 0:
		t.x.Attempts[len(t.x.Attempts)-1].Cooldown = reply.Cooldown
		lease.CoolDown(reply.Cooldown, t.x.ID)
	}
}

// handleAnswer takes a server's answer to a request that was sent at a time. cancel gives its
// connection up.
func (t *task) handleAnswer(lease relay.Lease, res *http.Response, sent time.Time, cancel context.CancelFunc) outcome {
	defer func() { _ = res.Body.Close() }() // an error means that the connection is given up
	reply := t.f.Dialect.Reply(res)
	if reply.OtherInstance {
		t.serversReached++
	} else {
		t.markReached()
	}
	if reply.Load != nil {
		lease.Report(*reply.Load)
	}
	switch {
	case reply.OtherInstance:
		lease.WrongInstance()
		return t.failure(balance.Served, engineclient.CauseOtherInstance, "another instance has the server's address")
	case reply.ID != t.x.ID:
		// A late answer to another request, or bytes that are no answer. The connection is out
		// of step: the answer that belongs here would be taken for that of the next request.
		cancel()
		t.markMayHaveRun()
		t.x.PromptConsumed = true
		return t.failure(balance.Broken, engineclient.CauseOtherRequest, "the answer names request %q", reply.ID)
	}
	t.observeLimit(lease.Choice().Instance.Incarnation(), reply, sent)
	t.observeCooldown(lease, reply)
	if reply.Leaving {
		lease.Leaving()
	}
	if reply.NotRun {
		out := t.failure(balance.Shed, engineclient.CauseShed, "the backend server did not take the request")
		if t.ran == errkind.RanNo {
			out.err = errkind.New(errkind.Overloaded, "the backend server did not take the request: status %d", res.StatusCode).After(shedRetryAfter)
		}
		return out
	}
	t.markMayHaveRun()
	if res.StatusCode == http.StatusSwitchingProtocols {
		return t.failure(balance.Broken, engineclient.CauseSwitched, "the backend server switched protocols unasked")
	}
	if res.StatusCode < http.StatusMultipleChoices && isEventStream(res) {
		return t.relayStream(lease, res)
	}
	if t.x.Begun {
		return t.failure(balance.Broken, engineclient.CauseNoStream, "status %d in place of the rest of a stream", res.StatusCode)
	}
	return t.relayBuffered(lease, res)
}

// relayBuffered passes on an answer that is no stream, once it is whole: the caller never
// sees half of it, and another server may be asked when it breaks off.
func (t *task) relayBuffered(lease relay.Lease, res *http.Response) outcome {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBuffered+1))
	if err != nil {
		t.x.PromptConsumed = t.x.PromptConsumed || t.ctx.Err() == nil
		return t.failure(balance.Broken, engineclient.CauseCutBody, "the answer broke off: %v", err)
	}
	lease.FirstByte()
	t.x.PromptConsumed = true
	if res.StatusCode >= http.StatusInternalServerError && t.x.Route.Kind == routes.Idempotent && t.takeRetryEarly() {
		return t.failure(balance.Served, engineclient.CauseFault, "the backend server answered %d", res.StatusCode)
	}
	t.writeHeader(res)
	if length := t.contentLength(res, body); length != "" {
		t.w.Header().Set("Content-Length", length)
	}
	t.w.WriteHeader(res.StatusCode)
	if !t.writeToCaller(body) || len(body) <= maxBuffered {
		return servedOutcome(res) // a caller who left is noticed by the request's context
	}
	return t.copyRest(res)
}

// copyRest passes on what follows of an answer that is too long to be held.
func (t *task) copyRest(res *http.Response) outcome {
	buf := make([]byte, copyBuffer)
	for {
		n, err := res.Body.Read(buf)
		if n > 0 && !t.writeToCaller(buf[:n]) {
			out := t.failure(balance.Abandoned, engineclient.CauseLeft, "the caller's connection is closed")
			out.retryable = false
			return out
		}
		if err == io.EOF {
			return servedOutcome(res)
		}
		if err != nil {
			out := t.failure(balance.Broken, engineclient.CauseCutStream, "the answer broke off: %v", err)
			out.retryable = false
			return out
		}
	}
}

// writeToCaller gives bytes of the answer to the caller's connection, its head before the
// first; false: the connection is closed.
func (t *task) writeToCaller(b []byte) bool {
	_, err := t.w.Write(b)
	t.x.Begun = true
	t.x.BytesSent += len(b)
	return err == nil
}

// contentLength is the Content-Length that goes with an answer; empty: none. An answer to HEAD
// names the length of a body that it does not have.
func (t *task) contentLength(res *http.Response, body []byte) string {
	switch {
	case t.x.Method == http.MethodHead:
		return res.Header.Get("Content-Length")
	case res.StatusCode == http.StatusNoContent || res.StatusCode == http.StatusNotModified || len(body) > maxBuffered:
		return ""
	}
	return strconv.Itoa(len(body))
}

// writeHeader copies the server's headers.
func (t *task) writeHeader(res *http.Response) {
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
	t.x.Status = res.StatusCode
}

func isEventStream(res *http.Response) bool {
	kind, _, err := mime.ParseMediaType(res.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}
