package dispatch

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
)

// Bounds of reading a run again.
const (
	// maxResumes without a token in between, for a call that may run elsewhere.
	maxResumes = 3
	// endWait bounds the wait for the end of a body whose last event is there.
	endWait       = time.Second
	firstPause    = 50 * time.Millisecond
	longestPause  = time.Second
	noLimit       = 24 * time.Hour
	waitedSilence = 2 // doublings of the limit for an engine that can't resume
)

// Ends of reading a stream, besides its whole end.
var (
	errSilent   = errors.New("no byte for longer than allowed")
	errCut      = errors.New("the run passed its output cap")
	errDiverged = errors.New("a second run does not repeat what the caller has")
	errEngine   = errors.New("the engine reported an error in its stream")
	errStopped  = errors.New("the run was stopped from outside")
	errEarlyEnd = errors.New("the stream ended before its last event")
)

// sink takes a run's tokens.
type sink interface {
	// chunk takes one event's data.
	chunk(raw []byte, ch *chunk) error
	// flush sends what is buffered on to the caller.
	flush()
	// end completes the answer.
	end() error
}

// attempt is one run at one engine.
type attempt struct {
	f          *Filter
	c          *filter.Call
	server, id string
	sink       sink
	resumable  bool
	// reached: a byte of the request may have reached the engine, which has not said
	// that it did not run it.
	reached   bool
	began     time.Time
	lastHeard time.Time
	// received counts the run's tokens; resumes those readings of it that gave none.
	received uint64
	resumes  int
	usage    *engineclient.Usage
	finished bool
}

// model runs a completion and relays its stream.
func (f *Filter) model(ctx context.Context, w http.ResponseWriter, c *filter.Call, server, id string) error {
	a := &attempt{f: f, c: c, server: server, id: id, began: f.Clock.Now(), resumable: c.Resume != nil, reached: c.Resume != nil}
	if c.Resume == nil {
		a.resumable = c.Lease.Server().GetResumes()
	}
	if c.Stream {
		a.sink = newRelay(f, w, c)
	} else {
		a.sink = newAssembly(f, w, c)
	}
	before := c.Dispatched
	c.Dispatched = true
	c.Usage = filter.Usage{}
	err := a.run(ctx)
	a.account()
	if err == nil {
		c.Outcome.OK = true
		return nil
	}
	return a.judge(ctx, err, before)
}

// run reads the run to its end, again from where it stopped if need be.
func (a *attempt) run(ctx context.Context) error {
	for {
		err := a.read(ctx)
		if err == nil {
			return a.sink.end()
		}
		if ctx.Err() != nil || !a.mayResume(err) {
			return err
		}
		a.resumes++
		a.c.Note(a.f.Clock.Now(), "dispatch", "reads the run again from token "+strconv.FormatUint(a.received, 10)+" after: "+err.Error())
		if !pause(ctx, a.resumes) {
			return err
		}
	}
}

// mayResume tells whether the run may go on at the engine after err.
func (a *attempt) mayResume(err error) bool {
	switch {
	case errors.Is(err, errCut), errors.Is(err, errDiverged), errors.Is(err, errEngine), errors.Is(err, errStopped):
		return false
	case !a.resumable, !a.reached:
		return false
	}
	if _, _, status := judge(err); status != 0 && status < http.StatusInternalServerError {
		return false // the engine refuses, or doesn't know the run
	}
	// A call that may run elsewhere soon does; another has only this run.
	return !a.c.Idempotent || a.resumes < maxResumes
}

// pause waits before the n-th resume; the first comes at once.
func pause(ctx context.Context, n int) bool {
	if n <= 1 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(min(firstPause<<min(n-2, 8), longestPause))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// read opens the run, or reads it again, and passes its events on until they end.
func (a *attempt) read(ctx context.Context) error {
	l := newLink(ctx)
	a.lastHeard = a.f.Clock.Now()
	silent := time.AfterFunc(a.limit(), func() { l.cancel(errSilent) })
	defer silent.Stop()
	// What was taken as relayed has to be with the caller before another attempt.
	defer a.sink.flush()
	stream, err := a.open(l.ctx)
	if err != nil {
		defer l.end()
		if ran, _, _ := judge(err); ran != errkind.RanNo {
			a.reached = true
		}
		return a.silentOr(l.ctx, err)
	}
	a.reached = true
	whole := false
	defer func() { a.f.release(stream, l, whole) }()
	for {
		ev, err := stream.Next()
		if err != nil {
			return a.silentOr(l.ctx, err)
		}
		a.heard()
		silent.Reset(a.limit())
		done, err := a.event(ev)
		if done || err != nil {
			whole = done
			return err
		}
		if !stream.Buffered() {
			a.sink.flush()
		}
	}
}

// link is the context of one connection. Unlike a child of the call's context it may
// outlive the call.
type link struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	// leave separates it from the call's context.
	leave func() bool
}

func newLink(ctx context.Context) *link {
	own, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	leave := context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })
	return &link{ctx: own, cancel: cancel, leave: leave}
}

func (l *link) end() {
	l.leave()
	l.cancel(nil)
}

// release gives a connection back. After a whole answer the end of the body is still
// to come; without reading it the connection would be closed, and each call would
// have to open one. The answer doesn't wait for that.
func (f *Filter) release(stream *engineclient.Stream, l *link, whole bool) {
	if !whole {
		l.end()
		stream.Close()
		return
	}
	l.leave()
	f.behind.Go(func() {
		limit := time.AfterFunc(endWait, l.end)
		defer limit.Stop()
		stream.Drain()
		stream.Close()
		l.end()
	})
}

