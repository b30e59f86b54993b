package forward

import (
	"context"
	"io"
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
	// maxBuffered bounds an answer that is buffered until it is complete, in bytes. A longer one is
	// passed on as it arrives.
	maxBuffered = 1 << 20
	// shedRetryAfter is when a caller may retry a request that a full server did not take: about
	// the time in which one request of a busy engine's batch finishes.
	shedRetryAfter = 300 * time.Millisecond
)

// hopHeaders are the headers that apply to a single connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// attempt sends the request to one server and relays its answer. release gives back the room of the request's body; nil: none was taken.
func (t *task) attempt(lease relay.Lease, release func()) outcome {
	choice := lease.Choice()
	t.work.Exclude = append(t.work.Exclude, choice.Instance.Incarnation())
	t.x.Attempts = append(t.x.Attempts, relay.Attempt{
		Server: choice.Instance.ID, Version: choice.Instance.Version, Wait: choice.Wait, Cached: choice.Cached, Shared: choice.Shared, PreferredWait: choice.PreferredWait,
		Running: choice.Running, MemoryPermille: choice.MemoryPermille,
	})
	note := &t.x.Attempts[len(t.x.Attempts)-1]
	note.CooldownLeft = choice.CooldownLeft
	note.Waited, note.Ahead, note.Owner = choice.Waited, choice.Ahead, choice.Owner
	note.Limit = t.f.Limits.RecordSend(choice.Instance.Incarnation(), t.sendReason())
	t.firstEventAt, t.proved, t.unread = time.Time{}, false, 0
	started := time.Now()
	t.sendRetry()
	// Canceling the context ends the exchange with the server: its connection is closed unless the
	// answer was read completely.
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	var out outcome
	outgoing := t.outgoing(choice)
	outgoing.Sent = release
	outgoing.MayReuse = t.mayReuse
	res, err := t.f.Client.Forward(ctx, outgoing)
	note.Early, note.Via = outgoing.Early, outgoing.Via
	if err != nil {
		out = t.handleNoAnswer(err)
	} else {
		note.FirstByte, note.Framing = time.Since(started), relay.FramingOf(res)
		out = t.handleAnswer(lease, received{Response: res, server: choice.Instance.Address, opened: outgoing.Opened, reused: outgoing.Reused}, started, cancel)
	}
	note.Took = time.Since(started)
	note.SetOutcome(out.cause, out.err)
	if t.x.ResumeAfter == "" { // else the answer is only the rest of a longer one
		lease.Output(t.x.OutputTokens)
	}
	lease.Done(out.result)
	if t.x.Admission != nil && out.cause.CrashLike() {
		t.x.Admission.ConnectionLost(filter.ConnectionLoss{
			Incarnation: choice.Instance.Incarnation(), Address: choice.Instance.Address, HealthPath: t.x.Service.HealthPath,
			Started: started, OtherRequests: choice.Running, Software: t.software(lease), Output: note.Events > 0,
			RequestID: t.x.ID, MemoryFull: lease.MemoryFull,
		})
	}
	return out
}

// handleNoAnswer returns the outcome of an attempt that received no answer.
func (t *task) handleNoAnswer(err error) outcome {
	result := balance.Unreachable
	if e, ok := err.(*engineclient.Error); !ok || e.Ran != errkind.RanNo {
		t.markReached()
		t.markMayHaveRun()
		result = balance.Broken
		t.x.PromptConsumed = t.x.PromptConsumed || t.ctx.Err() == nil
	}
	cause := engineclient.CauseOf(err)
	if cause == engineclient.CausePeerLost {
		result = balance.Abandoned
	}
	return t.failure(result, cause, "%v", err)
}

// truncated returns the outcome of an attempt whose answer ended with err before it was complete.
func (t *task) truncated(cause engineclient.Cause, what string, err error) outcome {
	if engineclient.PeerLost(err) {
		return t.failure(balance.Abandoned, engineclient.CausePeerLost, "the %s was truncated: %v", what, err)
	}
	if t.unread >= unreadTimeout {
		return t.failure(balance.Abandoned, engineclient.CauseUnread, "the %s was truncated after %v in which it was not read: %v", what, t.unread, err)
	}
	return t.failure(balance.Broken, engineclient.TruncationCause(err, cause), "the %s was truncated: %v", what, err)
}

// markReached records that a server has received the request.
func (t *task) markReached() {
	t.serversReached++
	if t.x.Admission != nil {
		t.x.Admission.ServerReached()
	}
}

// failure returns the outcome of a failed attempt that may be retried at another server.
func (t *task) failure(result balance.Result, cause engineclient.Cause, format string, args ...any) outcome {
	if t.ctx.Err() != nil {
		result, cause = balance.Abandoned, engineclient.CauseRequestEnded // caused by the end of the request's own context
	}
	err := errkind.New(errkind.BackendServerFailed, format, args...).WithRan(t.ran)
	return outcome{err: err, cause: cause, result: result, retryable: true}
}

