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

// However a stream is divided into chunks, the Splitter returns complete events, nothing is
// lost, and the Counter counts the same.
func TestAnyChunking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream strings.Builder
		n := rapid.IntRange(0, 6).Draw(t, "events")
		newline := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "newline")
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
			if whole != "" && !strings.HasSuffix(whole, newline+newline) {
				t.Fatalf("%q is not a sequence of complete events", whole)
			}
			got += whole
			c.Write([]byte(whole))
			left = left[cut:]
		}
		if got != stream.String() || string(s.Rest()) != tail {
			t.Fatalf("got %q", got)
		}
		if c.Events() != n || c.IncompleteBytes() != 0 {
			t.Fatalf("%d events of %d, %d bytes incomplete", c.Events(), n, c.IncompleteBytes())
		}
	})
}
