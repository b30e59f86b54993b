package ledger

import (
	"strconv"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// Symptom: a running host gets no grants and is refused as removed.
// Sequence: its former run said that it leaves; a copy of that word arrives after the
// next run has registered.
// Cause: the word named the host and not the run.
func TestLateWordOfALeavingRunLeavesTheNextRun(t *testing.T) {
	s := New(Options{})
	first := registered(t, s, 1)
	second := registered(t, s, 2)
	err := s.RemoveHost(&pb.RemoveHost{Host: "a", Incarnation: first.Incarnation})
	if !errkind.Is(err, errkind.StaleFence) {
		t.Fatalf("the former run's word was taken: %v", err)
	}
	if err := s.Live(second); err != nil {
		t.Fatalf("the present run is not live: %v", err)
	}
	testutil.NoError(t, s.RemoveHost(&pb.RemoveHost{Host: "a", Incarnation: second.Incarnation}))
	if s.Live(second) == nil {
		t.Fatal("the run that left still counts as live")
	}
}

// registered is the holder of the host's boot with this number.
func registered(t *testing.T, s *State, boot uint64) *pb.Holder {
	t.Helper()
	res, err := s.RegisterHost(Record{Index: boot, Now: int64(boot)}, &pb.RegisterHost{Host: "a", BootId: strconv.FormatUint(boot, 10)})
	testutil.NoError(t, err)
	return res.GetHolder()
}
