package httpserver

import (
	"net"
	"os"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"
	"github.com/rs/zerolog/log"
	"golang.org/x/sys/unix"
)

const (
	// cpusPerPoller is for how many processors there is one goroutine that reads.
	cpusPerPoller = 4
	// batchLimit bounds the wait for the pollers' batches. It is far over what a batch
	// takes; a poller that is stuck for longer must not keep new callers out of the others.
	batchLimit = time.Second
)

// pollers waits until each of nbio's pollers has dealt with the events that it holds.
//
// What goes wrong without it: nbio keeps connections by their descriptor's number, and a
// poller fetches events in batches. While a poller is held up, another goroutine closes a
// connection of which the batch still says that its caller has gone; the number is given
// to the next connection that is accepted; the poller goes on and takes the old event for
// the new connection, reads its request, hands it to a handler and closes it. One would
// notice callers whose connection is closed without an answer as their request goes to a
// server, at hosts short of processor time where callers come and go. A connection that
// is known to nbio only after all batches that are older than its number can't be met by
// such an event.
type pollers struct {
	ticks []*tick
	// waiting: a new connection waits for the batches.
	waiting atomic.Bool
	stopped chan struct{}
}

// numPollers is how many pollers a server has.
func numPollers() int { return max(1, runtime.NumCPU()/cpusPerPoller) }

// tick is a connection of the process with itself that a poller reads. What is read from
// it after a byte was written comes in a later batch than that which the poller held.
type tick struct {
	write net.Conn
	read  *nbio.Conn
	heard chan struct{}
}

var _ nbhttp.ParserCloser = (*tick)(nil)

// Parse implements nbhttp.ParserCloser on the poller's goroutine.
func (t *tick) Parse([]byte) error {
	select {
	case t.heard <- struct{}{}:
	default:
	}
	return nil
}

// UnderlayerConn implements nbhttp.ParserCloser.
func (t *tick) UnderlayerConn() net.Conn { return t.read }

// CloseAndClean implements nbhttp.ParserCloser.
func (t *tick) CloseAndClean(error) { _ = t.write.Close() }

// newPollers gives each of the engine's pollers a tick.
func newPollers(e *nbhttp.Engine, n int) (*pollers, error) {
	p := &pollers{ticks: make([]*tick, n), stopped: make(chan struct{})}
	var surplus []*tick
	defer func() {
		for _, t := range surplus {
			_ = t.read.Close()
			_ = t.write.Close()
		}
	}()
	for missing := n; missing > 0; {
		t, err := newTick()
		if err != nil {
			return nil, err
		}
		// nbio chooses the poller by this hash.
		i := t.read.Hash() % n
		if p.ticks[i] != nil {
			surplus = append(surplus, t)
			continue
		}
		p.ticks[i] = t
		missing--
		t.read.SetSession(t)
		t.read.OnData(e.DataHandler)
		if _, err := e.AddConn(t.read); err != nil {
			return nil, errors.Wrap(err, "watch a poller")
		}
	}
	return p, nil
}

func newTick() (*tick, error) {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Wrap(err, "pair of sockets")
	}
	write, err := fileConn(fds[0])
	if err != nil {
		_ = unix.Close(fds[1])
		return nil, err
	}
	read, err := fileConn(fds[1])
	if err != nil {
		_ = write.Close()
		return nil, err
	}
	nc, err := nbio.NBConn(read)
	if err != nil {
		_ = write.Close()
		return nil, errors.Wrap(err, "pair of sockets")
	}
	return &tick{write: write, read: nc, heard: make(chan struct{}, 1)}, nil
}

// fileConn makes a connection of a descriptor, which it takes over.
func fileConn(fd int) (net.Conn, error) {
	f := os.NewFile(uintptr(fd), "poller")
	defer func() { _ = f.Close() }()
	c, err := net.FileConn(f)
	return c, errors.Wrap(err, "pair of sockets")
}

// passBatches returns once each poller has begun a new batch. One goroutine at a time may
// call it: the one that accepts.
func (p *pollers) passBatches() {
	p.waiting.Store(true)
	defer p.waiting.Store(false)
	limit := time.NewTimer(batchLimit)
	defer limit.Stop()
	for _, t := range p.ticks {
		select {
		case <-t.heard: // of a wait that was given up
		default:
		}
		if _, err := t.write.Write([]byte{0}); err != nil {
			return // closed with the server
		}
	}
	for _, t := range p.ticks {
		select {
		case <-t.heard:
		case <-p.stopped:
			return
		case <-limit.C:
			log.Warn().Str("event", "poller-stuck").Dur("waited", batchLimit).Send()
			return
		}
	}
}

// stop ends waits.
func (p *pollers) stop() { close(p.stopped) }
