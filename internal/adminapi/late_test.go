package adminapi

import (
	"strconv"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Guards against an order that a host reads long after its operator has given it up, and that undoes a later one.
func TestLateEvacuationOrderUndoesNoLaterOne(t *testing.T) {
	a := newAPI(t)
	const path = "/v1/evacuations/z1"
	begun := answer[EvacuationSet](a, a.call("POST", path, "", "Idempotency-Key", "o1", "If-Match", "0"))
	late := []string{"Idempotency-Key", "o2", "If-Match", strconv.FormatUint(begun.Revision, 10)}
	answer[EvacuationSet](a, a.call("DELETE", path, "", "Idempotency-Key", "o3", "If-Match", late[3]))
	again := answer[EvacuationSet](a, a.call("POST", path, "", "Idempotency-Key", "o4"))
	for range 2 {
		if e := a.mustReject(a.call("DELETE", path, "", late...), errkind.VersionConflict); e.PresentVersion != again.Revision {
			t.Errorf("the refusal names revision %d, want %d", e.PresentVersion, again.Revision)
		}
	}
	if list := answer[EvacuationList](a, a.call("GET", "/v1/evacuations", "")); len(list.Zones) != 1 {
		t.Errorf("evacuated zones: %+v", list.Zones)
	}
	// An operation that is resent has the answer to its first call, whatever its operator found since.
	if r := answer[EvacuationSet](a, a.call("POST", path, "", "Idempotency-Key", "o1", "If-Match", "77")); !r.Resend || !r.Changed {
		t.Errorf("resent: %+v", r)
	}
	a.mustReject(a.call("POST", path, "", "Idempotency-Key", "o5", "If-Match", "x"), errkind.BadRequest)
}

// Guards against the removal of a run that a host has started since the operator declared the former one dead.
func TestLateRemovalLeavesTheNextRun(t *testing.T) {
	a := newAPI(t)
	register := func(boot string) {
		_, err := a.group.Propose(t.Context(), &pb.Command{Body: &pb.Command_RegisterHost{RegisterHost: &pb.RegisterHost{Host: "h3", BootId: boot}}})
		if err != nil {
			t.Fatal(err)
		}
	}
	register("b1")
	former := strconv.FormatUint(a.host("h3").Incarnation, 10)
	register("b2")
	a.mustReject(a.call("POST", "/v1/hosts/h3/remove", "", "Idempotency-Key", "o1", "If-Match", former), errkind.StaleFence)
	if a.host("h3").Removed {
		t.Error("the next run is removed")
	}
	present := strconv.FormatUint(a.host("h3").Incarnation, 10)
	answer[HostRemoved](a, a.call("POST", "/v1/hosts/h3/remove", "", "Idempotency-Key", "o2", "If-Match", present))
	if !a.host("h3").Removed {
		t.Error("the present run is not removed")
	}
}

// host returns a host from the list of hosts.
func (a *api) host(name string) Host {
	a.t.Helper()
	for _, h := range answer[HostList](a, a.call("GET", "/v1/hosts", "")).Hosts {
		if h.Host == name {
			return h
		}
	}
	a.t.Fatalf("no host %s", name)
	return Host{}
}
