package engineclient

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/standin"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

const kvBody = `{"model":"m","stream":true,"max_tokens":12,"ignore_eos":true,"prompt":"hello"}`

func engine(t *testing.T) *standin.Server {
	t.Helper()
	s := standin.New(standin.Options{Models: []string{"m"}, DecodeSpeed: 200})
	testutil.NoError(t, s.Start())
	t.Cleanup(s.Close)
	return s
}

// read returns the text of the stream's next n tokens; n < 0: all.
func read(t *testing.T, s *Stream, n int) (text string) {
	t.Helper()
	for n != 0 {
		ev, err := s.Next()
		testutil.NoError(t, err)
		var ch struct{ Choices []struct{ Text string } }
		if json.Unmarshal(ev.Data, &ch) != nil {
			return text
		}
		if len(ch.Choices) > 0 && ch.Choices[0].Text != "" {
			text += ch.Choices[0].Text
			n--
		}
	}
	return text
}

func TestRunMovesWithItsKVCache(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, b, c := engine(t), engine(t), New(Config{})
	first, err := c.Open(ctx, Request{Address: a.Address(), Method: "POST", Path: "/v1/completions", Body: []byte(kvBody), EngineRequestID: "r1"})
	testutil.NoError(t, err)
	text := read(t, first, 3)
	first.Close()
	kv, err := c.ExportKV(ctx, a.Address(), "r1")
	testutil.NoError(t, err)
	if _, err := c.Cancel(ctx, a.Address(), "r1"); err != nil {
		t.Fatal(err)
	}
	testutil.NoError(t, c.ImportKV(ctx, b.Address(), "r2", kv))
	second, err := c.Resume(ctx, b.Address(), "r2", 3)
	testutil.NoError(t, err)
	defer second.Close()
	text += read(t, second, -1)
	prompt, _ := standin.ParsePrompt([]byte(kvBody))
	if want := standin.Answer(prompt.Hash(), 0, 12); text != want {
		t.Fatalf("got %q, want %q", text, want)
	}
	if _, err := c.ExportKV(ctx, b.Address(), "unknown"); err == nil {
		t.Fatal("exported the KV cache of a run that doesn't exist")
	}
}