func (a *attempt) open(ctx context.Context) (*engineclient.Stream, error) {
	if a.c.Resume != nil || a.resumes > 0 {
		return a.f.Client.Resume(ctx, a.server, a.id, a.received)
	}
	return a.f.Client.Open(ctx, a.f.request(a.c, a.server, a.id))
}

// limit is how long the connection may stay silent now. It doubles with each resume
// that brought nothing: then the engine is slow rather than the connection lost.
func (a *attempt) limit() time.Duration {
	doublings := a.resumes
	if !a.resumable && !a.c.Idempotent {
		return noLimit // the run can neither be read again nor repeated: only waiting is left
	}
	if !a.resumable {
		doublings = waitedSilence
	}
	return a.f.Silence.Limit(a.server, a.received == 0) << min(doublings, 8)
}

func (a *attempt) heard() {
	now := a.f.Clock.Now()
	a.f.Silence.Heard(a.server, a.received == 0, now.Sub(a.lastHeard))
	a.lastHeard = now
}

// silentOr is err, or errSilent if it was the silence that ended the reading.
func (a *attempt) silentOr(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errSilent) {
		a.c.Outcome.Silent = true
		a.f.Silence.Silent(a.server)
		a.f.Client.Renew(a.server)
		return errSilent
	}
	if errors.Is(err, io.EOF) {
		return a.ended()
	}
	return err
}

// ended judges a stream that ends without its last event.
func (a *attempt) ended() error {
	if a.finished {
		return nil
	}
	return errEarlyEnd
}

// event takes one event; done: it was the stream's last.
func (a *attempt) event(ev engineclient.Event) (done bool, err error) {
	if string(ev.Data) == doneData {
		return true, a.ended()
	}
	if ev.Name == errorEvent {
		return false, errEngine
	}
	ch, err := decodeChunk(ev.Data)
	if err != nil {
		return false, err
	}
	if ch.Usage != nil {
		a.usage = ch.Usage
	}
	if ch.isToken() {
		a.received++
		a.resumes = 0
		if a.received == 1 && a.c.Lease != nil {
			a.c.Lease.FirstToken(a.lastHeard.Sub(a.began))
		}
	}
	if ch.stopped() {
		return false, errStopped
	}
	if ch.finishes() {
		a.finished = true
	}
	if a.pastCap() {
		return false, errCut
	}
	return false, a.sink.chunk(ev.Data, ch)
}

// pastCap: an engine that ignores its output cap would spend tokens that were not
// reserved. Usage that comes after the end is only billed within the reservation.
func (a *attempt) pastCap() bool {
	if a.received > a.c.OutputCap {
		return true
	}
	return a.usage != nil && !a.finished && a.usage.CompletionTokens > a.c.OutputCap
}

// account writes down what the run has used as far as known.
func (a *attempt) account() {
	c := a.c
	if a.received > 0 {
		c.Usage = filter.Usage{Prompt: c.PromptTokens, Output: a.received}
	}
	if a.usage != nil {
		c.Usage = filter.Usage{Prompt: a.usage.PromptTokens, Output: a.usage.CompletionTokens}
	}
	c.Outcome.Usage = c.Usage
}

// judge stops a run that did not end by itself and says why the attempt failed.
func (a *attempt) judge(ctx context.Context, err error, before bool) error {
	ran, refused, status := judge(err)
	if !a.reached {
		a.c.Dispatched = before
		a.c.Outcome.Refused = refused
		if ctx.Err() != nil {
			return filter.ContextError(ctx).WithRan(errkind.RanNo)
		}
		if status == http.StatusBadRequest || status == http.StatusUnprocessableEntity {
			return errkind.New(errkind.BadRequest, "backend server %s refused the request: %s", a.server, err.Error())
		}
		return failed(errkind.RanNo, a.server, err.Error())
	}
	switch {
	case a.received > 0:
		ran = errkind.RanYes
	case ran == errkind.RanNo: // said of a resume, not of the run
		ran = errkind.RanUnknown
	}
	switch {
	case errors.Is(err, errCut):
		a.f.cancelRun(a.server, a.id, 0)
		return errkind.New(errkind.ReservationExhausted, "the backend server went past %d tokens", a.c.OutputCap)
	case ctx.Err() != nil:
		e := filter.ContextError(ctx).WithRan(ran)
		a.cancelFor(e.Kind)
		return e
	case a.resumes == 0 && a.c.Resume == nil && callersFault(status):
		return errkind.New(errkind.BadRequest, "backend server %s refused the request: %s", a.server, err.Error()).WithRan(ran)
	}
	a.c.Final = errors.Is(err, errDiverged)
	a.f.cancelRun(a.server, a.id, 0)
	a.c.Note(a.f.Clock.Now(), "dispatch", "attempt failed: "+err.Error())
	return failed(ran, a.server, err.Error())
}

// callersFault: another server would refuse the request as well.
func callersFault(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests:
		return false
	}
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// cancelFor stops the run of a call that is given up and takes the engine's own
// count of what it used, if that comes soon enough.
func (a *attempt) cancelFor(k errkind.Kind) {
	wait := cancelWait
	if k == errkind.CallerGone {
		wait = goneWait
	}
	if usage := a.f.cancelRun(a.server, a.id, wait); usage != nil {
		a.usage = usage
		a.account()
	}
}
