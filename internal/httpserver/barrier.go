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

// writeTracker tracks the only closes that nbio performs by itself on a handler's goroutine:
// after a failed write. All other closes are left to the poller, see trackedConn.
type writeTracker struct {
	// ongoing counts the writes that may end in a close, failed those that did.
	ongoing, failed atomic.Int64
}

// write runs f, which writes through nbio.
func (w *writeTracker) write(f func() (int, error)) (int, error) {
	w.ongoing.Add(1)
	defer w.ongoing.Add(-1)
	n, err := f()
	if err != nil {
		w.failed.Add(1)
	}
	return n, err
}

// pollBarrier waits until the poller has handled every event that it had fetched before.
//
// The poller fetches events in batches of up to 1,024 and finds the connection of each event
// by its descriptor number. When nbio closes a connection on another goroutine, its number
// becomes free while its event still waits in the batch. A connection accepted at that moment
// gets the number, and the stale event closes it right after its first request was read and
// handed to a handler. Such requests were sent on to backend servers and ended as if their
// callers had left, on a host that had paused for a moment. A connection that waits at the
// barrier before it is registered with the poller can't be found by an older event.
//
// The barrier costs two wake-ups of the poller, and only after a close by nbio. With two
// wake-ups for each accepted connection a host used a tenth more processor time.
type pollBarrier struct {
	// wake is the peer of a socket that the poller reads.
	wake net.Conn
	// stopped is closed when the poller may have ended.
	stopped chan struct{}
	once    sync.Once
	writes  *writeTracker
	// seenFailed is the number of failed writes covered by the last completed wait.
	seenFailed atomic.Int64

	mu sync.Mutex
	// waiting holds those that wait for a wake-up byte written after they arrived; passing
	// holds those that wait for a second byte, which the poller itself wrote after the first
	// and which is therefore in a later batch.
	waiting, passing []chan struct{}
}

// newPollBarrier returns the barrier of an engine with one poller, which must be running.
func newPollBarrier(engine *nbio.Engine, writes *writeTracker) (*pollBarrier, error) {
	wake, read, err := socketPair()
	if err != nil {
		return nil, err
	}
	b := &pollBarrier{wake: wake, stopped: make(chan struct{}), writes: writes}
	conn, err := nbio.NBConn(read)
	if err != nil {
		_ = wake.Close()
		return nil, errors.Wrap(err, "pass a socket to the poller")
	}
	conn.SetSession(b) // Server.read recognizes the socket by it
	if _, err := engine.AddConn(conn); err != nil {
		_ = wake.Close()
		return nil, errors.Wrap(err, "register a socket with the poller")
	}
	return b, nil
}

// socketPair returns two connected sockets.
func socketPair() (a, b net.Conn, err error) {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, nil, errors.Wrap(err, "create a socket pair")
	}
	var conns [2]net.Conn
	for i, fd := range fds {
		f := os.NewFile(uintptr(fd), "poll barrier")
		conn, connErr := net.FileConn(f)
		_ = f.Close() // FileConn duplicates the descriptor
		if connErr != nil && err == nil {
			err = errors.Wrap(connErr, "use a socket pair")
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

// await returns when the poller has handled all events that it had fetched before the call, or
// when the server stops. It returns at once if nbio has closed no connection since the last
// wait and is not about to.
func (b *pollBarrier) await() {
	// The order matters: a failed write that is no longer ongoing has already been counted.
	idle := b.writes.ongoing.Load() == 0
	failed := b.writes.failed.Load()
	if idle && failed == b.seenFailed.Load() {
		return
	}
	if b.wait() {
		b.seenFailed.Store(failed)
	}
}

// wait returns after two rounds of the poller; false if the server stops.
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

// read consumes the bytes that wakePoller wrote. It runs on the poller, at most once per
// batch, since a batch has one event per connection.
func (b *pollBarrier) read(c *nbio.Conn, buffer []byte) {
	n, err := c.Read(buffer)
	if n > 0 {
		b.nextRound()
		return
	}
	if err == nil || errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) {
		return
	}
	// The poller can no longer be woken, so nobody may wait for it.
	log.Error().Str("event", "poll-barrier-failed").Err(err).Send()
	b.stop()
	_ = c.CloseWithError(err)
}

// nextRound begins another round. Those in waiting may have arrived in the middle of this
// batch. Those in passing arrived before the end of an earlier batch, whose events have all
// been handled.
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

// wakePoller makes the poller fetch another batch. The caller holds b.mu. At most two bytes
// are unread, so the write does not block.
func (b *pollBarrier) wakePoller() {
	if _, err := b.wake.Write([]byte{0}); err != nil && !b.isStopped() {
		log.Error().Str("event", "poll-barrier-failed").Err(err).Send()
	}
}

// stop releases all that wait.
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
