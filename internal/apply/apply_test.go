package apply

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/settings"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// driver applies records to a State and keeps them as a log.
type driver struct {
	t          testing.TB
	state      *State
	index      uint64
	log        []*pb.Command
	now        int64
	discardLog bool // keep no log
}

func newDriver(t *testing.T) *driver {
	return &driver{t: t, state: New(Options{}), now: 1_000_000}
}

func (d *driver) do(opID string, cmd *pb.Command) *pb.CommandResult {
	d.t.Helper()
	d.now++
	cmd.OpId, cmd.Actor, cmd.TimeMs = opID, "operator", d.now
	for _, b := range cmd.GetSettle().GetBills() {
		b.TimeMs = d.now
	}
	d.index++
	if !d.discardLog {
		d.log = append(d.log, cmd)
	}
	return d.state.Apply(d.index, cmd)
}

func (d *driver) must(opID string, cmd *pb.Command) *pb.CommandResult {
	d.t.Helper()
	r := d.do(opID, cmd)
	if r.Error != nil {
		d.t.Fatalf("rejected: %v", r.Error)
	}
	return r
}

// rejects checks that a command is rejected with an error of the given kind. what
// describes the command.
func (d *driver) rejects(kind errkind.Kind, what, opID string, cmd *pb.Command) {
	d.t.Helper()
	if got := d.do(opID, cmd); got.Error.GetKind() != string(kind) {
		d.t.Errorf("%s got %v", what, got)
	}
}

func (d *driver) budget() *pb.Budget {
	return d.state.Query(&pb.Query{Body: &pb.Query_Budget{Budget: &pb.BudgetQuery{Name: "b"}}}).Budgets[0]
}

func register(host, boot string) *pb.Command {
	r := &pb.RegisterHost{Host: host, BootId: boot, Zone: "olinda"}
	return &pb.Command{Body: &pb.Command_RegisterHost{RegisterHost: r}}
}

func create(name string, tokens uint64) *pb.Command {
	c := &pb.CreateBudget{Name: name, Account: "school", Tokens: tokens}
	return &pb.Command{Body: &pb.Command_CreateBudget{CreateBudget: c}}
}

func topUp(name string, tokens uint64) *pb.Command {
	return &pb.Command{Body: &pb.Command_TopUp{TopUp: &pb.TopUp{Budget: name, Tokens: tokens}}}
}

func acquire(h *pb.Holder, seq, need, want uint64) *pb.Command {
	a := &pb.Acquire{Holder: h, Budget: "b", Seq: seq, Need: need, Want: want}
	return &pb.Command{Body: &pb.Command_Acquire{Acquire: a}}
}

// settle returns a batch of bills; do stamps them with the time of the record.
func settle(h *pb.Holder, seq uint64, bills ...*pb.Bill) *pb.Command {
	return &pb.Command{Body: &pb.Command_Settle{Settle: &pb.Settle{Holder: h, Seq: seq, Bills: bills}}}
}

func setConfig(path, value string, expected uint64) *pb.Command {
	c := &pb.SetConfig{Path: path, ValueJson: []byte(value), ExpectedVersion: expected}
	return &pb.Command{Body: &pb.Command_SetConfig{SetConfig: c}}
}

func claim(h *pb.Holder, identity, request string) *pb.Command {
	return &pb.Command{Body: &pb.Command_Claim{Claim: &pb.Claim{Identity: identity, Holder: h, RequestId: request}}}
}

func evacuate(zone string, evacuated bool) *pb.Command {
	return &pb.Command{Body: &pb.Command_SetEvacuation{SetEvacuation: &pb.SetEvacuation{Zone: zone, Evacuated: evacuated}}}
}

func order(server string, term uint64) *pb.Command {
	o := &pb.PlaceOrder{Server: server, Verb: "load", Object: "m", Term: term}
	return &pb.Command{Body: &pb.Command_PlaceOrder{PlaceOrder: o}}
}

