package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/filter/parse"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

func TestBatchSlowsDownWithItsSize(t *testing.T) {
	b := newBatch(Options{Slots: 4, DecodeSpeed: 100, BatchSlowdown: 0.5})
	for range 3 {
		b.add(&sequence{stream: newStream(""), decodeLeft: 2})
	}
	took, emitted := b.step()
	if took != 20*time.Millisecond || len(emitted) != 3 {
		t.Fatalf("three sequences: step of %v with %d tokens, want 20ms with 3", took, len(emitted))
	}
	b.step()
	if !b.idle() {
		t.Fatalf("sequences of two tokens are still active after two steps")
	}
}

func TestBatchPrefillsBeforeItDecodes(t *testing.T) {
	b := newBatch(Options{Slots: 1, PrefillSpeed: 1000})
	b.add(&sequence{stream: newStream("long"), prefillLeft: prefillChunk + 10, decodeLeft: 1})
	if took, emitted := b.step(); took != 512*time.Millisecond || len(emitted) != 0 {
		t.Fatalf("first chunk took %v and generated %d tokens, want 512ms and none", took, len(emitted))
	}
	if took, emitted := b.step(); took != 10*time.Millisecond || len(emitted) != 1 {
		t.Fatalf("last chunk took %v and generated %d tokens, want 10ms and one", took, len(emitted))
	}
}

func TestBatchHonorsSlotsAndPriority(t *testing.T) {
	b := newBatch(Options{Slots: 1})
	b.add(&sequence{stream: newStream("later"), priority: 1, decodeLeft: 1})
	b.add(&sequence{stream: newStream("first"), decodeLeft: 1})
	for _, want := range []string{"first", "later"} {
		_, emitted := b.step()
		if len(emitted) != 1 || emitted[0].id != want {
			t.Fatalf("step generated %d tokens, want one of %q", len(emitted), want)
		}
	}
}

func TestPrefixCacheEvictsLeastRecentlyUsed(t *testing.T) {
	c := newPrefixCache(2)
	c.use([]uint64{1, 2})
	c.use([]uint64{1})
	c.use([]uint64{3})
	if hits := c.use([]uint64{1, 2}); hits != 1 {
		t.Fatalf("%d hits, want 1: block 2 must have been evicted for block 3", hits)
	}
	events := c.takeEvents()
	for i, ev := range events {
		if ev.Seq != uint64(i+1) {
			t.Fatalf("event %d has number %d", i, ev.Seq)
		}
	}
	if len(events) != 3 || events[1].Removed[0] != 2 {
		t.Fatalf("events: %+v, want three, the second with block 2 removed", events)
	}
}

// Guards against hosts and servers that hash different texts for the same prompt. Hosts would
// then never find a cached prefix, although the servers report hits.
func TestHostAndServerHashTheSameBlocks(t *testing.T) {
	long := strings.Repeat("ledger of may ", 100)
	for path, body := range map[string]string{
		parse.PathChat:        chatBody(long, 5),
		parse.PathCompletions: fmt.Sprintf(`{"model":"m","prompt":%q}`, long),
	} {
		call := &filter.Call{Path: path, Team: &settings.Team{MaxOutputTokens: 10}}
		r := httptest.NewRequest("POST", path, strings.NewReader(body))
		seen := filter.HandlerFunc(func(http.ResponseWriter, *http.Request) error { return nil })
		f := &parse.Filter{Settings: fleetSettings{}}
		if err := f.ServeHTTP(nil, r.WithContext(filter.WithCall(r.Context(), call)), seen); err != nil {
			t.Fatal(err)
		}
		var atServer completionRequest
		if err := json.Unmarshal(call.Body, &atServer); err != nil {
			t.Fatal(err)
		}
		got := parse.PrefixHashes(atServer.Model, atServer.cacheText())
		if len(got) < 2 || !slices.Equal(got, call.PromptHashes) {
			t.Errorf("%s: server has %x, host has %x", path, got, call.PromptHashes)
		}
	}
}

// fleetSettings are settings that only limit the size of request bodies.
type fleetSettings struct{ filter.Settings }

func (fleetSettings) Fleet() settings.Fleet { return settings.Fleet{MaxBodyBytes: 1 << 20} }

func TestCacheEventsAreWrittenInHex(t *testing.T) {
	b, err := json.Marshal(CacheEvent{Seq: 1, Stored: []BlockHash{255}})
	if want := `{"seq":1,"stored":["ff"]}`; err != nil || string(b) != want {
		t.Fatalf("got %s, want %s", b, want)
	}
}

func TestPromptTokens(t *testing.T) {
	p, err := ParsePrompt([]byte(`{"messages":[{"role":"system","content":"abc"},{"role":"user","content":[{"type":"text","text":"de"}]}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if got := p.Tokens(); got != 2+2*tokensPerMessage {
		t.Fatalf("%d tokens, want 2 for five bytes and 8 for two messages", got)
	}
}
