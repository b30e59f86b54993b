package httpserver

import (
	"net"
	"os"
	"sync"
	"sync/atomic"

	"github.com/lesismal/nbio"
	"github.com/pkg/errors"
	"github.com/rs/zerolog/log"
	"golang.org/x/sys/unix"
)

// writeTracker tells of the closes that nbio does by itself on a handler's goroutine: that
// of a connection on which a write has failed. All other closes are left to the poller, see
// trackedConn.
type writeTracker struct {
	// ongoing are the writes that may end in a close, failed those that have.
	ongoing, failed atomic.Int64
}

// write has nbio write.
func (w *writeTracker) write(f func() (int, error)) (int, error) {
	w.ongoing.Add(1)
	defer w.ongoing.Add(-1)
	n, err := f()
	if err != nil {
		w.failed.Add(1)
	}
	return n, err
}

// pollBarrier tells when the poller has handled every event that it had fetched before.
//
// What goes wrong without it: the poller fetches events in batches, up to 1,024, and finds
// each one's connection by its descriptor number. A connection that nbio closes on another
// goroutine frees its number with its event still waiting in the batch. A connection accepted
// in that moment gets the number; the event closes it, right after its first request was read
// and handed to a handler. One notices requests that were sent on to backend servers and ended
// as if their callers had left, at a host that had stood still for a moment. A connection that
// waits here before it is known to the poller can't be found by an older event.
//
// It costs two wake-ups of the poller, only after a close by nbio. With two for each accepted
// connection a host used a tenth more processor time.
type pollBarrier struct {
	// wake is the other end of a connection that the poller reads.
	wake net.Conn
	// stopped is closed when the poller may have ended.
	stopped chan struct{}
	once    sync.Once
	writes  *writeTracker
	// seenFailed is how many writes had failed when somebody passed last.
	seenFailed atomic.Int64

	mu sync.Mutex
	// waiting wait for a byte that is written after they came; passing wait for one that the
	// poller itself wrote after that, thus in a later batch.
	waiting, passing []chan struct{}
}

// newPollBarrier makes the barrier of an engine with one poller, which must run.
func newPollBarrier(engine *nbio.Engine, writes *writeTracker) (*pollBarrier, error) {
	wake, read, err := socketPair()
	if err != nil {
		return nil, err
	}
	b := &pollBarrier{wake: wake, stopped: make(chan struct{}), writes: writes}
	conn, err := nbio.NBConn(read)
	if err != nil {
		_ = wake.Close()
		return nil, errors.Wrap(err, "hand a socket to the poller")
	}
	conn.SetSession(b) // by which Server.read knows it
	if _, err := engine.AddConn(conn); err != nil {
		_ = wake.Close()
		return nil, errors.Wrap(err, "have the poller read a socket")
	}
	return b, nil
}

// socketPair is two connected sockets that belong to this process alone.
func socketPair() (a, b net.Conn, err error) {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, nil, errors.Wrap(err, "make a pair of sockets")
	}
	var conns [2]net.Conn
	for i, fd := range fds {
		f := os.NewFile(uintptr(fd), "poll barrier")
		conn, connErr := net.FileConn(f)
		_ = f.Close() // FileConn has a descriptor of its own
		if connErr != nil && err == nil {
			err = errors.Wrap(connErr, "use a pair of sockets")
		}
		conns[i] = conn
	}
	if err == nil {
		return conns[0], conns[1], nil
	}
	for _, c := range conns {
		if c != nil {
			_ = c.Close()
		}
	}
	return nil, nil, err
}

// await returns once the poller has handled all events that it had fetched before the call, if
// nbio has closed a connection since it last had, or may be doing so; or when the server stops.
func (b *pollBarrier) await() {
	// In this order: a write that is no longer under way has been counted if it failed.
	idle := b.writes.ongoing.Load() == 0
	failed := b.writes.failed.Load()
	if idle && failed == b.seenFailed.Load() {
		return
	}
	if b.wait() {
		b.seenFailed.Store(failed)
	}
}

// wait returns after two rounds of the poller; false when the server stops.
func (b *pollBarrier) wait() bool {
	passed := make(chan struct{})
	b.mu.Lock()
	b.waiting = append(b.waiting, passed)
	if len(b.waiting) == 1 && len(b.passing) == 0 {
		b.wakePoller()
	}
	b.mu.Unlock()
	select {
	case <-passed:
		return true
	case <-b.stopped:
		return false
	}
}

// read takes what kick wrote. It runs on the poller, once in a batch at most: a batch has one
// event for each connection.
func (b *pollBarrier) read(c *nbio.Conn, buffer []byte) {
	n, err := c.Read(buffer)
	if n > 0 {
		b.nextRound()
		return
	}
	if err == nil || errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) {
		return
	}
	// Nobody may wait for a poller that can't be asked any more.
	log.Error().Str("event", "poll-barrier-failed").Err(err).Send()
	b.stop()
	_ = c.CloseWithError(err)
}

// nextRound begins a further round. Those that arrived may have done so in the middle of this
// batch. Those that were passing came before the end of an earlier one, whose events are all
// handled by now.
func (b *pollBarrier) nextRound() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, passed := range b.passing {
		close(passed)
	}
	b.passing, b.waiting = b.waiting, nil
	if len(b.passing) > 0 {
		b.wakePoller()
	}
}

// wakePoller has the poller fetch a further batch; b.mu is held. At most two bytes are unread, so
// the write does not block.
func (b *pollBarrier) wakePoller() {
	if _, err := b.wake.Write([]byte{0}); err != nil && !b.isStopped() {
		log.Error().Str("event", "poll-barrier-failed").Err(err).Send()
	}
}

// stop lets everybody pass.
func (b *pollBarrier) stop() {
	b.once.Do(func() {
		close(b.stopped)
		_ = b.wake.Close()
	})
}

func (b *pollBarrier) isStopped() bool {
	select {
	case <-b.stopped:
		return true
	default:
		return false
	}
}