// applySampleLog applies a log that touches every part of the state.
func applySampleLog(d *driver) *pb.Holder {
	h := d.must("", register("h1", "boot-1")).GetRegisterHost().Holder
	other := d.must("", register("h2", "boot-1")).GetRegisterHost().Holder
	d.must("op-create", create("b", 1000))
	d.must("op-top", topUp("b", 500))
	d.must("", acquire(h, 1, 100, 200))
	d.must("", acquire(other, 1, 50, 50))
	d.must("", settle(h, 1, &pb.Bill{Budget: "b", Identity: "school/1", Tokens: 30, RequestId: "r1"}))
	d.must("op-team", setConfig("/teams/x", `{"priority":"urgent"}`, 0))
	d.must("op-acc", setConfig("/accounts/school", `{"team":"x","budget":"b"}`, 0))
	d.must("op-fleet", setConfig("/fleet/idempotency_window", `"20m"`, 0))
	d.must("", claim(h, "school/2", "r2"))
	d.must("", order("10.0.0.1:1", 3))
	d.must("op-evacuate", evacuate("north", true))
	for i := range 40 {
		d.must("", settle(other, uint64(i+1), &pb.Bill{Budget: "b", Identity: fmt.Sprint("school/x", i), Tokens: 1}))
	}
	return h
}

func TestApplyAllPartsOfState(t *testing.T) {
	d := newDriver(t)
	h := applySampleLog(d)
	if b := d.budget(); b.Funded != 1500 || b.Billed != 70 || b.Bills != 41 || len(b.Granted) != 2 {
		t.Errorf("budget is %v", b)
	}
	d.rejects(errkind.StaleFence, "an order of an older term", "", order("10.0.0.1:1", 2))
	bill := d.state.Query(&pb.Query{Body: &pb.Query_Identity{Identity: &pb.IdentityQuery{Identity: "school/1"}}}).Bill
	if bill.GetTokens() != 30 || bill.GetRequestId() != "r1" {
		t.Errorf("bill of school/1 is %v", bill)
	}
	d.must("", register("h1", "boot-2"))
	for _, late := range []*pb.Command{acquire(h, 2, 1, 1), claim(h, "school/3", "r3")} {
		d.rejects(errkind.StaleFence, "a dead incarnation", "", late)
	}
	for what, e := range map[string]*pb.Evacuations{
		"query":        d.state.Query(&pb.Query{Body: &pb.Query_Evacuations{Evacuations: &pb.EvacuationsQuery{}}}).Evacuations,
		"registration": d.must("", register("h3", "boot-1")).GetRegisterHost().GetEvacuations(),
		"resend":       d.must("op-evacuate", evacuate("north", true)).GetSetEvacuation().GetEvacuations(),
	} {
		if len(e.GetZones()) != 1 || e.GetZones()[0].GetZone() != "north" || e.GetRevision() == 0 {
			t.Errorf("%s: the evacuated zones are %v", what, e)
		}
	}
	d.rejects(errkind.KeyConflict, "another order under the same operation ID", "op-evacuate", evacuate("south", true))
	placed := d.state.Query(&pb.Query{Body: &pb.Query_Placement{Placement: &pb.PlacementQuery{}}}).Placements
	if len(placed) != 1 || placed[0].Fence != 12 {
		t.Errorf("placements are %v", placed)
	}
}

// A top-up commits, its answer is lost, and the operator resends it at another host. If
// the operation ID were not remembered, also across a snapshot, it would be funded
// twice.
func TestResentTopUpFundsOnce(t *testing.T) {
	d := newDriver(t)
	applySampleLog(d)
	first := d.must("op-late", topUp("b", 70)).GetBudget()
	d.must("op-after", topUp("b", 1))
	restoreInto(t, d)
	again := d.must("op-late", topUp("b", 70))
	if !again.Resend || again.GetBudget().Funded != first.Funded || first.Funded != 1570 {
		t.Errorf("first answer %v, resend %v", first, again)
	}
	if got := d.do("op-team", setConfig("/teams/x", `{"priority":"batch"}`, 1)); got.GetSetConfig().GetRevision() != 1 || !got.Resend {
		t.Errorf("a resend with another value got %v", got)
	}
	d.rejects(errkind.KeyConflict, "another change under the same id", "op-team", setConfig("/teams/y", `{}`, 0))
	d.rejects(errkind.KeyConflict, "another top-up under the same id", "op-late", topUp("b", 71))
	if funded := d.budget().Funded; funded != 1571 {
		t.Errorf("funded %d, want 1571", funded)
	}
}