// servedOutcome returns the outcome of an attempt whose answer was sent to the caller.
func servedOutcome(res *http.Response) outcome {
	whole := relay.FramingOf(res) != relay.Unframed && res.StatusCode < http.StatusInternalServerError
	return outcome{cause: engineclient.CauseAnswered, result: balance.Served, complete: whole}
}

// sendReason returns why the request is sent to a server: first attempt, repeat, or resumed stream.
func (t *task) sendReason() ratelimit.Send {
	switch {
	case t.x.Begun:
		return ratelimit.SendResume
	case len(t.x.Attempts) > 1:
		return ratelimit.SendRepeat
	}
	return ratelimit.SendFirst
}

// observeLimit records the rate limit that a server advertises, or no longer advertises, in its
// answer to a request that was sent at the given time.
func (t *task) observeLimit(inc instance.Incarnation, reply relay.Reply, sent time.Time) {
	if reply.LimitUnreadable {
		t.f.Limits.RecordUnreadable(inc, t.x.ID)
		return
	}
	obs := ratelimit.Observation{Limit: reply.Limit, At: time.Now()}
	if !obs.Limited() {
		obs.At = sent
	}
	t.f.Limits.Observe(inc, obs, t.x.ID)
}

// observeBrittle records how many rejections in a second the server tolerates, or that it no longer
// advertises a number, as observeLimit does.
func (t *task) observeBrittle(inc instance.Incarnation, reply relay.Reply, sent time.Time) {
	obs := ratelimit.Observation{Limit: reply.Brittle, At: time.Now()}
	if reply.BrittleUnreadable {
		t.f.Limits.RecordBrittleUnreadable(inc, t.x.ID)
		obs.Limit = ratelimit.None
	}
	if !obs.Limited() {
		obs.At = sent
	}
	t.f.Limits.ObserveBrittle(inc, obs, t.x.ID)
}

// observeCooldown records the cooldown that a server asks for in its answer.
func (t *task) observeCooldown(lease relay.Lease, reply relay.Reply) {
	switch {
	case reply.CooldownUnreadable:
		lease.CooldownUnreadable(t.x.ID)
	case reply.Cooldown > 0:
		t.x.Attempts[len(t.x.Attempts)-1].Cooldown = reply.Cooldown
		lease.CoolDown(reply.Cooldown, t.x.ID)
	}
}

// handleAnswer processes a server's answer to a request that was sent at the given time. cancel
// closes the connection.
func (t *task) handleAnswer(lease relay.Lease, res received, sent time.Time, cancel context.CancelFunc) outcome {
	defer func() { _ = res.Body.Close() }() // on an error the connection is dropped
	reply := t.f.Dialect.Reply(res.Response)
	if !t.isAnswered(reply, res.reused) {
		return t.otherAnswer(res, reply, cancel)
	}
	if t.x.Service.Engine == nil && t.f.ObservePlain != nil {
		t.f.ObservePlain(t.x.Attempts[len(t.x.Attempts)-1].FirstByte)
	}
	if reply.Load != nil {
		load := *reply.Load
		load.Failed = !reply.NotRun && res.StatusCode >= http.StatusInternalServerError
		lease.Report(load)
	}
	if reply.OtherInstance {
		t.serversReached++
		lease.WrongInstance()
		return t.failure(balance.Served, engineclient.CauseOtherInstance, "the server's address now belongs to another instance")
	}
	t.markReached()
	t.observeLimit(lease.Choice().Instance.Incarnation(), reply, sent)
	t.observeBrittle(lease.Choice().Instance.Incarnation(), reply, sent)
	t.observeCooldown(lease, reply)
	if reply.Leaving {
		lease.Leaving()
	}
	if reply.NotRun {
		out := t.failure(balance.Shed, engineclient.CauseShed, "the backend server rejected the request without running it")
		out.result = balance.Shed // also if the caller has left
		if t.ran == errkind.RanNo {
			out.err = errkind.New(errkind.Overloaded, "the backend server rejected the request without running it: status %d", res.StatusCode).After(shedRetryAfter)
		}
		return out
	}
	t.markMayHaveRun()
	res.leaving = reply.Leaving
	if res.StatusCode == http.StatusSwitchingProtocols {
		return t.failure(balance.Broken, engineclient.CauseSwitchedProtocols, "the backend server switched protocols without a request to do so")
	}
	if res.StatusCode < http.StatusMultipleChoices && isEventStream(res.Response) {
		return t.relayStream(lease, res)
	}
	if t.x.Begun {
		return t.failure(balance.Broken, engineclient.CauseNoStream, "the backend server answered %d instead of resuming the stream", res.StatusCode)
	}
	return t.relayBuffered(lease, res)
}

// isAnswered reports whether an answer belongs to this request, by the request's ID. An instance at the address that is not the
// one addressed may not know the protocol, and answer without an ID: that is the answer to this request if it is the first one
// on its connection.
func (t *task) isAnswered(reply relay.Reply, reused bool) bool {
	return reply.ID == t.x.ID || reply.ID == "" && reply.OtherInstance && !reused
}

