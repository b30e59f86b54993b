package dispatch

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/engineclient"
)

// endWait bounds the wait for the end of a body whose last event is there.
const endWait = time.Second

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
