package repair

import (
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Guards against tokens of a dead host that stay granted for 15 min after a request of 10 s, or a call
// of a plain service, whose end is unknown: the copies of its record only show that it was running,
// and recovery waited for every request as long as the longest one may run.
func TestRequestsExpireAtTheirOwnDeadline(t *testing.T) {
	const longest, margin = 15 * time.Minute, time.Minute
	chat := func(age, timeout time.Duration) *pb.InflightRecord {
		return &pb.InflightRecord{Identity: "a/1", Reserved: 100, Server: "10.0.0.9:80", Path: "/v1/chat/completions",
			State: pb.InflightState_INFLIGHT_STATE_RUNNING, AgeMs: age.Milliseconds(), TimeoutMs: timeout.Milliseconds()}
	}
	call := chat(0, time.Minute)
	call.Path = "/services/ledger/entries"
	unsent := chat(0, time.Minute)
	unsent.Path, unsent.Server = "/services/ledger/entries", ""
	for _, c := range []struct {
		name  string
		rec   *pb.InflightRecord
		waits bool
	}{
		{"before its deadline", chat(9*time.Second, 10*time.Second), true},
		{"within the margin", chat(69*time.Second, 10*time.Second), true},
		{"after both", chat(71*time.Second, 10*time.Second), false},
		{"no deadline known", chat(71*time.Second, 0), true},
		{"no deadline known, after the longest", chat(17*time.Minute, 0), false},
		{"a deadline past the longest", chat(17*time.Minute, time.Hour), false},
		{"a plain service's call", call, false},
		{"a plain service's call that was not sent", unsent, true},
	} {
		p := &plan{requests: []*pb.InflightRecord{c.rec}}
		p.classify(time.Now(), longest, margin, func(*pb.InflightRecord) outcome { return outcome{} })
		if waits := len(p.running) == 1; waits != c.waits || len(p.running)+len(p.ended) != 1 {
			t.Errorf("%s: waits %v, want %v", c.name, waits, c.waits)
		}
	}
}
