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

// driver feeds a State the records of a log and keeps the log.
type driver struct {
	t      testing.TB
	state  *State
	index  uint64
	log    []*pb.Command
	now    int64
	forget bool // keep no log
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
	if !d.forget {
		d.log = append(d.log, cmd)
	}
	return d.state.Apply(d.index, cmd)
}

func (d *driver) must(opID string, cmd *pb.Command) *pb.CommandResult {
	d.t.Helper()
	r := d.do(opID, cmd)
	if r.Error != nil {
		d.t.Fatalf("refused: %v", r.Error)
	}
	return r
}

// refuses checks that a command is refused with a kind. what names the command.
func (d *driver) refuses(kind errkind.Kind, what, opID string, cmd *pb.Command) {
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

// settle makes a batch; do gives its bills the time of the record.
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

func order(server string, term uint64) *pb.Command {
	o := &pb.PlaceOrder{Server: server, Verb: "load", Object: "m", Term: term}
	return &pb.Command{Body: &pb.Command_PlaceOrder{PlaceOrder: o}}
}

// play runs a log that touches every part of the state.
func play(d *driver) *pb.Holder {
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
	for i := range 40 {
		d.must("", settle(other, uint64(i+1), &pb.Bill{Budget: "b", Identity: fmt.Sprint("school/x", i), Tokens: 1}))
	}
	return h
}

func TestPathThroughTheState(t *testing.T) {
	d := newDriver(t)
	h := play(d)
	if b := d.budget(); b.Funded != 1500 || b.Billed != 70 || b.Bills != 41 || len(b.Granted) != 2 {
		t.Errorf("budget is %v", b)
	}
	d.refuses(errkind.StaleFence, "an order of an older term", "", order("10.0.0.1:1", 2))
	bill := d.state.Query(&pb.Query{Body: &pb.Query_Identity{Identity: &pb.IdentityQuery{Identity: "school/1"}}}).Bill
	if bill.GetTokens() != 30 || bill.GetRequestId() != "r1" {
		t.Errorf("bill of school/1 is %v", bill)
	}
	d.must("", register("h1", "boot-2"))
	for _, late := range []*pb.Command{acquire(h, 2, 1, 1), claim(h, "school/3", "r3")} {
		d.refuses(errkind.StaleFence, "a dead incarnation", "", late)
	}
	placed := d.state.Query(&pb.Query{Body: &pb.Query_Placement{Placement: &pb.PlacementQuery{}}}).Placements
	if len(placed) != 1 || placed[0].Fence != 12 {
		t.Errorf("placements are %v", placed)
	}
}

// Symptom: an operator's top-up is funded twice.
// Sequence: the top-up commits, its answer is lost, the operator resends it at another host.
// Cause: the operation id was not remembered, or not across a snapshot.
func TestResentTopUpFundsOnce(t *testing.T) {
	d := newDriver(t)
	play(d)
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
	d.refuses(errkind.KeyConflict, "another change under the same id", "op-team", setConfig("/teams/y", `{}`, 0))
	d.refuses(errkind.KeyConflict, "another top-up under the same id", "op-late", topUp("b", 71))
	if funded := d.budget().Funded; funded != 1571 {
		t.Errorf("funded %d, want 1571", funded)
	}
}

// Symptom: a top-up resent weeks later is funded again.
// Sequence: the top-up commits; as many operations follow as whole answers are kept for; it is resent.
// Cause: the only memory of operations was the bounded one.
func TestTopUpIsKnownForGood(t *testing.T) {
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

// Symptom: hosts never come to serve, or serve under another tree than the replicas hold.
// Sequence: a host starts from the whole tree as read at "/" and follows the changes
// as they were sent: with spaces, a slash at the end, null for a deletion.
// Cause: the whole tree or a change has another form for hosts than for replicas.
func TestHostFollowsWhatWasSent(t *testing.T) {
	d := newDriver(t)
	play(d)
	whole := d.state.Query(&pb.Query{Body: &pb.Query_Config{Config: &pb.ConfigQuery{Path: "/"}}})
	host, err := settings.ViewFromSnapshot(whole.ValueJson)
	if err != nil || host.Revision() != whole.Revision {
		t.Fatalf("from the tree at revision %d: %v", whole.Revision, err)
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
			t.Fatalf("%s = %s: host has %s, replica %s", c.path, c.value, got, want)
		}
	}
	if _, err := settings.ViewFromSnapshot([]byte(`{"teams":{}}`)); err == nil {
		t.Error("a tree without versions was taken for a snapshot")
	}
}

// Symptom: an operator is told that a top-up was refused, yet it is funded.
// Sequence: the top-up comes before its budget exists and is refused; the budget is
// made; a delayed copy of the top-up arrives.
// Cause: only accepted operations were remembered.
func TestResentRefusalStaysARefusal(t *testing.T) {
	d := newDriver(t)
	first := d.do("op-top", topUp("b", 70))
	d.must("op-create", create("b", 1000))
	restoreInto(t, d)
	again := d.do("op-top", topUp("b", 70))
	if !again.Resend || first.Error.GetKind() != string(errkind.NotFound) || again.Error.GetKind() != first.Error.GetKind() {
		t.Errorf("first answer %v, resend %v", first, again)
	}
}

// restoreInto replaces the driver's state by one restored from its snapshot.
func restoreInto(t *testing.T, d *driver) {
	t.Helper()
	data := snapshotOf(t, d.state)
	d.state = New(Options{})
	testutil.NoError(t, d.state.Restore(data))
	if again := snapshotOf(t, d.state); !bytes.Equal(data, again) {
		t.Fatalf("a restored state has another snapshot:\n%.2000s\n%.2000s", data, again)
	}
}

func snapshotOf(t testing.TB, s *State) []byte {
	t.Helper()
	data, err := s.Snapshot()
	testutil.NoError(t, err)
	return data
}

// Symptom: replicas answer differently after the same log.
// Sequence: two replicas apply one log, a third joins by snapshot half way.
// Cause: map order, a clock or state that is missing from the snapshot.
func TestEqualLogsMakeEqualSnapshots(t *testing.T) {
	d := newDriver(t)
	play(d)
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
			t.Fatalf("snapshot at %d makes another state:\n%.2000s\n%.2000s", half, got, want)
		}
	}
}

