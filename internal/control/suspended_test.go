package control

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// suspendableClock is the clock of a machine, which stands still or goes on while the machine is suspended.
type suspendableClock struct {
	mu sync.Mutex
	// goesOn is whether suspensions count, since when the machine is suspended; zero: it isn't.
	goesOn bool
	since  time.Time
	lost   time.Duration
}

func (k *suspendableClock) now() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if !k.since.IsZero() {
		now = k.since // nothing reads it meanwhile but what the test can't stop
	}
	return now.Add(-k.lost)
}

func (k *suspendableClock) suspend() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.since = time.Now()
}

func (k *suspendableClock) resume() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.goesOn {
		k.lost += time.Since(k.since)
	}
	k.since = time.Time{}
}

func mustPropose(t *testing.T, h *host, command *pb.Command) {
	t.Helper()
	if _, err := h.r.Propose(testutil.Within(t, backWithin), command); err != nil {
		t.Errorf("%s: %v", h.address, err)
	}
}

// readAfterSuspension has the leader's machine suspended while another leader commits, and returns what the former leader
// answers to a read right after it has resumed, before it hears of the others.
func readAfterSuspension(t *testing.T, goesOn bool) (value string, err error) {
	clocks := map[string]*suspendableClock{}
	edit := func(cfg *Config) {
		k := &suspendableClock{goesOn: goesOn}
		clocks[cfg.Host], cfg.Now = k, k.now
	}
	withCluster(t, edit, func(t *testing.T, c *cluster) {
		suspended := c.leader()
		mustPropose(t, suspended, set("before", "/a", "before"))
		clocks[suspended.address].suspend()
		c.isolate(suspended, true)
		time.Sleep(backWithin)
		for _, h := range c.hosts {
			if _, _, leads := h.r.Leading(); leads && h != suspended {
				mustPropose(t, h, set("after", "/a", "after"))
			}
		}
		clocks[suspended.address].resume()
		var res *pb.QueryResult
		res, err = suspended.r.Read(context.Background(), get("/a"))
		value = string(res.GetValueJson())
	})
	return value, err
}

// Guards against a read that is answered with what was replaced seconds before: the leader's machine was suspended, and its
// lease was measured by a clock that stood still meanwhile.
func TestLeaderOfASuspendedMachineAnswersNoRead(t *testing.T) {
	if value, err := readAfterSuspension(t, true); err == nil {
		t.Errorf("the read returned %q", value)
	}
}

// A clock that stands still is why the test above needs one that goes on: with it the suspended leader answers.
func TestStoppedClockOutlastsTheLease(t *testing.T) {
	if value, err := readAfterSuspension(t, false); err != nil || value != "before" {
		t.Errorf("got %q, %v: a lease is measured otherwise by now, and Config.Now asks for too much", value, err)
	}
}
