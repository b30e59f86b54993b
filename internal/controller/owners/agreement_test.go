package owners

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/controller/members"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// hostView is a table whose peers a test changes.
type hostView struct {
	*Table
	peers []members.PeerInfo
}

func newHostView(self string, peers ...members.PeerInfo) *hostView {
	v := &hostView{peers: peers}
	v.Table = New(Config{
		Self:  func() (Host, bool) { return Host{Name: self, Incarnation: 1}, true },
		Peers: func() []members.PeerInfo { return v.peers },
	})
	v.ViewDigest()
	return v
}

func alive(name string, incarnation uint64) members.PeerInfo {
	return members.PeerInfo{
		Host: name, Incarnation: incarnation, CallerAddress: "c", PeerAddress: "p-" + name, Health: pb.HostHealth_HOST_HEALTH_ALIVE,
	}
}

// Guards against two owners: a host takes the fleet to agree on its view although another host has, or had when
// it was asked, another one.
func TestHostsAgreeOnlyOnTheSameView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newHostView("a", alive("b", 1), alive("c", 1))
		b := newHostView("b", alive("a", 1), alive("c", 1))
		c := newHostView("c", alive("a", 1), alive("b", 1))
		time.Sleep(time.Second)
		a.RecordViewDigest("b", b.ViewDigest(), time.Now())
		time.Sleep(time.Second)
		if d := a.AgreedFor(); d != 0 {
			t.Errorf("agreed for %v without word of c", d)
		}
		a.RecordViewDigest("c", c.ViewDigest(), time.Now())
		time.Sleep(time.Second)
		a.RecordViewDigest("b", b.ViewDigest(), time.Now())
		if d := a.AgreedFor(); d != time.Second {
			t.Errorf("agreed for %v, want 1s", d)
		}

		c.peers = []members.PeerInfo{alive("a", 1), alive("b", 2)}
		a.RecordViewDigest("c", c.ViewDigest(), time.Now())
		if d := a.AgreedFor(); d != 0 {
			t.Errorf("agreed for %v although c knows another incarnation of b", d)
		}
		asked := time.Now()
		time.Sleep(time.Second)
		a.peers = []members.PeerInfo{alive("b", 2), alive("c", 1)}
		b.peers = []members.PeerInfo{alive("a", 1), alive("c", 1)}
		a.ViewDigest()
		a.RecordViewDigest("c", c.ViewDigest(), asked)
		a.RecordViewDigest("b", a.ViewDigest(), time.Now())
		time.Sleep(time.Second)
		if d := a.AgreedFor(); d != 0 {
			t.Errorf("agreed for %v by an answer from before the view", d)
		}
		a.RecordViewDigest("c", c.ViewDigest(), time.Now())
		time.Sleep(time.Second)
		if d := a.AgreedFor(); d != time.Second {
			t.Errorf("agreed for %v, want 1s", d)
		}
	})
}

// Guards against a host that takes the fleet to agree while some of it may be cut off, or before it knows any
// other host.
func TestHostsDoNotAgreeWhileOneIsNotAlive(t *testing.T) {
	for _, health := range []pb.HostHealth{pb.HostHealth_HOST_HEALTH_SUSPECT, pb.HostHealth_HOST_HEALTH_DEAD} {
		lost := alive("c", 1)
		lost.Health = health
		a, b := newHostView("a", alive("b", 1), lost), newHostView("b", alive("a", 1), lost)
		a.RecordViewDigest("b", b.ViewDigest(), time.Now())
		a.RecordViewDigest("c", b.ViewDigest(), time.Now())
		time.Sleep(time.Millisecond)
		if a.ViewDigest() != 0 || a.AgreedFor() != 0 {
			t.Errorf("%v: agreed for %v", health, a.AgreedFor())
		}
	}
	if lone := newHostView("a"); lone.ViewDigest() != 0 || lone.AgreedFor() != 0 {
		t.Error("a host that knows no other agrees with itself")
	}
}
