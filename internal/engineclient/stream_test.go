package engineclient

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
)

func events(s string) (out []Event, err error) {
	st := &Stream{res: &http.Response{Body: http.NoBody}, r: bufio.NewReaderSize(strings.NewReader(s), lineBuffer)}
	for {
		ev, err := st.Next()
		if err != nil {
			return out, err
		}
		out = append(out, Event{Name: ev.Name, Data: append([]byte(nil), ev.Data...)})
	}
}

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
