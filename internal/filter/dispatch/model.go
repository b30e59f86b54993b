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
	// maxFailures to read a run again without a token in between: then a call that may
	// run elsewhere does; stuckAfter bounds its patience.
	maxFailures = 3
	stuckAfter  = 10 * time.Second
	// slackFirst times the predicted time to the first token is no reason to act.
	slackFirst = 2
	// minFirst is the least, and queuedFirst what is added for work that waits before
	// it, of that prediction.
	minFirst    = 250 * time.Millisecond
	queuedFirst = 2 * time.Second
	// answerWait bounds the wait for the answer when a run is read again.
	answerWait    = 500 * time.Millisecond
	firstPause    = 50 * time.Millisecond
	longestPause  = time.Second
	noLimit       = 24 * time.Hour
	waitedSilence = 2 // doublings of the limit for an engine that can't resume
)

// Ends of reading a stream, besides its whole end.
var (
	errSilent   = errors.New("no byte for longer than allowed")
	errNoAnswer = errors.New("no answer for longer than allowed")
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
	reached bool
	began   time.Time
	// first is the predicted time to the first token; 0: unknown.
	first time.Duration
	// received counts the run's tokens.
	received uint64
	// rereads counts the readings after the first; failures and silences those since
	// the last token that ended so.
	rereads, failures, silences int
	// lastToken is when the last one came, or when the run began.
	lastToken time.Time
	usage     *engineclient.Usage
	finished  bool
}

// model runs a completion and relays its stream.
func (f *Filter) model(ctx context.Context, w http.ResponseWriter, c *filter.Call, server, id string) error {
	a := &attempt{f: f, c: c, server: server, id: id, began: f.Clock.Now(), resumable: c.Resume != nil, reached: c.Resume != nil}
	if c.Resume == nil {
		a.resumable = c.Lease.Server().GetResumes()
	}
	if c.Stream {
		a.sink = newRelay(w, c)
	} else {
		a.sink = newAssembly(w, c)
	}
	a.lastToken = a.began
	a.first = predicted(c)
	f.Silence.Open(a.began, id, server, a.first)
	defer f.Silence.Close(id)
	before := c.Dispatched
	c.Dispatched = true
	c.Usage = filter.Usage{}
	err := a.run(ctx)
	a.account()
	if a.reached {
		reached(c)
	}
	if err == nil {
		c.Outcome.OK = true
		answered(c)
		return nil
	}
	if ctx.Err() == nil && a.reached && crashLike(err) {
		broke(c, server, a.began)
	}
	return a.judge(ctx, err, before)
}

// predicted is the time to the first token by what the server announced of its speed
// and queue; 0: unknown.
func predicted(c *filter.Call) time.Duration {
	if c.Lease == nil || c.Lease.Server().GetPrefillPerSecond() <= 0 {
		return 0
	}
	st := c.Lease.Server()
	d := time.Duration(float64(c.PromptTokens) / st.PrefillPerSecond * float64(time.Second))
	if st.Waiting > 0 {
		d += queuedFirst
	}
	return max(d, minFirst)
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
		a.rereads++
		a.c.Note(a.f.Clock.Now(), "dispatch", "reads the run again from token "+strconv.FormatUint(a.received, 10)+" after: "+err.Error())
		if !pause(ctx, a.failures) {
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
	if !a.c.Idempotent {
		return true // the call has only this run
	}
	if errors.Is(err, errSilent) {
		return a.f.Clock.Now().Sub(a.lastToken) < a.patience()
	}
	return a.failures < maxFailures
}

// patience is how long a call that may run elsewhere waits for a token of an engine
// that answers but gives none: half of the time that was left at the last one, so
// that another engine has the other half.
func (a *attempt) patience() time.Duration {
	wait := min(stuckAfter, a.c.Deadline.Sub(a.lastToken)/2)
	if a.received == 0 {
		wait = max(wait, slackFirst*a.first)
	}
	return wait
}

// pause waits after the n-th failure in a row; after the first not at all.
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
	a.heard(false)
	silent := time.AfterFunc(a.openLimit(), func() { l.cancel(errSilent) })
	defer silent.Stop()
	// What was taken as relayed has to be with the caller before another attempt.
	defer a.sink.flush()
	stream, err := a.open(l.ctx)
	if err != nil {
		defer l.end()
		if ran, _, _ := judge(err); ran != errkind.RanNo {
			a.reached = true
		}
		return a.silentOr(l.ctx, err, errNoAnswer)
	}
	a.reached = true
	silent.Reset(a.limit())
	whole := false
	defer func() { a.f.release(stream, l, whole) }()
	for {
		ev, err := stream.Next()
		if err != nil {
			return a.silentOr(l.ctx, err, errSilent)
		}
		done, err := a.event(ev)
		silent.Reset(a.limit())
		if done || err != nil {
			whole = done
			return err
		}
		if !stream.Buffered() {
			a.sink.flush()
		}
	}
}

func (a *attempt) open(ctx context.Context) (*engineclient.Stream, error) {
	if a.c.Resume != nil || a.rereads > 0 {
		return a.f.Client.Resume(ctx, a.server, a.id, a.received)
	}
	return a.f.Client.Open(ctx, a.f.request(a.c, a.server, a.id))
}

// openLimit is how long the engine may take to answer at all. An engine that is asked
// for a run it has answers at once, however far the run is.
func (a *attempt) openLimit() time.Duration {
	if a.rereads > 0 && a.c.Idempotent {
		return answerWait
	}
	return a.limit()
}

// limit is how long the connection may stay silent now. It doubles with each new
// connection that was as silent: then the engine is slow rather than a connection lost.
func (a *attempt) limit() time.Duration {
	doublings := a.silences
	if !a.resumable && !a.c.Idempotent {
		return noLimit // the run can neither be read again nor repeated: only waiting is left
	}
	if !a.resumable {
		doublings = waitedSilence
	}
	limit := a.f.Silence.Limit(a.f.Clock.Now(), a.id, a.received > 0) << min(doublings, 8)
	if a.resumable && a.c.Idempotent {
		// Asking again costs little; a lost connection must not use the deadline up.
		limit = min(limit, max(a.c.Deadline.Sub(a.lastToken)/3, slackFirst*a.first))
	}
	return limit
}

// heard notes that the connection gave bytes, or that a new one begins.
func (a *attempt) heard(token bool) {
	now := a.f.Clock.Now()
	a.f.Silence.Byte(now, a.id, token)
	if token {
		a.lastToken = now
	}
}

// silentOr is err, or silence if it was that which ended the reading.
func (a *attempt) silentOr(ctx context.Context, err, silence error) error {
	if errors.Is(context.Cause(ctx), errSilent) {
		a.silences++
		if errors.Is(silence, errNoAnswer) && a.rereads > 0 {
			a.failures++
		}
		a.c.Outcome.Silent = true
		a.f.Client.DropConnections(a.server)
		return silence
	}
	if errors.Is(err, io.EOF) {
		err = a.ended()
	}
	if err != nil {
		a.failures++
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
	a.heard(ch.isToken())
	if ch.isToken() {
		a.received++
		a.failures, a.silences = 0, 0
		if a.received == 1 && a.c.Lease != nil {
			a.c.Lease.FirstToken(a.lastToken.Sub(a.began))
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
