package control

import (
	"slices"
	"syscall"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/adminapi"
	"github.com/bluebellsail/bluebellsail/internal/devfleet"
)

// awaitCompleteGroup waits until the control group has all its replicas, with everything committed, and
// no longer the lost one.
func (f *fleet) awaitCompleteGroup(lost uint64) {
	f.t.Helper()
	eventually(f.t, "the group has three complete replicas again", func() bool {
		g, _ := f.members(f.layout.Hosts...)
		incomplete := slices.ContainsFunc(g.Members, func(m adminapi.MemberStatus) bool { return m.Learner || !m.Repaired })
		return len(g.Members) == replicas && !incomplete && member(g, lost) == nil
	})
}

// loseAllAndDisk kills all hosts at once, deletes the data directory of one, and starts them again.
func (f *fleet) loseAllAndDisk(h devfleet.Host) {
	f.t.Helper()
	for _, each := range f.layout.Hosts {
		f.signal(each, syscall.SIGKILL)
	}
	f.loseDisk(h)
	for _, each := range f.layout.Hosts {
		f.kill(each)
		f.start(each)
	}
}

// Guards against acknowledged settings, top-ups or evacuations that are lost, or a group that stays
// without its third replica, after all hosts fail at once and one of them has lost its disk. It happens
// to each replica in turn, the leader first.
func TestAllHostsFailAndOneLosesItsDisk(t *testing.T) {
	f := newFleet(t, replicas+1, false)
	want := f.commitInitial(f.layout.Hosts)
	f.mustRunCLI(f.layout.Hosts, "evacuate", "begin", "b")
	first := f.leader(f.layout.Hosts...)
	order := append([]devfleet.Host{first}, slices.DeleteFunc(f.without(first), func(h devfleet.Host) bool { return !h.Control })...)
	for _, h := range order {
		lost := f.memberOn(h, f.layout.Hosts)
		f.loseAllAndDisk(h)
		f.checkCommitted(f.layout.Hosts, want)
		var zones adminapi.EvacuationList
		f.mustQuery(&zones, f.layout.Hosts, "evacuate", "list")
		if len(zones.Zones) != 1 || zones.Zones[0].Zone != "b" {
			t.Errorf("evacuated %+v, want b", zones.Zones)
		}
		f.awaitCompleteGroup(lost)
		want = f.commitMore(f.layout.Hosts)
	}
}