// A top-up that is resent after as many operations as are remembered with a full answer
// must not be funded again: accepted top-ups are remembered without a limit.
func TestTopUpIsRememberedPermanently(t *testing.T) {
	d := newDriver(t)
	d.state = New(Options{MaxOperations: 4})
	d.must("op-create", create("b", 1000))
	for i := range 20 {
		d.must(fmt.Sprint("op", i), topUp("b", 1))
	}
	if again := d.must("op0", topUp("b", 1)); !again.Resend || again.GetBudget().Funded != 1001 {
		t.Errorf("resend got %v", again)
	}
}

// A host starts from the whole tree as read at "/" and applies the changes as they were
// sent, with spaces, a trailing slash, or null for a deletion. If the whole tree or a
// change had another form for hosts than for replicas, hosts would never start serving
// or would serve under another tree than the replicas hold.
func TestHostViewMatchesReplicaView(t *testing.T) {
	d := newDriver(t)
	applySampleLog(d)
	whole := d.state.Query(&pb.Query{Body: &pb.Query_Config{Config: &pb.ConfigQuery{Path: "/"}}})
	host, err := settings.ViewFromSnapshot(whole.ValueJson)
	if err != nil || host.Revision() != whole.Revision {
		t.Fatalf("view from the tree at revision %d: %v", whole.Revision, err)
	}
	for i, c := range []struct{ path, value string }{
		{"/teams/x/retry/", ` { "share" : 0.5 } `}, {"/teams/x/priority", " null "}, {"/accounts/school", "null"}, {"/teams/x", "null"},
	} {
		cmd := setConfig(c.path, c.value, 0)
		set := cmd.GetSetConfig()
		set.AnyVersion = true
		d.must(fmt.Sprint("change", i), cmd)
		version := d.state.View().Revision()
		subtree := d.state.Query(&pb.Query{Body: &pb.Query_Config{Config: &pb.ConfigQuery{Path: c.path}}}).Version
		change := &pb.ConfigChange{Revision: version, Version: subtree, Path: set.Path, ValueJson: set.ValueJson}
		if host, err = host.Apply([]*pb.ConfigChange{change}); err != nil {
			t.Fatalf("%s = %s: %v", c.path, c.value, err)
		}
		want, _, err := d.state.View().Value("/")
		if got, _, err2 := host.Value("/"); err != nil || err2 != nil || !bytes.Equal(got, want) {
			t.Fatalf("%s = %s: the host has %s, the replica %s", c.path, c.value, got, want)
		}
	}
	if _, err := settings.ViewFromSnapshot([]byte(`{"teams":{}}`)); err == nil {
		t.Error("a tree without versions was accepted as a snapshot")
	}
}

// A top-up is rejected because its budget does not exist; then the budget is created
// and a delayed copy of the top-up arrives. Unless rejections are remembered too, it
// would be funded although the operator was told that it was rejected.
func TestResentRejectedOperationStaysRejected(t *testing.T) {
	d := newDriver(t)
	first := d.do("op-top", topUp("b", 70))
	d.must("op-create", create("b", 1000))
	restoreInto(t, d)
	again := d.do("op-top", topUp("b", 70))
	if !again.Resend || first.Error.GetKind() != string(errkind.NotFound) || again.Error.GetKind() != first.Error.GetKind() {
		t.Errorf("first answer %v, resend %v", first, again)
	}
}

// restoreInto replaces the driver's state with one restored from its snapshot.
func restoreInto(t *testing.T, d *driver) {
	t.Helper()
	data := snapshotOf(t, d.state)
	d.state = New(Options{})
	testutil.NoError(t, d.state.Restore(data))
	if again := snapshotOf(t, d.state); !bytes.Equal(data, again) {
		t.Fatalf("the restored state has a different snapshot:\n%.2000s\n%.2000s", data, again)
	}
}

func snapshotOf(t testing.TB, s *State) []byte {
	t.Helper()
	data, err := s.Snapshot()
	testutil.NoError(t, err)
	return data
}

// Two replicas that apply the same log, and a third that joins by snapshot at any point
// of it, must reach equal states. Map order, a clock, or state missing from the
// snapshot would make their answers differ.
func TestEqualLogsMakeEqualSnapshots(t *testing.T) {
	d := newDriver(t)
	applySampleLog(d)
	d.must("", register("h1", "boot-2"))
	d.must("op-more", topUp("b", 5))
	want := snapshotOf(t, d.state)
	for half := range len(d.log) {
		replica := &driver{t: t, state: New(Options{})}
		for i, cmd := range d.log {
			if i == half {
				restoreInto(t, replica)
			}
			replica.state.Apply(uint64(i+1), cmd)
		}
		if got := snapshotOf(t, replica.state); !bytes.Equal(got, want) {
			t.Fatalf("a snapshot at %d leads to a different state:\n%.2000s\n%.2000s", half, got, want)
		}
	}
}

