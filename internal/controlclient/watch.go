package controlclient

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/bootclock"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// silenceTimeout is how long a source may send nothing before another is tried; a
	// replica sends at least every second.
	silenceTimeout = 3 * time.Second
	// unconfirmedTimeout is how long a source may send only unconfirmed events before
	// another is tried: it may be cut off from the quorum.
	unconfirmedTimeout = 5 * time.Second
	watchRetryDelay    = 200 * time.Millisecond
)

var (
	errSilent      = errors.New("controlclient: the watched source sent nothing within the silence timeout")
	errUnconfirmed = errors.New("controlclient: the watched source did not confirm its revision")
)

// callbackError wraps an error returned by the watcher's own function.
type callbackError struct{ err error }

// Error implements error.
func (e *callbackError) Error() string { return e.err.Error() }

// Watch calls fn with the settings from fromRevision on (0: starting with a whole
// tree), in increasing revision order, until ctx ends or fn fails. fn also receives
// events without changes, which show that the source is reachable and whether a quorum
// recently confirmed the revision.
func (c *Client) Watch(ctx context.Context, fromRevision uint64, fn func(*pb.WatchEvent) error) error {
	w := &watcher{c: c, revision: fromRevision, started: fromRevision > 0, fn: fn, now: bootclock.Now}
	for ctx.Err() == nil {
		for _, target := range c.sources() {
			err := w.follow(ctx, target)
			var own *callbackError
			if errors.As(err, &own) {
				return own.err
			}
			if ctx.Err() != nil {
				return ctx.Err()
			}
		}
		select {
		case <-time.After(watchRetryDelay):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// sources returns where to watch, best first: the replica in this process, the others
// in turn, then the relays.
func (c *Client) sources() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	if c.local != nil {
		out = append(out, localTarget)
	}
	c.next++
	known := c.replicaAddresses()
	for i := range known {
		out = append(out, known[(c.next+i)%len(known)])
	}
	return append(out, c.relays()...)
}

// watcher follows one source after another.
type watcher struct {
	c        *Client
	revision uint64
	started  bool // the watcher has a whole tree
	fn       func(*pb.WatchEvent) error
	// now is the clock by which the pauses between two events are measured. It goes on while the machine is suspended.
	now func() time.Time
}

// receive waits for the next event of a source.
type receive func() (*pb.WatchEvent, error)

// follow follows one source until it fails, becomes unresponsive or stays unconfirmed.
func (w *watcher) follow(ctx context.Context, target string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A suspended source accepts the connection but sends nothing; without the timer,
	// opening the stream would wait as long as gRPC waits for a connection, 20 seconds.
	silent := time.AfterFunc(silenceTimeout, cancel)
	defer silent.Stop()
	recv, err := w.open(ctx, target)
	if err != nil {
		w.c.drop(target)
		return err
	}
	heard, confirmed := w.now(), time.Now()
	for {
		e, err := recv()
		if err != nil {
			w.c.drop(target)
			return err
		}
		silence := w.now().Sub(heard)
		if !silent.Reset(silenceTimeout) || silence > silenceTimeout {
			// What is read after a standstill of this host or a suspension may have waited since it began.
			return errSilent
		}
		heard = heard.Add(silence)
		if w.confirms(e) {
			confirmed = time.Now()
		}
		if err := w.deliver(e); err != nil {
			return err
		}
		if time.Since(confirmed) > unconfirmedTimeout {
			return errUnconfirmed
		}
	}
}

// confirms reports whether an event shows that its source is in contact with the quorum
// and not older than the watcher. A relay that was cut off keeps reporting when it last
// had contact with the quorum, so two relays that follow each other would do so
// indefinitely; a source that is behind confirms a revision that the watcher has
// already left.
func (w *watcher) confirms(e *pb.WatchEvent) bool {
	age := time.Duration(e.ConfirmedAgeMs) * time.Millisecond
	return e.Confirmed && age < unconfirmedTimeout && e.Revision >= w.revision
}

func (w *watcher) open(ctx context.Context, target string) (receive, error) {
	if target == localTarget {
		sub := w.c.local.Subscribe(w.revision)
		return func() (*pb.WatchEvent, error) { return sub.Next(ctx) }, nil
	}
	svc, err := w.c.service(target)
	if err != nil {
		return nil, err
	}
	stream, err := svc.Watch(ctx, &pb.WatchRequest{FromRevision: w.revision})
	if err != nil {
		return nil, err
	}
	return stream.Recv, nil
}

// deliver passes an event to fn, without changes that the watcher already has.
func (w *watcher) deliver(e *pb.WatchEvent) error {
	if e.Revision < w.revision {
		return nil // the source is behind
	}
	if e.Revision == w.revision && w.started {
		e = &pb.WatchEvent{
			Revision: e.Revision, Confirmed: e.Confirmed, ConfirmedAgeMs: e.ConfirmedAgeMs, Evacuations: e.Evacuations,
		}
	}
	var fresh []*pb.ConfigChange
	for _, change := range e.Changes {
		if change.Revision > w.revision {
			fresh = append(fresh, change)
		}
	}
	e.Changes = fresh
	if err := w.fn(e); err != nil {
		return &callbackError{err}
	}
	w.revision = e.Revision
	w.started = true
	return nil
}
