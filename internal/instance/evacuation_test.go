package instance

import (
	"testing"
	"time"
)

// Guards against a server of an evacuated zone that gets requests because it announces itself again,
// started after the order, or moved there.
func TestEvacuatedInstancesAreNotServing(t *testing.T) {
	r, now := New(Config{}), time.Unix(1000, 0)
	in := func(zone, id string, seq uint64) Announcement {
		a := ready(id, seq)
		a.Zone, a.Address = zone, "10.0.0."+id[1:]+":80"
		return a
	}
	r.Announce(now, in("a", "i1", 1))
	r.Announce(now, in("b", "i2", 1))
	r.SetEvacuated(map[string]bool{"a": true})
	want(t, r, "i2")
	r.Announce(now, in("a", "i1", 2))
	r.Announce(now, in("a", "i3", 1))
	want(t, r, "i2")
	r.Announce(now, in("a", "i2", 2))
	want(t, r)
	if n := r.Evacuated(ready("i1", 1).Service); n != 3 {
		t.Errorf("%d instances are evacuated, want 3", n)
	}
	draining := in("a", "i1", 3)
	draining.Draining = true
	r.Announce(now, draining)
	r.SetEvacuated(map[string]bool{})
	want(t, r, "i2", "i3")
	if n := r.Evacuated(ready("i1", 1).Service); n != 0 {
		t.Errorf("%d instances are evacuated, want none", n)
	}
}
