package silence

import (
	"testing"
	"time"
)

var t0 = time.Unix(1000, 0)

// drive calls Check each millisecond from when it is due until it returns something other than
// Wait, or until the given time.
func drive(d *Detector, id string, until time.Time) (Verdict, time.Time) {
	at := d.NextCheck(id)
	if at.IsZero() {
		return Wait, until
	}
	for ; !at.After(until); at = at.Add(time.Millisecond) {
		if v := d.Check(at, id); v != Wait {
			return v, at
		}
	}
	return Wait, until
}

// startStream opens a stream and feeds it n tokens, one per interval of every.
func startStream(d *Detector, n int, every time.Duration) time.Time {
	now := t0
	d.Open(now, "s", "server", 100*time.Millisecond)
	for range n {
		now = now.Add(every)
		d.Received(now, "s", true)
	}
	return now
}

// Guards against a stream that stops in its middle and leaves its caller waiting until the deadline.
// Tokens come each 30 ms, then nothing, because a middlebox dropped the connection's state; a new
// connection works.
func TestSilentStreamIsReplacedWithinItsBound(t *testing.T) {
	for _, tokens := range []int{3, 100} {
		d := New(Config{})
		last := startStream(d, tokens, 30*time.Millisecond)
		v, at := drive(d, "s", last.Add(time.Minute))
		if v != Probe {
			t.Fatalf("after %d tokens: %v, want Probe", tokens, v)
		}
		if tokens >= minGaps && at.Sub(last) > 2*DefaultFloor {
			t.Errorf("a stream with known gaps of 30ms was probed only after %v", at.Sub(last))
		}
		v, at = drive(d, "s", last.Add(time.Minute))
		if v != Replace || at.Sub(last) > d.MaxDetection() {
			t.Errorf("no probe answer: %v after %v, the bound is %v", v, at.Sub(last), d.MaxDetection())
		}
	}
}

func TestProbeResultsAfterTheFirstToken(t *testing.T) {
	want := map[Progress]Verdict{NoAnswer: Replace, Answers: Replace, Waiting: Wait, Ahead: Replace, UnknownRequest: Replace}
	for p, v := range want {
		d := New(Config{})
		last := startStream(d, 20, 30*time.Millisecond)
		_, at := drive(d, "s", last.Add(time.Minute))
		if got := d.Probed(at, "s", p); got != v {
			t.Errorf("progress %d: got %d, want %d", p, got, v)
		}
		if got := d.Check(at, "s"); got != v {
			t.Errorf("progress %d: Check says %d afterwards, want %d", p, got, v)
		}
	}
}

// Guards against a request with a long prompt that is moved from server to server and never starts.
// The prefill takes 20 s where 2 s were predicted, and the quiet connection counted as lost.
func TestLongPrefillIsNotReplaced(t *testing.T) {
	for _, p := range []Progress{Waiting, Answers} {
		d := New(Config{})
		startStream(d, 100, 30*time.Millisecond)
		d.Open(t0, "long", "server", 2*time.Second)
		probes := 0
		end := t0.Add(20 * time.Second)
		for {
			v, at := drive(d, "long", end)
			if v == Wait {
				break
			}
			probes++
			if v != Probe || d.Probed(at, "long", p) != Wait {
				t.Fatalf("progress %d: replaced after %v", p, at.Sub(t0))
			}
		}
		if probes == 0 {
			t.Error("no probe in 20s of quiet")
		}
	}
}

func TestByteDuringProbeEndsIt(t *testing.T) {
	d := New(Config{})
	last := startStream(d, 20, 30*time.Millisecond)
	_, at := drive(d, "s", last.Add(time.Minute))
	d.Received(at.Add(time.Millisecond), "s", false)
	if v := d.Probed(at.Add(2*time.Millisecond), "s", NoAnswer); v != Wait {
		t.Errorf("a stream that continues got verdict %d", v)
	}
	d.Close("s")
	if v, _ := drive(d, "s", t0); v != Wait || !d.NextCheck("s").IsZero() {
		t.Error("a closed stream is still monitored")
	}
}

// Guards against a server's first long prompt after many short ones counting as silence, as with one
// limit for both quiet times, or a first limit from short prompts alone. First bytes come after
// 50 ms and tokens each 30 ms; then a prompt takes 9 s.
func TestLimitsBeforeAndAfterTheFirstByte(t *testing.T) {
	g := NewGaps(Config{})
	if g.Limit("s", true) != DefaultFirstCeiling || g.Limit("s", false) != DefaultCeiling {
		t.Error("the limits of an unknown server are not the ceilings")
	}
	for range 100 {
		g.Record("s", true, 50*time.Millisecond)
		g.Record("s", false, 30*time.Millisecond)
	}
	if l := g.Limit("s", true); l != DefaultFirstFloor {
		t.Errorf("limit %v before the first byte, want the floor, which allows a prompt of 9s", l)
	}
	if l := g.Limit("s", false); l > 2*DefaultFloor {
		t.Errorf("limit %v between tokens that come each 30ms", l)
	}
	for range 100 {
		g.Record("s", false, 2*time.Second)
	}
	if l := g.Limit("s", false); l < 4*time.Second || l > DefaultCeiling {
		t.Errorf("limit %v between tokens that come each 2s", l)
	}
	for i := range 2 * maxServers {
		g.Record(string(rune(i)), false, time.Second)
	}
	if len(g.servers) > maxServers {
		t.Errorf("%d servers kept in memory", len(g.servers))
	}
}
