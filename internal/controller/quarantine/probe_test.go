package quarantine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/quarantine"
)

// silentUntil returns a probe of a server whose machine is silent until end, and in the given state
// from then on.
func silentUntil(end time.Time, then engineclient.Liveness) func(context.Context, string, string) engineclient.Liveness {
	return func(ctx context.Context, _, _ string) engineclient.Liveness {
		if time.Now().Before(end) {
			<-ctx.Done()
			return engineclient.Unheard
		}
		return then
	}
}

// checkedLevel has a host check one broken connection. It returns the level of the request after that and
// how long the check took.
func checkedLevel(t *testing.T, silence time.Duration, then engineclient.Liveness) (level quarantine.Level, took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		h := newFleet(t, 1).hosts[0]
		began := time.Now()
		h.cfg.Probe = silentUntil(began.Add(silence), then)
		h.crash(poisonID, 1)
		level, took = h.level(poisonID), time.Since(began)
	})
	return level, took
}

// Guards against requests that are blamed for a crash because a sound server was silent for a moment.
func TestSilentServerHasNotCrashed(t *testing.T) {
	for silence := time.Duration(0); silence <= 1500*time.Millisecond; silence += 50 * time.Millisecond {
		if level, _ := checkedLevel(t, silence, engineclient.Alive); level != quarantine.Free {
			t.Errorf("silent for %v: %s", silence, level)
		}
	}
}

// Guards against a request that crashes servers again and again because no crash is recorded, or only
// when it has reached further servers.
func TestEndedServerIsDetectedSoon(t *testing.T) {
	for name, c := range map[string]struct {
		silence, within time.Duration
	}{
		"refuses connections":              {0, 50 * time.Millisecond},
		"machine restarts within a second": {time.Second, 1500 * time.Millisecond},
		"machine is lost":                  {time.Hour, 2500 * time.Millisecond},
	} {
		level, took := checkedLevel(t, c.silence, engineclient.Gone)
		if level != quarantine.Suspected || took > c.within {
			t.Errorf("%s: %s after %v", name, level, took)
		}
	}
}
