package instance

import (
	"testing"
	"time"
)

// ofVersion returns an announcement of a server of the service pool.
func ofVersion(id, version string, started, seq uint64, port string) Announcement {
	return Announcement{ID: id, Started: started, Service: "pool", Address: "10.0.0.1:" + port, Version: version, Slots: 1, Seq: seq}
}

// Guards against taking a service for one of a single software version while streams of another one may go
// on: the servers of that one have ended, or came back under their IDs with the new one.
func TestSoleVersionRemembersFormerVersions(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(Config{Host: "h"})
	want := func(at time.Time, version string, ok bool, when string) {
		t.Helper()
		if got, sole := r.SoleVersion(at, "pool"); sole != ok || got != version {
			t.Errorf("%s: got %q, %v, want %q, %v", when, got, sole, version, ok)
		}
	}
	want(now, "", false, "no server is known")
	r.Announce(now, ofVersion("a", "v1", 1, 1, "1"))
	r.Announce(now, ofVersion("b", "v1", 1, 1, "2"))
	want(now, "v1", true, "all servers run v1")
	r.Announce(now, ofVersion("c", "v2", 1, 1, "3"))
	want(now, "", false, "one runs v2")
	r.EndCurrent(now, "c")
	want(now, "", false, "it has ended")
	r.Announce(now.Add(DefaultForget-1), ofVersion("a", "v1", 1, 2, "1"))
	r.Announce(now.Add(DefaultForget-1), ofVersion("b", "v1", 1, 2, "2"))
	now = now.Add(DefaultForget)
	r.Expire(now)
	want(now, "v1", true, "it is forgotten")
	r.Announce(now, ofVersion("a", "v3", 2, 1, "1"))
	r.Announce(now, ofVersion("b", "v3", 2, 1, "2"))
	want(now, "", false, "all servers have come back with v3")
	want(now.Add(DefaultForget), "v3", true, "and v1 is forgotten")
}

// Guards against hosts that do not hear of the version of a server that has changed it within one
// incarnation, as servers seem to do that do not report when they started.
func TestChangedVersionIsPassedOn(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(Config{Host: "h"})
	r.Announce(now, ofVersion("a", "v1", 0, 1, "1"))
	if !r.Announce(now, ofVersion("a", "v2", 0, 2, "1")) {
		t.Error("the peers are not told")
	}
	if got, ok := r.SoleVersion(now, "pool"); ok {
		t.Errorf("%q counts as the only version", got)
	}
}
