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

// Bounds for reading a run again.
const (
	// maxFailures is the number of consecutive failures to read a run again, without a token in
	// between, after which a call that may run elsewhere does so. stalledAfter bounds how long such
	// a call waits for a token.
	maxFailures  = 3
	stalledAfter = 10 * time.Second
	// firstTokenSlack is the multiple of the predicted time to the first token that is tolerated
	// before acting on a slow engine.
	firstTokenSlack = 2
	// minFirstToken is the minimum of that prediction. queuedFirstToken is added to it if other
	// work is waiting at the server.
	minFirstToken    = 250 * time.Millisecond
	queuedFirstToken = 2 * time.Second
	// answerWait bounds the wait for the answer when a run is read again.
	answerWait            = 500 * time.Millisecond
	minBackoff            = 50 * time.Millisecond
	maxBackoff            = time.Second
	noLimit               = 24 * time.Hour
	nonResumableDoublings = 2 // number of times the limit is doubled for an engine that can't resume
)

// Errors that end the reading of a stream.
var (
	errSilent   = errors.New("the connection received no byte for longer than allowed")
	errNoAnswer = errors.New("the engine did not begin its answer within the time allowed")
	errOverCap  = errors.New("the run exceeded its output cap")
	errDiverged = errors.New("the second run does not repeat the tokens that the caller already has")
	errEngine   = errors.New("the engine reported an error in its stream")
	errStopped  = errors.New("the run was stopped from outside")
	errEarlyEnd = errors.New("the engine ended the stream before its last event")
	errCut      = errors.New("the connection ended before the last event of the stream")
)

// sink receives a run's events.
type sink interface {
	// chunk processes the data of one event.
	chunk(raw []byte, ch *chunk) error
	// flush sends buffered events to the caller.
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
	// reached is set if a byte of the request may have reached the engine, and the engine has not
	// reported that it did not run it.
	reached bool
	began   time.Time
	// predictedFirstToken is the predicted time to the first token; 0 if unknown.
	predictedFirstToken time.Duration
	// received counts the tokens received from the run.
	received uint64
	// rereads counts the times the run was read again. failures and silences count the readings
	// since the last token that ended in an error or in silence.
	rereads, failures, silences int
	// lastToken is when the last token arrived, or when the run began.
	lastToken time.Time
	usage     *engineclient.Usage
	// finished is set once the finish reason has arrived: the text is whole. ended is set once the
	// end of the stream has arrived, before which its usage may still come. askedForRest is set if a
	// finished run is read again for that.
	finished, ended, askedForRest bool
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
	a.predictedFirstToken = predictFirstToken(c)
	f.Silence.Open(a.began, id, server, a.predictedFirstToken)
	defer f.Silence.Close(id)
	before := c.Dispatched
	c.Dispatched = true
	c.Usage = filter.Usage{}
	err := a.run(ctx)
	a.recordUsage()
	if a.reached {
		reportReached(c)
	}
	if err == nil {
		c.Outcome.OK = true
		if a.ended {
			reportAnswered(c, a.received > 0)
		}
		return nil
	}
	if ctx.Err() == nil && a.reached && crashLike(err) {
		reportConnectionLoss(c, server, a.began, a.received > 0)
	}
	return a.classify(ctx, err, before)
}

// predictFirstToken returns the time to the first token predicted from the speed and queue that the
// server announced; 0 if unknown.
func predictFirstToken(c *filter.Call) time.Duration {
	if c.Lease == nil || c.Lease.Server().GetPrefillPerSecond() <= 0 {
		return 0
	}
	st := c.Lease.Server()
	d := time.Duration(float64(c.PromptTokens) / st.PrefillPerSecond * float64(time.Second))
	if st.Waiting > 0 {
		d += queuedFirstToken
	}
	return max(d, minFirstToken)
}

// run reads the run to its end, resuming from where it stopped if necessary.
func (a *attempt) run(ctx context.Context) error {
	for {
		err := a.read(ctx)
		if err == nil {
			return a.sink.end()
		}
		if ctx.Err() != nil {
			return err
		}
		if a.finished && readingBroke(err) && !(a.mayResume(err) && a.mayAskForRest()) {
			a.c.Note(a.f.Clock.Now(), "dispatch", "the text is whole, but its stream had no end: "+err.Error())
			return a.sink.end()
		}
		if !a.mayResume(err) {
			return err
		}
		a.rereads++
		a.c.Note(a.f.Clock.Now(), "dispatch", "reads the run again from token "+strconv.FormatUint(a.received, 10)+" after: "+err.Error())
		if !backoff(ctx, a.failures) {
			return err
		}
	}
}

// readingBroke reports whether the reading of a stream was interrupted, as opposed to ended by what
// the engine sent.
func readingBroke(err error) bool {
	for _, other := range []error{errOverCap, errDiverged, errEngine, errStopped} {
		if errors.Is(err, other) {
			return false
		}
	}
	return true
}

// mayAskForRest reports whether a run whose text is whole is to be read again for its usage. It is
// read once, since the caller waits for the end of its answer.
func (a *attempt) mayAskForRest() bool {
	if a.usage != nil || a.askedForRest {
		return false
	}
	a.askedForRest = true
	return true
}

