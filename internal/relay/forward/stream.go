package forward

import (
	"io"
	"net/http"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/sse"
)

// copyBuffer is the size of the reads from a stream, in bytes.
const copyBuffer = 8 << 10

// relayStream passes on the events of a stream as they arrive, whole events only: a server may stop
// in the middle of an event, and the server that resumes the stream sends the whole event. A stream
// that ends inside an event is truncated, however its end is framed.
//
// The status line is sent with the first event, so that a stream that is interrupted before its
// first event can be replaced by that of another server, with headers of its own.
func (t *task) relayStream(lease relay.Lease, res received) outcome {
	var splitter sse.Splitter
	part, before := sse.Part{Continues: t.x.Begun}, t.events.Events()
	buf := make([]byte, copyBuffer)
	for {
		n, readErr := res.Body.Read(buf)
		if n > 0 {
			lease.FirstByte()
			t.x.PromptConsumed = true
			events := part.Events(splitter.Split(buf[:n]))
			if len(events) > 0 && (t.x.Origin == nil || t.events.Events() == before) && !t.sameVersion(lease, res) {
				return t.failure(balance.Abandoned, engineclient.CauseOtherVersion, "server %s may run another software version than the stream", lease.Choice().Instance.ID)
			}
			if len(events) > 0 {
				t.reportProgress(lease)
				t.writeEvents(res.Response, events)
			}
		}
		t.eventOwed = t.eventOwed || readErr != nil && splitter.InsideEvent()
		switch {
		case t.cut:
			return t.cutOutcome()
		case readErr == io.EOF:
			err := t.endError(res, splitter.InsideEvent(), t.events.Events()-before)
			t.awaitOrigin(lease, res, err)
			return t.endStream(res, err)
		case t.ctx.Err() != nil:
			return t.failure(balance.Abandoned, engineclient.CauseRequestEnded, "%v", t.ctx.Err())
		case readErr != nil:
			t.awaitOrigin(lease, res, readErr)
			return t.truncated(t.cutCause(), "stream", readErr)
		}
	}
}

// endStream returns the outcome of a stream that was read to its end without an error, and is truncated
// if err is not nil.
func (t *task) endStream(res received, err error) outcome {
	switch {
	case err == nil:
		t.writeStatus(res.Response) // the status line of a stream without events
		return servedOutcome(res.Response)
	case relay.FramingOf(res.Response) == relay.Unframed:
		return t.truncated(t.cutCause(), "stream", err)
	}
	// The server itself ended the stream there; no connection was lost.
	return t.truncated(engineclient.CauseIncompleteEvent, "stream", err)
}

// writeEvents sends whole events to the caller.
func (t *task) writeEvents(res *http.Response, events []byte) {
	t.writeStatus(res)
	before := t.events.Events()
	t.events.Write(events)
	t.x.Attempts[len(t.x.Attempts)-1].Events += t.events.Events() - before
	t.x.OutputTokens = uint64(t.events.Events()) * t.tokensPerEvent()
	t.writeToCaller(events) // the request's context detects that the caller left
	if f, ok := t.w.(http.Flusher); ok {
		f.Flush()
	}
}

// cutCause returns the cause to log for a truncated stream.
func (t *task) cutCause() engineclient.Cause {
	if t.x.Begun {
		return engineclient.CauseStreamTruncated
	}
	return engineclient.CauseBodyTruncated
}

// writeStatus sends the status line and the headers, those of the first server that sent an event.
func (t *task) writeStatus(res *http.Response) {
	if t.x.Begun {
		return
	}
	t.writeHeader(res)
	t.w.WriteHeader(res.StatusCode)
}

func (t *task) tokensPerEvent() uint64 {
	if t.x.Service.Engine == nil {
		return 0
	}
	return max(t.x.Service.Engine.TokensPerEvent, 1)
}
