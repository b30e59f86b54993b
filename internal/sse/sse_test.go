package sse

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestCounter(t *testing.T) {
	var c Counter
	c.Write([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n\n\n: comment\n\nid:3\ndat"))
	if c.Events() != 3 || c.LastID() != "2" {
		t.Errorf("%d events, last id %q; want 3 and 2: a comment counts, empty lines don't", c.Events(), c.LastID())
	}
	if c.IncompleteBytes() != int64(len("id:3\ndat")) {
		t.Errorf("%d bytes of an incomplete event", c.IncompleteBytes())
	}
	c.Write([]byte("a: c\n\n"))
	if c.Events() != 4 || c.LastID() != "3" {
		t.Errorf("%d events, last id %q", c.Events(), c.LastID())
	}
}

// endsEvent reports whether an event ends after got. Where lines end in CR LF, the last LF may still
// be to come: an event is complete with its CR.
func endsEvent(got, left, newline string) bool {
	if strings.HasSuffix(got, newline+newline) {
		return true
	}
	return newline == "\r\n" && strings.HasSuffix(got, "\r\n\r") && strings.HasPrefix(left, "\n")
}

// However a stream is divided into chunks, the Splitter returns complete events, nothing is
// lost, and the Counter counts the same.
func TestAnyChunking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream strings.Builder
		n := rapid.IntRange(0, 6).Draw(t, "events")
		newline := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "newline")
		for i := range n {
			fmt.Fprintf(&stream, "id: %d%sdata: %s%s%s", i, newline, strings.Repeat("x", rapid.IntRange(0, 9).Draw(t, "size")), newline, newline)
		}
		tail := rapid.SampledFrom([]string{"", "id", "id: 9" + newline}).Draw(t, "tail")
		left := []byte(stream.String() + tail)
		var s Splitter
		var c Counter
		got := ""
		for len(left) > 0 {
			cut := rapid.IntRange(1, len(left)).Draw(t, "cut")
			whole := string(s.Split(left[:cut]))
			got += whole
			if n := len(got); whole != "" && !endsEvent(got, stream.String()[n:], newline) {
				t.Fatalf("%q is not a sequence of complete events", got)
			}
			c.Write([]byte(whole))
			left = left[cut:]
		}
		if got != stream.String() || string(s.buffered) != tail || s.InsideEvent() != (tail != "") {
			t.Fatalf("got %q, %q is buffered, inside an event: %v", got, s.buffered, s.InsideEvent())
		}
		if c.Events() != n || c.IncompleteBytes() != 0 {
			t.Fatalf("%d events of %d, %d bytes incomplete", c.Events(), n, c.IncompleteBytes())
		}
	})
}

// Guards against holding a stream back until its end because its lines end in CR alone.
func TestLinesThatEndInCR(t *testing.T) {
	var s Splitter
	if got := string(s.Split([]byte("id: 1\rdata: a\r\rid: 2\rda"))); got != "id: 1\rdata: a\r\r" {
		t.Errorf("the first event is passed on as %q", got)
	}
	if got := string(s.Split([]byte("ta: b\r\r"))); got != "id: 2\rdata: b\r\r" {
		t.Errorf("the second event is passed on as %q", got)
	}
	if len(s.buffered) > 0 || s.InsideEvent() {
		t.Errorf("%q is left over", s.buffered)
	}
}

// Guards against losing the first event's ID to a byte-order mark before it.
func TestByteOrderMark(t *testing.T) {
	var c Counter
	c.Write([]byte("\xEF\xBB\xBFid: 1\ndata: a\n\n"))
	if c.LastID() != "1" {
		t.Errorf("last id %q, want 1", c.LastID())
	}
}

// Guards against a pass over the whole buffered event for each piece of it that arrives: the time for
// an event of a megabyte in small pieces would grow with the square of its size.
func TestScannedBytesAreNotScannedAgain(t *testing.T) {
	var s Splitter
	for range 1000 {
		s.Split([]byte(strings.Repeat("x", 100)))
		if s.scanned != len(s.buffered) {
			t.Fatalf("%d of %d bytes are marked as searched", s.scanned, len(s.buffered))
		}
	}
}