// mayResume reports whether reading the run at the same engine may be resumed after err.
func (a *attempt) mayResume(err error) bool {
	switch {
	case errors.Is(err, errOverCap), errors.Is(err, errDiverged), errors.Is(err, errEngine), errors.Is(err, errStopped):
		return false
	case !a.resumable, !a.reached:
		return false
	}
	if _, _, status := errorDetails(err); status != 0 && status < http.StatusInternalServerError {
		return false // the engine rejects the request or does not know the run
	}
	if !a.c.Idempotent {
		return true // the call must not have another run
	}
	if errors.Is(err, errSilent) {
		return a.f.Clock.Now().Sub(a.lastToken) < a.stallLimit()
	}
	return a.failures < maxFailures
}

// stallLimit returns how long a call that may run elsewhere waits for a token from an engine that
// answers but sends none: half of the time that was left at the last token, so that another engine
// has the other half.
func (a *attempt) stallLimit() time.Duration {
	wait := min(stalledAfter, a.c.Deadline.Sub(a.lastToken)/2)
	if a.received == 0 {
		wait = max(wait, firstTokenSlack*a.predictedFirstToken)
	}
	return wait
}

// backoff waits after the n-th failure in a row; there is no wait after the first one. It returns
// false if ctx ends.
func backoff(ctx context.Context, n int) bool {
	if n <= 1 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(min(minBackoff<<min(n-2, 8), maxBackoff))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// read opens the run, or reads it again, and passes on its events until they end.
func (a *attempt) read(ctx context.Context) error {
	l := newConnContext(ctx)
	a.noteBytes(false)
	silent := time.AfterFunc(a.openLimit(), func() { l.cancel(errSilent) })
	defer silent.Stop()
	// Events counted as relayed must be sent to the caller before another attempt.
	defer a.sink.flush()
	stream, err := a.open(l.ctx)
	if err != nil {
		defer l.end()
		if ran, _, _ := errorDetails(err); ran != errkind.RanNo {
			a.reached = true
		}
		return a.silenceOrError(l.ctx, err, errNoAnswer)
	}
	a.reached = true
	silent.Reset(a.limit())
	whole := false
	defer func() { a.f.release(stream, l, whole) }()
	for {
		ev, err := stream.Next()
		if err != nil {
			return a.silenceOrError(l.ctx, endError(stream, err), errSilent)
		}
		done, err := a.handleEvent(ev)
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

// openLimit returns how long the engine may take to begin its answer. An engine that is asked for a
// run that it has answers at once, however far the run has come.
func (a *attempt) openLimit() time.Duration {
	if a.rereads > 0 && a.c.Idempotent {
		return answerWait
	}
	return a.limit()
}

// limit returns how long the connection may stay silent now. The limit doubles with each further
// connection that was silent as well: then the engine is slow rather than the connection lost.
func (a *attempt) limit() time.Duration {
	doublings := a.silences
	if !a.resumable && !a.c.Idempotent && !a.finished {
		return noLimit // the run can be neither read again nor repeated, so all it can do is wait
	}
	if !a.resumable {
		doublings = nonResumableDoublings
	}
	limit := a.f.Silence.Limit(a.f.Clock.Now(), a.id, a.received > 0) << min(doublings, 8)
	if a.resumable && a.c.Idempotent {
		// Reading again costs little, and a lost connection must not use up the deadline.
		limit = min(limit, max(a.c.Deadline.Sub(a.lastToken)/3, firstTokenSlack*a.predictedFirstToken))
	}
	return limit
}

// noteBytes records that the connection received bytes, or that a new connection is opened.
func (a *attempt) noteBytes(token bool) {
	now := a.f.Clock.Now()
	a.f.Silence.Byte(now, a.id, token)
	if token {
		a.lastToken = now
	}
}

// silenceOrError returns silence if the reading was ended by a silent connection, else err.
func (a *attempt) silenceOrError(ctx context.Context, err, silence error) error {
	if errors.Is(context.Cause(ctx), errSilent) {
		a.silences++
		if errors.Is(silence, errNoAnswer) && a.rereads > 0 {
			a.failures++
		}
		a.c.Outcome.Silent = true
		a.f.Client.DropConnections(a.server)
		return silence
	}
	a.failures++
	return err
}

// endError returns the error for a stream whose next event could not be read.
func endError(stream *engineclient.Stream, err error) error {
	switch {
	case !errors.Is(err, io.EOF):
		return err
	case stream.EndsWithConnection():
		return errCut
	}
	return errEarlyEnd
}

// endOfStream processes the last event of a stream.
func (a *attempt) endOfStream() error {
	if !a.finished {
		return errEarlyEnd
	}
	a.ended = true
	return nil
}

// handleEvent processes one event. done is set if it was the last event of the stream.
func (a *attempt) handleEvent(ev engineclient.Event) (done bool, err error) {
	if string(ev.Data) == doneData {
		return true, a.endOfStream()
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
	a.noteBytes(ch.isToken())
	if ch.isToken() {
		a.received++
		a.failures, a.silences = 0, 0
		if a.received == 1 && a.c.Lease != nil {
			a.c.Lease.FirstToken(a.lastToken.Sub(a.began))
		}
	}
	if ch.stoppedExternally() {
		return false, errStopped
	}
	if ch.finishes() {
		a.finished = true
	}
	if a.overCap() {
		return false, errOverCap
	}
	return false, a.sink.chunk(ev.Data, ch)
}

// overCap reports whether the run exceeded its output cap. An engine that ignores the cap would
// spend tokens that were not reserved. Usage reported after the end does not count here, since it
// is billed only up to the reservation.
func (a *attempt) overCap() bool {
	if a.received > a.c.OutputCap {
		return true
	}
	return a.usage != nil && !a.finished && a.usage.CompletionTokens > a.c.OutputCap
}
