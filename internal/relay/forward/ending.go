package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/bodyend"
	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/relay"
)

// acceptTimeout bounds the check whether a server accepts connections.
const acceptTimeout = 250 * time.Millisecond

var (
	// errEndInsideEvent is the read error of a stream whose last event is incomplete.
	errEndInsideEvent = errors.New("it ended inside an event")
	// errServerEnded is that of an answer that ended together with its server's process.
	errServerEnded = errors.New("its connection ended, and the server accepts no others")
	// errEndInsideContent is that of an unframed answer whose content goes on.
	errEndInsideContent = errors.New("its connection ended inside its content")
	// errNoEvent is that of a stream without events that can't be whole.
	errNoEvent = errors.New("it ended before the first event")
)

// received is the answer of a server with what is known of the server.
type received struct {
	*http.Response
	// server is the server's address.
	server string
	// opened is when the connection was opened.
	opened time.Time
	// reused is set if the connection had been used before.
	reused bool
	// leaving is set if the server has announced that it stops.
	leaving bool
}

// serverEndedWith reports whether the end of an answer that was read without an error is likely to be
// that of the server's process. Only an unframed answer can end so: its end is that of its connection,
// and the kernel closes all connections of a process that crashes.
//
// A server that has announced its end may stop right after its last answer.
func (t *task) serverEndedWith(res received) bool {
	if relay.FramingOf(res.Response) != relay.Unframed || t.f.Accepts == nil || res.leaving || t.outputCapReached() {
		return false
	}
	ctx, cancel := context.WithTimeout(t.ctx, acceptTimeout)
	defer cancel()
	return !t.f.Accepts(ctx, res.server)
}

// outputCapReached reports whether a stream has all the output that the request allows.
func (t *task) outputCapReached() bool { return t.x.OutputCap > 0 && t.x.OutputTokens >= t.x.OutputCap }

// bodyError returns why an answer that is not a stream, and was read to its end without an error, is
// truncated; nil if it counts as whole.
func (t *task) bodyError(res received, body []byte) error {
	switch engineclient.EndOf(res.Response, body) {
	case bodyend.Truncated:
		return errEndInsideContent
	case bodyend.Unknown:
		if t.serverEndedWith(res) {
			return errServerEnded
		}
	}
	return nil
}

// owesEvent reports whether a stream without events can't be whole: nothing but the end of its
// connection marks its end, a part of the next event had arrived from another server, or its status is
// not that of the stream that it is to continue.
func (t *task) owesEvent(res received) bool {
	return relay.FramingOf(res.Response) == relay.Unframed || t.eventOwed || t.x.Begun && res.StatusCode != t.x.Status
}

// endError returns why a stream that was read to its end without an error is truncated; nil if it counts
// as whole. insideEvent is whether it ended inside an event, events how many whole ones the server has
// sent.
func (t *task) endError(res received, insideEvent bool, events int) error {
	switch {
	case insideEvent:
		return errEndInsideEvent
	case events == 0 && t.owesEvent(res):
		return errNoEvent
	case t.serverEndedWith(res):
		return errServerEnded
	}
	return nil
}
