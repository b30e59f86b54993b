package forward

import (
	"io"
	"net/http"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/sse"
)

// copyBuffer is how much of a stream is read at a time, in bytes.
const copyBuffer = 8 << 10

// relayStream passes a stream of events on as they come, whole ones only: a server may
// stop in the middle of one, and another server that goes on sends the whole event.
//
// The status line waits for the first event. A stream that breaks off before it can be
// made good by another server with headers of its own.
func (t *task) relayStream(lease relay.Lease, res *http.Response) outcome {
	var whole sse.Splitter
	buf := make([]byte, copyBuffer)
	for {
		n, readErr := res.Body.Read(buf)
		if n > 0 {
			lease.FirstByte()
			t.x.PromptConsumed = true
			t.writeEvents(res, whole.Take(buf[:n]))
		}
		switch {
		case readErr == io.EOF:
			t.writeEvents(res, whole.Rest())
			t.writeStatus(res) // a stream without events
			return servedOutcome(res)
		case t.ctx.Err() != nil:
			return t.failure(balance.Abandoned, engineclient.CauseLeft, "%v", t.ctx.Err())
		case readErr != nil:
			return t.failure(balance.Broken, t.cutCause(), "the stream broke off: %v", readErr)
		}
	}
}

// writeEvents sends whole events to the caller.
func (t *task) writeEvents(res *http.Response, events []byte) {
	if len(events) == 0 {
		return
	}
	t.writeStatus(res)
	t.events.Write(events)
	t.x.OutputTokens = uint64(t.events.Events()) * t.tokensPerEvent()
	t.writeToCaller(events) // a caller who left is noticed by the request's context
	if f, ok := t.w.(http.Flusher); ok {
		f.Flush()
	}
}

// cutCause is the cause of a stream that broke off.
func (t *task) cutCause() engineclient.Cause {
	if t.x.Begun {
		return engineclient.CauseCutStream
	}
	return engineclient.CauseCutBody
}

// writeStatus sets the status line and the headers, those of the first server with an event.
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
