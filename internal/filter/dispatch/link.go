package dispatch

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/engineclient"
)

// bodyEndWait bounds the wait for the end of a body whose last event has been received.
const bodyEndWait = time.Second

// connContext is the context of one connection. Unlike a child of the call's context it may outlive
// the call.
type connContext struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	// detach separates it from the call's context.
	detach func() bool
}

func newConnContext(ctx context.Context) *connContext {
	own, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	detach := context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })
	return &connContext{ctx: own, cancel: cancel, detach: detach}
}

func (l *connContext) end() {
	l.detach()
	l.cancel(nil)
}

// release returns a connection to the pool. After a whole answer the end of the body is still to
// come; without reading it the connection would be closed, and each call would have to open a new
// one. The answer does not wait for that.
func (f *Filter) release(stream *engineclient.Stream, l *connContext, whole bool) {
	if !whole {
		l.end()
		stream.Close()
		return
	}
	l.detach()
	f.background.Go(func() {
		limit := time.AfterFunc(bodyEndWait, l.end)
		defer limit.Stop()
		stream.Drain()
		stream.Close()
		l.end()
	})
}
