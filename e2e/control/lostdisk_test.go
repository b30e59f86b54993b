package control

import (
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/adminapi"
	"github.com/bluebellsail/bluebellsail/internal/devfleet"
	"github.com/bluebellsail/bluebellsail/internal/procconfig"
)

// topUpPerCommit is the number of tokens that commitMore adds.
const topUpPerCommit = 11

// committed is the state that a fleet has acknowledged.
type committed struct {
	revision uint64
	funded   uint64
}

// commitInitial commits a budget and settings and returns the acknowledged state, which must not be
// lost any more.
func (f *fleet) commitInitial(hosts []devfleet.Host) committed {
	f.t.Helper()
	f.mustRunCLI(hosts, "budget", "create", "cash", "--tokens", "1000")
	f.mustRunCLI(hosts, "config", "set", "/teams/school", `{"max_in_flight":7}`, "--version", "0")
	return f.commitMore(hosts)
}

// commitMore commits one more top-up and one more change of the settings.
func (f *fleet) commitMore(hosts []devfleet.Host) committed {
	f.t.Helper()
	topUp := decode[adminapi.BudgetAnswer](f.t, f.mustRunCLI(hosts, "--json", "budget", "top-up", "cash", "--tokens", strconv.Itoa(topUpPerCommit)))
	var present adminapi.ConfigAnswer
	f.mustQuery(&present, hosts, "config", "get", "/teams/school")
	out := f.mustRunCLI(hosts, "--json", "config", "set", "/teams/school/max_in_flight",
		strconv.FormatUint(100+present.Version, 10), "--version", strconv.FormatUint(present.Version, 10))
	change := decode[adminapi.ChangeAnswer](f.t, out)
	return committed{revision: change.Revision, funded: topUp.Budget.Funded}
}

// checkCommitted checks that the fleet has the state want.
func (f *fleet) checkCommitted(hosts []devfleet.Host, want committed) {
	f.t.Helper()
	if got := f.budget(hosts, "cash").Funded; got != want.funded {
		f.t.Errorf("funded %d, want %d", got, want.funded)
	}
	var got adminapi.ConfigAnswer
	f.mustQuery(&got, hosts, "config", "get", "/teams/school")
	if got.Revision != want.revision {
		f.t.Errorf("settings revision %d, want %d", got.Revision, want.revision)
	}
}

// member returns the status of a replica; nil if it is not a member of the group.
func member(g adminapi.GroupStatus, id uint64) *adminapi.MemberStatus {
	i := slices.IndexFunc(g.Members, func(m adminapi.MemberStatus) bool { return m.ID == id })
	if i < 0 {
		return nil
	}
	return &g.Members[i]
}

// memberOn returns the ID of the replica on a host.
func (f *fleet) memberOn(h devfleet.Host, hosts []devfleet.Host) uint64 {
	f.t.Helper()
	var g adminapi.GroupStatus
	f.mustQuery(&g, hosts, "control", "members")
	for _, m := range g.Members {
		if m.Host == h.Host {
			return m.ID
		}
	}
	f.t.Fatalf("no replica on %s: %+v", h.Host, g.Members)
	return 0
}

// outsideReplica matches the line of a host's status about a replica that is not a member.
var outsideReplica = regexp.MustCompile(`(?m)^replica (\d+) on this host: outside`)

// awaitNewReplica waits until a host that lost its disk reports a new replica, and returns its ID.
func (f *fleet) awaitNewReplica(h devfleet.Host) uint64 {
	f.t.Helper()
	var id uint64
	eventually(f.t, h.Host+" reports its new replica", func() bool {
		o := f.runCLI([]devfleet.Host{h}, "--timeout", "3s", "status")
		m := outsideReplica.FindStringSubmatch(o.stdout)
		if o.code != 0 || m == nil {
			return false
		}
		id, _ = strconv.ParseUint(m[1], 10, 64)
		return true
	})
	return id
}

// repair replaces the lost replica of a host by the new one in the group.
func (f *fleet) repair(h devfleet.Host, lost, newID uint64) {
	f.t.Helper()
	others := f.without(h)
	id := strconv.FormatUint(newID, 10)
	f.mustRunCLI(others, "control", "add", "--id", id, "--host", h.Host, "--peer-address", h.Peers)
	f.mustRunCLI(others, "control", "promote", "--id", id)
	f.mustRunCLI(others, "control", "remove", "--id", strconv.FormatUint(lost, 10))
	eventually(f.t, "the repair is done", func() bool {
		g, _ := f.members(others...)
		m := member(g, newID)
		return len(g.Members) == replicas && m != nil && m.Repaired && m.Match >= g.Commit && member(g, lost) == nil
	})
}