// The copy made by Capture must not share memory with the state, or records applied
// before it is encoded would end up partly in the snapshot and race with the encoding.
func TestCaptureIsACopy(t *testing.T) {
	d := newDriver(t)
	applySampleLog(d)
	for i := range 10 { // more boot IDs than the ledger remembers
		d.must("", register("h1", fmt.Sprint("boot-a", i)))
	}
	want := snapshotOf(t, d.state)
	encode, err := d.state.Capture()
	testutil.NoError(t, err)
	for i := range 10 {
		d.must("", register("h1", fmt.Sprint("boot-b", i)))
	}
	d.must("", acquire(&pb.Holder{Host: "h2", Incarnation: 2}, 2, 10, 10))
	d.must("", settle(&pb.Holder{Host: "h2", Incarnation: 2}, 41, &pb.Bill{Budget: "b", Identity: "late", Tokens: 1}))
	d.must("op-late", setConfig("/teams/x/copies", `2`, 1))
	if got, err := encode(); err != nil || !bytes.Equal(got, want) {
		t.Errorf("the captured copy changed (%v)", err)
	}
}

// The applied time must not go back when a new leader's clock is behind the old one's,
// or remembered operations and bills would be forgotten early. An index must not
// repeat, or a record would count twice.
func TestTimeAndIndexNeverDecrease(t *testing.T) {
	d := newDriver(t)
	applySampleLog(d)
	want := d.state.Now()
	d.now = 10
	d.must("", &pb.Command{Body: &pb.Command_NewTerm{NewTerm: &pb.NewTerm{Term: 9}}})
	if got := d.state.Now(); got != want {
		t.Errorf("applied time went from %d to %d", want, got)
	}
	d.rejects(errkind.StaleFence, "an order of the previous term", "", order("10.0.0.1:1", 8))
	defer func() {
		if recover() == nil {
			t.Error("a record was applied twice")
		}
	}()
	d.state.Apply(d.state.Applied(), &pb.Command{})
}

func TestDamagedSnapshotIsRejected(t *testing.T) {
	d := newDriver(t)
	applySampleLog(d)
	before := snapshotOf(t, d.state)
	overspent := bytes.Replace(before, []byte(`"funded":1500,"billed":70,"bills"`), []byte(`"funded":150,"billed":70,"bills"`), 1)
	if bytes.Equal(before, overspent) {
		t.Fatal("the snapshot was not damaged")
	}
	for _, data := range [][]byte{overspent, before[:len(before)/2], []byte(`{"format":99}`)} {
		if err := d.state.Restore(data); err == nil {
			t.Errorf("restored %.60s", data)
		}
	}
	if !bytes.Equal(before, snapshotOf(t, d.state)) {
		t.Error("a rejected snapshot changed the state")
	}
}

// A host that gets no answer because the leader changed proposes the same change again
// within the same call. If the operation ID alone identified resends, the operator
// would be told that an earlier request had made the change, and would look for a
// request that never was made.
func TestRetryWithinOneCallIsNoResend(t *testing.T) {
	d := newDriver(t)
	topUpOf := func(call string) *pb.Command {
		cmd := topUp("b", 70)
		cmd.CallId = call
		return cmd
	}
	d.must("op", create("b", 1000))
	d.must("payment", topUpOf("first call"))
	for name, c := range map[string]struct {
		call   string
		resend bool
	}{"the same call": {"first call", false}, "another call": {"second call", true}, "no call ID": {"", true}} {
		got := d.must("payment", topUpOf(c.call))
		if got.Resend != c.resend || got.GetBudget().Funded != 1070 {
			t.Errorf("%s: resend %v, funded %d", name, got.Resend, got.GetBudget().Funded)
		}
	}
	restored := New(Options{})
	testutil.NoError(t, restored.Restore(snapshotOf(t, d.state)))
	d.state = restored
	if d.must("payment", topUpOf("first call")).Resend || !d.must("payment", topUpOf("second call")).Resend {
		t.Error("the snapshot does not keep the call that made the operation")
	}
}
