package assign

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// Guards against an owner that assigns a server to requests of a host for which the server is
// cooling down.
func TestOwnerDoesNotAssignCoolingServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, "a", "b", "c")
		l := f.acquire(t, "b", prompt(7, 1, 100, 100))
		l.CoolDown(3*time.Second, "r")
		l.Done(balance.Shed)
		time.Sleep(2 * reportDelay)
		for end := time.Now().Add(2900 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			next := f.acquire(t, "b", prompt(7, 2, 100, 100))
			if next.Choice().Instance.ID == l.Choice().Instance.ID {
				t.Fatal("the server was chosen for the host for which it is cooling down")
			}
			// Other hosts may still use the server, but it is likely to be full for them as well.
			other := f.acquire(t, "c", prompt(7, 3, 100, 100))
			if other.Choice().Instance.ID == l.Choice().Instance.ID {
				t.Fatal("the server was chosen for another host although other servers have shed no request")
			}
			next.Done(balance.Served)
			other.Done(balance.Served)
		}
	})
}

// Guards against a refusal whose Retry-After is that of another host, or a general one, while all
// servers are cooling down for the host that got the request.
func TestRefusalRetryAfterIsCooldownOfAskingHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, "a", "b")
		for i := range 2 {
			f.local["b"].CoolDown(engine(i).Incarnation(), time.Duration(7+i)*time.Second, "r")
		}
		_, err := f.hosts["b"].Acquire(testutil.Within(t, acquireTimeout), prompt(7, 1, 100, 100))
		if e := errkind.From(err); e == nil || e.Ran() != errkind.RanNo || e.RetryAfter < 7*time.Second || e.RetryAfter > 7*time.Second+balance.ReturnSpread {
			t.Errorf("got %v, after %v", err, e.RetryAfter)
		}
	})
}
