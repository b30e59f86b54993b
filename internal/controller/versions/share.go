package versions

import (
	"context"
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/panics"
)

// retention is the age of a quorum's answer from which it is renewed: half of the time for which control hosts keep what
// they were told.
const retention = instance.DefaultForget / 2

// shareRetry is the shortest time between two attempts to have the control hosts know a version.
const shareRetry = time.Second

// sharing is what is known of the control hosts' knowledge of a version.
type sharing struct {
	// at is when the last question was sent that a quorum answered; zero: never.
	at time.Time
	// triedAt is when a quorum was last asked.
	triedAt time.Time
}

// Share implements relay.Versions.
func (k *Keeper) Share(ctx context.Context, service, version string) (shared bool, others []string) {
	n := named{service, version}
	s, now := k.sharingOf(n), k.cfg.Now()
	age := now.Sub(s.at)
	switch {
	case age < retention:
		return true, nil
	case now.Sub(s.triedAt) < shareRetry:
	case age < instance.DefaultForget:
		go k.renew(context.WithoutCancel(ctx), n)
	default:
		k.shareOnce(ctx, n)
		s = k.sharingOf(n)
	}
	// A host that has lost contact to the control hosts goes on with what they knew.
	if !s.at.IsZero() {
		return true, nil
	}
	return false, k.sharedVersions(service)
}

func (k *Keeper) renew(ctx context.Context, n named) {
	defer panics.Log(k.cfg.Log, "sharing a software version")
	k.shareOnce(ctx, n)
}

// shareOnce has the control hosts know a version; callers for the same version at the same time share one attempt.
func (k *Keeper) shareOnce(ctx context.Context, n named) {
	_, _, _ = k.sharing.Do(n.service+"\x00"+n.version, func() (any, error) {
		k.tryShare(context.WithoutCancel(ctx), n)
		return nil, nil
	})
}

func (k *Keeper) tryShare(ctx context.Context, n named) {
	asked := k.cfg.Now()
	t := k.ask(ctx, n.service, []string{n.version}, func(t *tally) bool { return t.acknowledged >= t.quorum })
	ok := t.acknowledged >= t.quorum
	k.record(n, asked, ok)
	event := k.cfg.Log.Info().Str("event", "version-shared")
	if !ok {
		k.metrics.notShared.Add(1)
		event = k.cfg.Log.Warn().Str("event", "version-not-shared")
	}
	event.Str("service", n.service).Str("version", n.version).Int("answered", t.acknowledged).Int("quorum", t.quorum).
		Dur("took", k.cfg.Now().Sub(asked)).Send()
}

// record records the outcome of a question that was sent at asked.
func (k *Keeper) record(n named, asked time.Time, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, known := k.shared[n]; !known && len(k.shared) >= maxKept {
		clear(k.shared)
	}
	s := k.shared[n]
	s.triedAt = asked
	if ok {
		s.at = asked
	}
	k.shared[n] = s
}

func (k *Keeper) sharingOf(n named) sharing {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.shared[n]
}

// sharedVersions returns the versions of a service that a quorum of the control hosts knows, in order.
func (k *Keeper) sharedVersions(service string) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []string
	for n, s := range k.shared {
		if n.service == service && !s.at.IsZero() {
			out = append(out, n.version)
		}
	}
	slices.Sort(out)
	return out
}
