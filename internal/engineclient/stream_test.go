package engineclient

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
)

func events(s string) (out []Event, err error) { return eventsInPieces(s, lineBuffer) }

// eventsInPieces returns the events of a stream of which at most size bytes arrive at a time.
func eventsInPieces(s string, size int) (out []Event, err error) {
	r := &piecewise{r: strings.NewReader(s), size: size}
	st := &Stream{res: &http.Response{Body: http.NoBody}, r: bufio.NewReaderSize(r, lineBuffer)}
	for {
		ev, err := st.Next()
		if err != nil {
			return out, err
		}
		out = append(out, Event{Name: ev.Name, Data: append([]byte(nil), ev.Data...)})
	}
}

// piecewise returns at most size bytes with each Read.
type piecewise struct {
	r    io.Reader
	size int
}

func (p *piecewise) Read(b []byte) (int, error) { return p.r.Read(b[:min(len(b), p.size)]) }

func TestStreamReadsEvents(t *testing.T) {
	long := strings.Repeat("x", 3*lineBuffer)
	got, err := events(": keepalive\n\nevent: error\r\ndata: a\r\ndata:b\r\n\r\nid: 1\n\ndata: " + long + "\n\ndata: cut")
	if err != io.EOF || len(got) != 2 || got[0].Name != "error" || string(got[0].Data) != "a\nb" || got[1].Name != "" || string(got[1].Data) != long {
		t.Fatalf("%d events, %v", len(got), err)
	}
	if _, err := events("data: " + strings.Repeat("x", 2*maxEvent)); err == nil || err == io.EOF {
		t.Fatalf("event longer than the limit: %v", err)
	}
}

// Guards against an event that is held back although it is complete: the LF of its last line end is
// not more of the stream.
func TestBufferedAfterAnEvent(t *testing.T) {
	for _, newline := range []string{"\n", "\r\n", "\r"} {
		r := strings.NewReader("data: a" + newline + newline)
		st := &Stream{res: &http.Response{Body: http.NoBody}, r: bufio.NewReaderSize(r, lineBuffer)}
		if ev, err := st.Next(); err != nil || string(ev.Data) != "a" || st.Buffered() {
			t.Errorf("%q: got %q, %v, more has arrived: %v", newline, ev.Data, err, st.Buffered())
		}
	}
}

func FuzzStream(f *testing.F) {
	for _, s := range []string{"data: a\n\n", "event: e\ndata\n\n", "\n\n\n", ":\n", "data: a\r\n\r\ndata: b"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		got, err := events(s)
		if err == nil {
			t.Fatal("the stream did not end")
		}
		for _, ev := range got {
			if len(ev.Data) > maxEvent || strings.Contains(string(ev.Data), "\n\n\n") && !strings.Contains(s, "data") {
				t.Fatalf("event %q", ev.Data)
			}
		}
	})
}

// Guards against a first event that is lost to a byte-order mark, and against events that are joined
// or held back because their lines end in CR.
func TestStreamWithAnyLineEnds(t *testing.T) {
	for _, newline := range []string{"\n", "\r\n", "\r"} {
		text := "\xEF\xBB\xBF" + strings.ReplaceAll("data: a\ndata: b\n\n: comment\n\nevent: e\n\ndata\n\ndata: c\n\n", "\n", newline)
		for size := 1; size <= len(text); size++ {
			got, err := eventsInPieces(text, size)
			if err != io.EOF || len(got) != 3 || string(got[0].Data) != "a\nb" || string(got[1].Data) != "" || string(got[2].Data) != "c" || got[2].Name != "" {
				t.Fatalf("%q in pieces of %d: %q, %v", newline, size, got, err)
			}
		}
	}
}
