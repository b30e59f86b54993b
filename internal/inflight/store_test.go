package inflight

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// TestMain lengthens rapid's runs, so that the store fills up.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.steps", "100"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// growth is how many bytes an update without its answer may add to a record.
const growth = 32

var self = &pb.Holder{Host: "self", Incarnation: 1}

// TestCopiesUnderFaults puts copies in any order, doubled and late, against the newest
// version seen of each as the oracle.
//
// Symptom: a finished request is taken for a running one, a bill is lost for want of
// room, or a dead holder's record is taken in after it was gathered.
// Sequence: updates that cross each other, a full store, a gather.
// Cause: an older version that replaces a newer one, an unbilled record dropped, no fence.
func TestCopiesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1, 0)
		s := New(Config{Self: self, Zone: "x", MaxRecords: 4, MaxBytes: 3 * (entryOverhead + 200)})
		newest := make(map[string]*pb.InflightRecord)
		dead := make(map[uint64]bool)
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				rec := drawRecord(t)
				err := s.PutCopy(now, rec, rec.GetHolder())
				owner := rec.GetHolder().GetIncarnation()
				if dead[owner] != errkind.Is(err, errkind.StaleFence) {
					t.Fatalf("record of incarnation %d, dead %v: %v", owner, dead[owner], err)
				}
				known := newest[rec.GetRequestId()]
				if err == nil && (known == nil || rec.GetVersion() > known.GetVersion()) {
					newest[rec.GetRequestId()] = rec
				}
			},
			"sweep": func(t *rapid.T) {
				if now.Before(time.Unix(1, 0).Add(unsettledRetention - time.Hour)) {
					now = now.Add(11 * time.Minute)
				}
				s.Tick(now)
			},
			"gather": func(t *rapid.T) {
				owner := rapid.Uint64Range(1, 3).Draw(t, "incarnation")
				checkGather(t, s, now, owner, newest)
				dead[owner] = true
			},
			"": func(t *rapid.T) {
				if s.Len() > s.cfg.MaxRecords || s.Bytes() > s.cfg.MaxBytes+growth*s.Len() {
					t.Fatalf("%d records, %d bytes", s.Len(), s.Bytes())
				}
			},
		})
		for owner := range uint64(3) {
			checkGather(t, s, now, owner+1, newest)
		}
	})
}

func drawRecord(t *rapid.T) *pb.InflightRecord {
	n := rapid.IntRange(1, 8).Draw(t, "request")
	version := rapid.Uint64Range(1, 4).Draw(t, "version")
	rec := &pb.InflightRecord{
		Identity: fmt.Sprintf("acc/%d", n), RequestId: fmt.Sprintf("r%d", n), Version: version,
		Holder: &pb.Holder{Host: "other", Incarnation: uint64(n%3) + 1},
		State:  pb.InflightState_INFLIGHT_STATE_RUNNING,
	}
	if version >= 3 {
		rec.State = pb.InflightState_INFLIGHT_STATE_DONE
		rec.Answer = make([]byte, 150)
	}
	rec.Settled = version == 4
	return rec
}

// checkGather: every record that may have to be billed is there, in its newest version.
func checkGather(t *rapid.T, s *Store, now time.Time, owner uint64, newest map[string]*pb.InflightRecord) {
	got := make(map[string]*pb.InflightRecord)
	for _, rec := range s.Gather(now, &pb.Holder{Host: "other", Incarnation: owner}) {
		got[rec.GetRequestId()] = rec
	}
	for id, want := range newest {
		if want.GetHolder().GetIncarnation() != owner || want.GetSettled() {
			continue
		}
		if got[id].GetVersion() != want.GetVersion() || got[id].GetState() != want.GetState() {
			t.Fatalf("%s: gathered %v, want version %d", id, got[id], want.GetVersion())
		}
	}
}

// TestPlacement: copies are in other availability zones than the owner's, and any owner's
// choice is among the hosts that a lookup asks.
func TestPlacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts []Host
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		for i := range rapid.IntRange(2, 12).Draw(t, "hosts") {
			hosts = append(hosts, Host{Name: fmt.Sprintf("h%d", i), Zone: fmt.Sprintf("z%d", i%zones)})
		}
		r := newRing(hosts)
		identity := fmt.Sprintf("acc/%d", rapid.Int().Draw(t, "key"))
		n := rapid.IntRange(1, 2).Draw(t, "copies")
		none := func(Host) bool { return false }
		asked := r.lookup(identity, n)
		for _, owner := range hosts {
			copies := r.copies(identity, owner.Name, owner.Zone, n, none)
			if len(copies) != min(n, len(hosts)-1) {
				t.Fatalf("%d copies of %d wanted among %d hosts", len(copies), n, len(hosts))
			}
			for i, c := range copies {
				if c.Name == owner.Name || i < zones-1 && (c.Zone == owner.Zone || zoneIn(copies[:i], c.Zone)) {
					t.Fatalf("owner %v: copies %v", owner, copies)
				}
				if !nameIn(asked, c.Name) {
					t.Fatalf("owner %v copies to %v, a retry asks %v", owner, c, asked)
				}
			}
		}
	})
}

// TestUpdatesOfOwnRecords: an update for another request or after the end changes nothing.
func TestUpdatesOfOwnRecords(t *testing.T) {
	now := time.Unix(1, 0)
	s := New(Config{Self: self, Zone: "x"})
	rec := &pb.InflightRecord{Identity: "i", RequestId: "r"}
	if _, err := s.Begin(now, rec, 1); err != nil {
		t.Fatal(err)
	}
	late := proto.CloneOf(rec)
	late.RequestId = "other"
	if s.Update(now, late) {
		t.Error("an update of another request was taken")
	}
	done := proto.CloneOf(rec)
	done.State, done.OutputTokens = pb.InflightState_INFLIGHT_STATE_DONE, 5
	if !s.Update(now, done) || s.Update(now, rec) || s.Abandon(now, "r") {
		t.Error("a finished record was changed")
	}
	if got, ok := s.Find(now, "i"); !ok || got.GetOutputTokens() != 5 || got.GetVersion() != 2 {
		t.Errorf("found %v", got)
	}
	if s.MarkSettled(now, "r"); !s.own["r"].rec.GetSettled() {
		t.Error("not settled")
	}
	s.MarkSending("r", Host{Name: "peer", Incarnation: 1})
	s.MarkAcked("r", "peer", 1, 2)
	s.Tick(now.Add(11 * time.Minute))
	if s.Len() != 1 {
		t.Error("dropped before its copy knows the end")
	}
	s.MarkAcked("r", "peer", 1, 3)
	s.Tick(now.Add(11 * time.Minute))
	if s.Len() != 0 || s.Bytes() != 0 {
		t.Errorf("%d records, %d bytes after the window", s.Len(), s.Bytes())
	}
}
