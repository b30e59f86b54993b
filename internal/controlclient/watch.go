package controlclient

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// silentAfter is how long a source may send nothing before it is given up;
	// a replica sends at least every second.
	silentAfter = 3 * time.Second
	// unconfirmedAfter is how long a source may send only unconfirmed events
	// before another is tried: it may be cut off from the quorum.
	unconfirmedAfter = 5 * time.Second
	watchPause       = 200 * time.Millisecond
)

var (
	errSilent      = errors.New("controlclient: the source sent nothing")
	errUnconfirmed = errors.New("controlclient: the source can't confirm its revision")
)

// callbackError carries an error of the watcher's own function.
type callbackError struct{ err error }

// Error implements error.
func (e *callbackError) Error() string { return e.err.Error() }

// Watch calls fn with the settings from fromRevision on (0: from a whole tree),
// in revision order and never going back, until ctx ends or fn fails. fn also
// gets events without changes, which say that the source was heard and whether
// the revision was confirmed by a quorum within the last moments.
func (c *Client) Watch(ctx context.Context, fromRevision uint64, fn func(*pb.WatchEvent) error) error {
	w := &watcher{c: c, revision: fromRevision, started: fromRevision > 0, fn: fn}
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
		case <-time.After(watchPause):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// sources lists where to watch, best first: the replica in this process, the
// others in turn, then the relays.
func (c *Client) sources() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	if c.local != nil {
		out = append(out, localTarget)
	}
	c.next++
	known := c.known()
	for i := range known {
		out = append(out, known[(c.next+i)%len(known)])
	}
	return append(out, c.relays()...)
}

// watcher follows one source after another.
type watcher struct {
	c        *Client
	revision uint64
	started  bool // a whole tree is held
	fn       func(*pb.WatchEvent) error
}

// receive waits for the next event of a source.
type receive func() (*pb.WatchEvent, error)

// follow follows one source until it fails, falls silent or stays unconfirmed.
func (w *watcher) follow(ctx context.Context, target string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A source that is frozen takes the connection and says nothing; without the timer
	// the opening would wait for it as long as gRPC waits for a connection, 20 seconds.
	silent := time.AfterFunc(silentAfter, cancel)
	defer silent.Stop()
	recv, err := w.open(ctx, target)
	if err != nil {
		w.c.drop(target)
		return err
	}
	confirmed := time.Now()
	for {
		e, err := recv()
		if err != nil {
			w.c.drop(target)
			return err
		}
		if !silent.Reset(silentAfter) {
			return errSilent
		}
		if w.confirms(e) {
			confirmed = time.Now()
		}
		if err := w.deliver(e); err != nil {
			return err
		}
		if time.Since(confirmed) > unconfirmedAfter {
			return errUnconfirmed
		}
	}
}

// confirms tells whether an event shows that its source is in contact with the quorum
// and no older than the watcher. A relay that was cut off goes on saying when it last
// heard the quorum, and two relays that follow each other would keep each other for
// good; one that is behind confirms what the watcher no longer holds.
func (w *watcher) confirms(e *pb.WatchEvent) bool {
	age := time.Duration(e.ConfirmedAgeMs) * time.Millisecond
	return e.Confirmed && age < unconfirmedAfter && e.Revision >= w.revision
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

// deliver hands an event on, without what the watcher has already.
func (w *watcher) deliver(e *pb.WatchEvent) error {
	if e.Revision < w.revision {
		return nil // a source that is behind
	}
	if e.Revision == w.revision && w.started {
		e = &pb.WatchEvent{Revision: e.Revision, Confirmed: e.Confirmed, ConfirmedAgeMs: e.ConfirmedAgeMs}
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
