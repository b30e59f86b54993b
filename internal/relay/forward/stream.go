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
func (t *try) relayStream(lease relay.Lease, res *http.Response) outcome {
	var whole sse.Splitter
	buf := make([]byte, copyBuffer)
	for {
		n, readErr := res.Body.Read(buf)
		if n > 0 {
			lease.FirstByte()
			t.x.PromptConsumed = true
			t.pass(res, whole.Take(buf[:n]))
		}
		switch {
		case readErr == io.EOF:
			t.pass(res, whole.Rest())
			t.begin(res) // a stream without events
			return served(res)
		case t.ctx.Err() != nil:
			return t.failed(balance.Abandoned, engineclient.CauseLeft, "%v", t.ctx.Err())
		case readErr != nil:
			return t.failed(balance.Broken, t.cutCause(), "the stream broke off: %v", readErr)
		}
	}
}

// pass sends whole events to the caller.
func (t *try) pass(res *http.Response, events []byte) {
	if len(events) == 0 {
		return
	}
	t.begin(res)
	t.events.Write(events)
	t.x.OutputTokens = uint64(t.events.Events()) * t.tokensPerEvent()
	t.handOver(events) // a caller who left is noticed by the request's context
	if f, ok := t.w.(http.Flusher); ok {
		f.Flush()
	}
}

// cutCause is the cause of a stream that broke off.
func (t *try) cutCause() engineclient.Cause {
	if t.x.Begun {
		return engineclient.CauseCutStream
	}
	return engineclient.CauseCutBody
}

// begin sets the status line and the headers, those of the first server with an event.
func (t *try) begin(res *http.Response) {
	if t.x.Begun {
		return
	}
	t.writeHeader(res)
	t.w.WriteHeader(res.StatusCode)
}

func (t *try) tokensPerEvent() uint64 {
	if t.x.Service.Engine == nil {
		return 0
	}
	return max(t.x.Service.Engine.TokensPerEvent, 1)
}
