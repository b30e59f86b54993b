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

// TestMain increases rapid's steps, so that the store fills up.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.steps", "100"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// maxGrowth is the maximum number of bytes that an update without its answer adds to a record.
const maxGrowth = 32

var self = &pb.Holder{Host: "self", Incarnation: 1}

// TestCopiesUnderFaults puts copies in any order, duplicated and late, and compares the store
// with the newest version put of each record.
//
// If an older version replaced a newer one, a finished request would count as running; if an
// unbilled record were dropped from a full store, its bill would be lost; and without a fence
// a dead holder's record would be accepted after the holder was gathered.
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
					t.Fatalf("PutCopy of a record of incarnation %d (gathered: %v): %v", owner, dead[owner], err)
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
				if s.Len() > s.cfg.MaxRecords || s.Bytes() > s.cfg.MaxBytes+maxGrowth*s.Len() {
					t.Fatalf("the store exceeds its bounds: %d records, %d bytes", s.Len(), s.Bytes())
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

// checkGather checks that Gather returns every record that may have to be billed, in its
// newest version.
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
			t.Fatalf("record %s: gathered %v, want version %d", id, got[id], want.GetVersion())
		}
	}
}

// TestPlacement checks that copies are in availability zones other than the owner's, and that
// every owner's choice is among the hosts returned by lookup.
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
				t.Fatalf("got %d copies, want %d, with %d hosts", len(copies), n, len(hosts))
			}
			for i, c := range copies {
				if c.Name == owner.Name || i < zones-1 && (c.Zone == owner.Zone || containsZone(copies[:i], c.Zone)) {
					t.Fatalf("owner %v: copies %v", owner, copies)
				}
				if !containsName(asked, c.Name) {
					t.Fatalf("owner %v copies to %v, but lookup returns %v", owner, c, asked)
				}
			}
		}
	})
}

// TestUpdatesOfOwnRecords checks that an update for another request, or after the end, changes
// nothing.
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
		t.Error("an update of another request was accepted")
	}
	done := proto.CloneOf(rec)
	done.State, done.OutputTokens = pb.InflightState_INFLIGHT_STATE_DONE, 5
	if !s.Update(now, done) || s.Update(now, rec) || s.Abandon(now, "r") {
		t.Error("a finished record was not updated exactly once")
	}
	if got, ok := s.Find(now, "i"); !ok || got.GetOutputTokens() != 5 || got.GetVersion() != 2 {
		t.Errorf("found %v, want version 2 with 5 output tokens", got)
	}
	if s.MarkSettled(now, "r"); !s.own["r"].rec.GetSettled() {
		t.Error("the record was not marked as settled")
	}
	s.MarkSending("r", Host{Name: "peer", Incarnation: 1})
	s.MarkAcked("r", "peer", 1, 2)
	s.Tick(now.Add(11 * time.Minute))
	if s.Len() != 1 {
		t.Error("the record was dropped before its copy was current")
	}
	s.MarkAcked("r", "peer", 1, 3)
	s.Tick(now.Add(11 * time.Minute))
	if s.Len() != 0 || s.Bytes() != 0 {
		t.Errorf("%d records, %d bytes after the retention", s.Len(), s.Bytes())
	}
}
