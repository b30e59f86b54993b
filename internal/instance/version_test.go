package instance

import (
	"slices"
	"testing"
	"time"
)

// ofVersion returns an announcement of a server of the service pool.
func ofVersion(id, version string, started, seq uint64, port string) Announcement {
	return Announcement{ID: id, Started: started, Service: "pool", Address: "10.0.0.1:" + port, Version: version, Slots: 1, Seq: seq}
}

// Guards against taking a service for one of a single software version while streams of another one may go
// on: the servers of that one have ended, or came back under their IDs with the new one.
func TestVersionsIncludeFormerOnes(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(Config{Host: "h"})
	want := func(at time.Time, when string, versions ...string) {
		t.Helper()
		if got := r.Versions(at, "pool"); !slices.Equal(got, versions) {
			t.Errorf("%s: got %q, want %q", when, got, versions)
		}
	}
	want(now, "no server is known")
	r.Announce(now, ofVersion("a", "v1", 1, 1, "1"))
	r.Announce(now, ofVersion("b", "v1", 1, 1, "2"))
	want(now, "all servers run v1", "v1")
	r.Announce(now, ofVersion("c", "v2", 1, 1, "3"))
	want(now, "one runs v2", "v1", "v2")
	r.EndCurrent(now, "c")
	want(now, "it has ended", "v1", "v2")
	r.Announce(now.Add(DefaultForget-1), ofVersion("a", "v1", 1, 2, "1"))
	r.Announce(now.Add(DefaultForget-1), ofVersion("b", "v1", 1, 2, "2"))
	now = now.Add(DefaultForget)
	r.Expire(now)
	want(now, "it is forgotten", "v1")
	r.Announce(now, ofVersion("a", "v3", 2, 1, "1"))
	r.Announce(now, ofVersion("b", "v3", 2, 1, "2"))
	want(now, "all servers have come back with v3", "v1", "v3")
	want(now.Add(DefaultForget), "and v1 is forgotten", "v3")
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
	if got := r.Versions(now, "pool"); !slices.Equal(got, []string{"v1", "v2"}) {
		t.Errorf("the versions are %q", got)
	}
}