// mayReuse reports whether a connection may be used again after an answer. After one to another request it is out of step: the
// answer to this request would be taken for the answer to the next one. After one of another instance the request may be sent to
// the same address again, to the instance that is there now, and its ID would not tell a late copy of the answer from that
// instance's.
func (t *task) mayReuse(res *http.Response, reused bool) bool {
	reply := t.f.Dialect.Reply(res)
	return t.isAnswered(reply, reused) && !reply.OtherInstance
}

// otherAnswer returns the outcome of an attempt that received a late answer to another request, or no answer at all. Nothing that
// it says applies to the request or to its server.
func (t *task) otherAnswer(res received, reply relay.Reply, cancel context.CancelFunc) outcome {
	cancel()
	t.markReached()
	t.markMayHaveRun()
	t.x.PromptConsumed = true
	return t.failure(balance.Broken, engineclient.CauseOtherRequest, "the answer, with status %d, is for request %q", res.StatusCode, reply.ID)
}

// relayBuffered passes on an answer that is not a stream once it is complete: the caller never
// receives half of it, and another server may be asked if it is truncated.
func (t *task) relayBuffered(lease relay.Lease, res received) outcome {
	body, whole, release, err := t.readAhead(res)
	defer release()
	if err == nil && whole {
		err = t.bodyError(res, body)
	}
	if err != nil {
		t.x.PromptConsumed = t.x.PromptConsumed || t.ctx.Err() == nil
		return t.truncated(engineclient.CauseBodyTruncated, "answer", err)
	}
	lease.FirstByte()
	t.x.PromptConsumed = true
	if res.StatusCode >= http.StatusInternalServerError && t.x.Route.Kind == routes.Idempotent && t.takeRetryEarly() {
		return t.failure(balance.Served, engineclient.CauseServerFault, "the backend server answered %d", res.StatusCode)
	}
	t.writeHeader(res.Response)
	if length := t.contentLength(res.Response, body, whole); length != "" {
		t.w.Header().Set("Content-Length", length)
	}
	t.w.WriteHeader(res.StatusCode)
	switch written := t.writeToCaller(body); {
	case t.cut:
		return t.cutOutcome()
	case !written || whole:
		return servedOutcome(res.Response) // the request's context detects that the caller left
	}
	return t.copyRest(res)
}

// copyRest passes on the rest of an answer that is too long to be buffered.
func (t *task) copyRest(res received) outcome {
	buf := make([]byte, copyBuffer)
	for {
		n, err := res.Body.Read(buf)
		if n > 0 && !t.writeToCaller(buf[:n]) {
			if t.cut {
				return t.cutOutcome()
			}
			out := t.failure(balance.Abandoned, engineclient.CauseRequestEnded, "the caller's connection is closed")
			out.retryable = false
			return out
		}
		if err == io.EOF && t.serverEndedWith(res) {
			err = errServerEnded
		}
		if err == io.EOF {
			return servedOutcome(res.Response)
		}
		if err != nil {
			out := t.truncated(engineclient.CauseStreamTruncated, "answer", err)
			out.retryable = false
			return out
		}
	}
}

// writeToCaller writes bytes of the answer to the caller's connection, preceded by the headers on
// the first call. It returns false if the connection is closed.
func (t *task) writeToCaller(b []byte) bool {
	if t.f.Pacer != nil && len(b) > 0 {
		return t.writePaced(b)
	}
	_, err := t.w.Write(b)
	t.x.Begun = true
	t.x.BytesSent += len(b)
	return err == nil
}

// contentLength returns the Content-Length of an answer; empty if it has none. The answer to a HEAD
// request states the length of a body that is not sent.
func (t *task) contentLength(res *http.Response, body []byte, whole bool) string {
	switch {
	case t.x.Method == http.MethodHead:
		return res.Header.Get("Content-Length")
	case res.StatusCode == http.StatusNoContent || res.StatusCode == http.StatusNotModified || !whole:
		return ""
	}
	return strconv.Itoa(len(body))
}

// writeHeader copies the server's headers except those that apply to its connection.
func (t *task) writeHeader(res *http.Response) {
	h := t.w.Header()
	for key, values := range res.Header {
		h[key] = values
	}
	for _, field := range res.Header["Connection"] {
		for _, key := range strings.Split(field, ",") {
			if key = http.CanonicalHeaderKey(strings.TrimSpace(key)); !t.f.Dialect.EndToEnd(key) {
				h.Del(key)
			}
		}
	}
	for _, key := range hopHeaders {
		h.Del(key)
	}
	h.Del("Content-Length")
	t.x.Status = res.StatusCode
}

// isEventStream looks at the media type alone: a parameter that can't be parsed makes an answer no
// other kind of answer.
func isEventStream(res *http.Response) bool {
	kind, _, _ := strings.Cut(res.Header.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(kind), "text/event-stream")
}
