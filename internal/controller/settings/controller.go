package settings

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// retryAfterNotReady is when a caller may try a host again that has no settings yet.
const retryAfterNotReady = time.Second

// contactValidity is how long after a quorum's word the settings count as the newest: a watcher
// leaves a source that confirms nothing for as long, and elections take a second.
const contactValidity = 5 * time.Second

// Watcher streams the settings tree, from a replica or through a peer, until ctx
// ends, the stream breaks or fn fails.
type Watcher interface {
	Watch(ctx context.Context, fromRevision uint64, fn func(*pb.WatchEvent) error) error
}

// Controller holds the view in force at this host. It implements filter.Settings.
type Controller struct {
	watcher Watcher
	log     zerolog.Logger
	now     func() time.Time

	view atomic.Pointer[settings.View]
	// confirmed is when the last event confirmed by a quorum came; nil before the first.
	confirmed atomic.Pointer[time.Time]

	mu      sync.Mutex
	recent  changeLog
	changed chan struct{} // closed and replaced with every newer view
}

// New makes a controller with an empty view; call Run.
func New(w Watcher, log zerolog.Logger, now func() time.Time) *Controller {
	c := &Controller{watcher: w, log: log, now: now, changed: make(chan struct{})}
	c.view.Store(settings.NewView())
	return c
}

// Run watches until ctx ends, again after every break, with growing pauses.
func (c *Controller) Run(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = 50 * time.Millisecond
	pause.MaxInterval = time.Second
	for ctx.Err() == nil {
		err := c.watcher.Watch(ctx, c.Revision(), func(e *pb.WatchEvent) error {
			pause.Reset()
			return c.apply(e)
		})
		if ctx.Err() != nil {
			return
		}
		c.log.Debug().Err(err).Uint64("revision", c.Revision()).Msg("settings watch broke")
		select {
		case <-ctx.Done():
		case <-time.After(pause.NextBackOff()):
		}
	}
}

// apply applies one event. An event that does not fit ends the watch, so that the
// next one starts from the revision held.
func (c *Controller) apply(e *pb.WatchEvent) error {
	next, err := advance(c.view.Load(), e)
	if err != nil {
		return err
	}
	if next.Revision() < e.Revision {
		return errors.Errorf("event of revision %d carries changes up to %d only", e.Revision, next.Revision())
	}
	if e.Confirmed {
		c.markConfirmed(time.Duration(e.ConfirmedAgeMs) * time.Millisecond)
	}
	if from := c.view.Load(); next != from {
		c.view.Store(next)
		c.notifyChanged(from.Revision(), e)
		c.log.Info().Uint64("revision", next.Revision()).Bool("confirmed", e.Confirmed).Msg("settings in force")
	}
	return nil
}

// markConfirmed notes when the quorum's word was given. Its age at the sender counts:
// without it two hosts that watch each other would markConfirmed each other for ever, and
// neither would notice that the control group is out of reach.
func (c *Controller) markConfirmed(age time.Duration) {
	at := c.now().Add(-age)
	if last := c.confirmed.Load(); last == nil || at.After(*last) {
		c.confirmed.Store(&at)
	}
}

// advance returns the view after the event, never an older one.
func advance(v *settings.View, e *pb.WatchEvent) (*settings.View, error) {
	if len(e.SnapshotJson) > 0 {
		snap, err := settings.ViewFromSnapshot(e.SnapshotJson)
		if err != nil {
			return nil, err
		}
		if snap.Revision() > v.Revision() {
			v = snap
		}
	}
	return v.Apply(e.Changes)
}

// notifyChanged wakes whoever waits in Changed. Only a newer view is announced: if every
// event were, two hosts that relay to each other would send to and fro without end,
// seen as a busy core on both.
func (c *Controller) notifyChanged(from uint64, e *pb.WatchEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent.advance(from, e)
	close(c.changed)
	c.changed = make(chan struct{})
}

// Changed returns a channel that is closed with the next newer view.
func (c *Controller) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// changesAfter are the changes from a revision to the view in force, if all are kept.
func (c *Controller) changesAfter(revision uint64) (changes []*pb.ConfigChange, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recent.after(revision)
}

// View returns the view in force.
func (c *Controller) View() *settings.View { return c.view.Load() }

// AccountByKey implements filter.Settings.
func (c *Controller) AccountByKey(hash string) (string, *settings.Account, bool) {
	return c.view.Load().AccountByKey(hash)
}

// Team implements filter.Settings.
func (c *Controller) Team(name string) (*settings.Team, bool) { return c.view.Load().Team(name) }

// Fleet implements filter.Settings.
func (c *Controller) Fleet() settings.Fleet { return c.view.Load().Fleet() }

// Revision implements filter.Settings.
func (c *Controller) Revision() uint64 { return c.view.Load().Revision() }

// ContactAge is the time since a quorum last confirmed the view; ok is false before the first time.
func (c *Controller) ContactAge() (age time.Duration, ok bool) {
	at := c.confirmed.Load()
	if at == nil {
		return 0, false
	}
	return c.now().Sub(*at), true
}

// InContact implements filter.Settings.
func (c *Controller) InContact() error {
	if age, ok := c.ContactAge(); !ok || age > contactValidity {
		return errkind.New(errkind.HostNotReady, "this host can't tell at present whether it has the newest settings").After(retryAfterNotReady)
	}
	return nil
}

// Ready implements filter.Settings: nil once a quorum confirmed a revision, and,
// where the fleet's settings bound it, only while that is not too long ago.
func (c *Controller) Ready() error {
	age, ok := c.ContactAge()
	if !ok {
		return errkind.New(errkind.HostNotReady, "no settings confirmed by the control group yet").After(retryAfterNotReady)
	}
	limit := c.Fleet().StaleAfter.Std()
	if limit > 0 && age > limit {
		return errkind.New(errkind.HostNotReady, "out of contact with the control group for %s, over the bound of %s",
			age.Round(time.Millisecond), limit).After(retryAfterNotReady)
	}
	return nil
}