// Guards against acknowledged top-ups and settings that are lost, or a group that commits nothing any
// more, after two disks are lost one after the other. A replica's process is killed and its data
// directory is deleted; it restarts with its old settings and is repaired; then another replica loses
// its disk at once. A replica with an empty disk must not vote under its old ID, or it could elect a
// leader without the committed entries; and a repair must not be reported as done before the new
// replica has all of them.
func TestLostDiskIsRepaired(t *testing.T) {
	f := newFleet(t, 5, false, manualRepair)
	want := f.commitInitial(f.layout.Hosts)

	first := f.leader(f.layout.Hosts...) // the leader is the worst replica to lose
	others := f.without(first)
	lost := f.memberOn(first, others)
	f.loseDisk(first)
	f.leader(others...)
	f.checkCommitted(others, want)
	want = f.commitMore(others)
	f.start(first)
	newID := f.awaitNewReplica(first)
	f.checkNotMember(first, lost, newID)
	f.checkNotRepairedWhileEmpty(first, newID)
	f.repair(first, lost, newID)

	second := f.leader(others...)
	lost2 := f.memberOn(second, others)
	f.loseDisk(second)
	remaining := f.without(second)
	f.leader(remaining...)
	f.checkCommitted(remaining, want)
	want = f.commitMore(remaining)
	f.checkCommitted(remaining, want)

	// The replica on the second lost disk is replaced by a host whose settings tell it to join.
	f.editSettings(second, func(c *procconfig.Config) { c.Control.Join = true })
	f.start(second)
	f.repair(second, lost2, f.awaitNewReplica(second))
	f.checkCommitted(f.layout.Hosts, f.commitMore(f.layout.Hosts))
	f.awaitUp(f.layout.Hosts...)
}

// checkNotMember checks that the replica on a replaced disk does not count as the lost one, and is no
// member yet.
func (f *fleet) checkNotMember(h devfleet.Host, lost, newID uint64) {
	f.t.Helper()
	if newID == lost {
		f.t.Fatalf("replica %d returned under its old ID", lost)
	}
	if log := f.log(h); !strings.Contains(log, "lost-disk-joins-as-new-replica") || !strings.Contains(log, "old_replica="+strconv.FormatUint(lost, 10)) {
		f.t.Errorf("the log of %s does not report the lost disk", h.Host)
	}
	g, _ := f.members(f.without(h)...)
	if m := member(g, lost); m == nil || m.Active || m.Repaired {
		f.t.Errorf("the lost replica is %+v", m)
	}
	if member(g, newID) != nil {
		f.t.Error("the new replica is a member before it was added")
	}
}

// checkNotRepairedWhileEmpty stops the new replica before it is added. As long as it is empty it must
// neither be reported as repaired nor be allowed to vote.
func (f *fleet) checkNotRepairedWhileEmpty(h devfleet.Host, newID uint64) {
	f.t.Helper()
	others := f.without(h)
	id := strconv.FormatUint(newID, 10)
	f.signal(h, syscall.SIGSTOP)
	f.mustRunCLI(others, "control", "add", "--id", id, "--host", h.Host, "--peer-address", h.Peers)
	o := f.runCLI(others, "--timeout", "2s", "control", "promote", "--id", id)
	if o.code != 3 || !strings.Contains(o.stderr, "doesn't hold everything committed") {
		f.t.Errorf("promote of an empty replica: status %d, %s", o.code, o.stderr)
	}
	var g adminapi.GroupStatus
	f.mustQuery(&g, others, "control", "members")
	if m := member(g, newID); m == nil || !m.Learner || m.Repaired || m.Match >= g.Commit {
		f.t.Errorf("an empty replica is reported as %+v, committed %d", m, g.Commit)
	}
	f.signal(h, syscall.SIGCONT)
}

// manualRepair disables the automatic repair of replicas.
func manualRepair(c *procconfig.Config) { c.Control.ManualRepair = true }

// Guards against a group that stays without its third replica after a disk was replaced, so that it
// stops when the next host fails. A replica's host is killed and its disk is erased; it restarts with
// its old settings; as soon as it is reported as repaired, a second host fails. A replica outside the
// group must not wait for an operator.
func TestLostDiskIsRepairedAutomatically(t *testing.T) {
	f := newFleet(t, 4, false)
	f.commitInitial(f.layout.Hosts)
	first := f.leader(f.layout.Hosts...)
	others := f.without(first)
	lost := f.memberOn(first, others)
	f.loseDisk(first)
	f.leader(others...)
	want := f.commitMore(others)
	f.start(first)
	eventually(f.t, "the group has three complete replicas again", func() bool {
		g, _ := f.members(others...)
		complete := slices.IndexFunc(g.Members, func(m adminapi.MemberStatus) bool { return m.Learner || !m.Repaired }) < 0
		return len(g.Members) == replicas && complete && member(g, lost) == nil
	})

	second := f.leader(others...)
	f.loseDisk(second)
	remaining := f.without(second)
	f.leader(remaining...)
	f.checkCommitted(remaining, want)
}
