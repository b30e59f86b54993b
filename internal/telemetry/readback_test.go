package telemetry

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/bluebellsail/bluebellsail/internal/logreport"
)

// A line reads back as the pairs that were written, whatever their values: no value can forge
// another pair.
func TestLinesReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var out bytes.Buffer
		log := zerolog.New(&lineWriter{out: &out})
		event := log.Info()
		want := map[string]string{}
		for _, key := range []string{"request", "error", "detail"} {
			want[key] = rapid.String().Draw(t, key)
			event = event.Str(key, want[key])
		}
		event.Send()
		l, ok := logreport.Parse(strings.TrimSuffix(out.String(), "\n"))
		if !ok || len(l.Fields) != len(want)+1 { // and the level
			t.Fatalf("%d pairs in %q", len(l.Fields), out.String())
		}
		for key, value := range want {
			if l.Get(key) != value {
				t.Fatalf("%s: wrote %q, read %q from %q", key, value, l.Get(key), out.String())
			}
		}
	})
}
