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

// retryAfterNotReady is the time after which a caller may retry a host that has no settings
// yet.
const retryAfterNotReady = time.Second

// contactValidity is how long the settings count as the newest after a quorum confirmed them. A
// watcher leaves a source that confirms nothing for that long; elections take a second.
const contactValidity = 5 * time.Second

// Watcher streams the settings tree, from a replica or through a peer, until ctx
// ends, the stream breaks or fn fails.
type Watcher interface {
	Watch(ctx context.Context, fromRevision uint64, fn func(*pb.WatchEvent) error) error
}

// Evacuations holds the evacuated availability zones; *evacuations.View implements it.
type Evacuations interface {
	Current() *pb.Evacuations
	Merge(offered *pb.Evacuations, from string) (changed bool)
}

// Controller holds the view in force at this host. It implements filter.Settings.
type Controller struct {
	watcher Watcher
	log     zerolog.Logger
	now     func() time.Time
	// evacuations gets the evacuated zones in the watched events; may be nil.
	evacuations Evacuations

	view atomic.Pointer[settings.View]
	// confirmed is the time of the quorum's last known confirmation; nil before the first.
	confirmed atomic.Pointer[time.Time]

	mu      sync.Mutex
	recent  changeLog
	changed chan struct{} // closed and replaced at every newer view
}

// New returns a Controller with an empty view. Run must be called to fill it.
func New(w Watcher, log zerolog.Logger, now func() time.Time) *Controller {
	c := &Controller{watcher: w, log: log, now: now, changed: make(chan struct{})}
	c.view.Store(settings.NewView())
	return c
}

// SetEvacuations sets where the evacuated zones in the watched events go. It must be called before Run.
func (c *Controller) SetEvacuations(e Evacuations) { c.evacuations = e }

// evacuated returns the evacuated zones for a relayed event.
func (c *Controller) evacuated() *pb.Evacuations {
	if c.evacuations == nil {
		return nil
	}
	return c.evacuations.Current()
}

// evacuationSource is the source of evacuated zones in log lines.
const evacuationSource = "settings watch"

// Run watches the settings until ctx ends. After every break it watches again, with
// exponential backoff.
func (c *Controller) Run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = 50 * time.Millisecond
	retry.MaxInterval = time.Second
	for ctx.Err() == nil {
		err := c.watcher.Watch(ctx, c.Revision(), func(e *pb.WatchEvent) error {
			retry.Reset()
			return c.apply(e)
		})
		if ctx.Err() != nil {
			return
		}
		c.log.Debug().Err(err).Uint64("revision", c.Revision()).Msg("settings watch ended; watching again")
		select {
		case <-ctx.Done():
		case <-time.After(retry.NextBackOff()):
		}
	}
}

// apply applies one event. An event that does not follow the view ends the watch, so that
// the next watch starts from the revision of the view.
func (c *Controller) apply(e *pb.WatchEvent) error {
	next, err := advance(c.view.Load(), e)
	if err != nil {
		return err
	}
	if next.Revision() < e.Revision {
		return errors.Errorf("event of revision %d has changes up to revision %d only", e.Revision, next.Revision())
	}
	if c.evacuations != nil {
		c.evacuations.Merge(e.Evacuations, evacuationSource)
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

// markConfirmed records when a quorum confirmed the settings, given the age of the
// confirmation at the sender. If that age were ignored, two hosts that watch each other
// would confirm each other forever, and neither would notice that the control group is
// unreachable.
func (c *Controller) markConfirmed(age time.Duration) {
	at := c.now().Add(-age)
	if last := c.confirmed.Load(); last == nil || at.After(*last) {
		c.confirmed.Store(&at)
	}
}

// advance returns the view after the event, which is never older than v.
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

// notifyChanged records the event's changes and closes the channel returned by Changed. It is
// only called for a newer view: if it were called for every event, two hosts that relay to each
// other would send events back and forth without end, each keeping a CPU core busy.
func (c *Controller) notifyChanged(from uint64, e *pb.WatchEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent.advance(from, e)
	close(c.changed)
	c.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next newer view.
func (c *Controller) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// changesAfter returns the changes from a revision to the view in force; ok is false if not all
// of them are kept.
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

// ContactAge returns the time since a quorum last confirmed the view; ok is false if none has
// done so yet.
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
		return errkind.New(errkind.HostNotReady, "this host can't currently confirm that it has the newest settings").After(retryAfterNotReady)
	}
	return nil
}

// Ready implements filter.Settings. It returns nil once a quorum has confirmed a
// revision; if the fleet's settings have a StaleAfter, only while the confirmation is
// not older than that.
func (c *Controller) Ready() error {
	age, ok := c.ContactAge()
	if !ok {
		return errkind.New(errkind.HostNotReady, "no settings confirmed by the control group yet").After(retryAfterNotReady)
	}
	limit := c.Fleet().StaleAfter.Std()
	if limit > 0 && age > limit {
		return errkind.New(errkind.HostNotReady, "the control group has been unreachable for %s, longer than the limit of %s",
			age.Round(time.Millisecond), limit).After(retryAfterNotReady)
	}
	return nil
}