// Symptom: a snapshot holds half of a later record, or encoding it races with the log.
// Sequence: the state is captured; every kind of record is applied; the copy is encoded.
// Cause: the copy shares memory with the state.
func TestCaptureIsACopy(t *testing.T) {
	d := newDriver(t)
	play(d)
	for i := range 10 { // more boots than are remembered
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
		t.Errorf("the copy changed (%v)", err)
	}
}

// Symptom: what was remembered is forgotten early, or a record counts twice.
// Sequence: a new leader's clock is behind the old one's; a record is applied again.
// Cause: applied time or the index went back.
func TestTimeAndIndexNeverGoBack(t *testing.T) {
	d := newDriver(t)
	play(d)
	want := d.state.Now()
	d.now = 10
	d.must("", &pb.Command{Body: &pb.Command_NewTerm{NewTerm: &pb.NewTerm{Term: 9}}})
	if got := d.state.Now(); got != want {
		t.Errorf("applied time went from %d to %d", want, got)
	}
	d.refuses(errkind.StaleFence, "an order of the term before", "", order("10.0.0.1:1", 8))
	defer func() {
		if recover() == nil {
			t.Error("a record was applied twice")
		}
	}()
	d.state.Apply(d.state.Applied(), &pb.Command{})
}

func TestDamagedSnapshotIsRefused(t *testing.T) {
	d := newDriver(t)
	play(d)
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
		t.Error("a refused snapshot changed the state")
	}
}

// Symptom: an operator whose change has just taken effect is told that an earlier request had
// made it, and looks for one that never was.
// Sequence: a host proposes the change; the leader changes while it is committed, and the host,
// which got no answer, proposes it again under the operation id.
// Cause: the operation id alone told the first send from later ones, and the host's own second
// try has the same.
func TestOwnSecondTryIsNoResend(t *testing.T) {
	d := newDriver(t)
	of := func(call string) *pb.Command {
		cmd := topUp("b", 70)
		cmd.CallId = call
		return cmd
	}
	d.must("op", create("b", 1000))
	d.must("payment", of("first call"))
	for name, c := range map[string]struct {
		call   string
		resend bool
	}{"the same call": {"first call", false}, "another call": {"second call", true}, "no call named": {"", true}} {
		got := d.must("payment", of(c.call))
		if got.Resend != c.resend || got.GetBudget().Funded != 1070 {
			t.Errorf("%s: resend %v, funded %d", name, got.Resend, got.GetBudget().Funded)
		}
	}
	restored := New(Options{})
	testutil.NoError(t, restored.Restore(snapshotOf(t, d.state)))
	d.state = restored
	if d.must("payment", of("first call")).Resend || !d.must("payment", of("second call")).Resend {
		t.Error("a snapshot does not keep whose call it was")
	}
}
