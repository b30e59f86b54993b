package standin

import (
	"testing"
	"time"
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
		t.Fatalf("sequences of two tokens are still there after two steps")
	}
}

func TestBatchPrefillsBeforeItDecodes(t *testing.T) {
	b := newBatch(Options{Slots: 1, PrefillSpeed: 1000})
	b.add(&sequence{stream: newStream("long"), prefillLeft: prefillChunk + 10, decodeLeft: 1})
	if took, emitted := b.step(); took != 512*time.Millisecond || len(emitted) != 0 {
		t.Fatalf("first chunk took %v and put out %d tokens, want 512ms and none", took, len(emitted))
	}
	if took, emitted := b.step(); took != 10*time.Millisecond || len(emitted) != 1 {
		t.Fatalf("last chunk took %v and put out %d tokens, want 10ms and one", took, len(emitted))
	}
}

func TestBatchHonoursSlotsAndPriority(t *testing.T) {
	b := newBatch(Options{Slots: 1})
	b.add(&sequence{stream: newStream("later"), priority: 1, decodeLeft: 1})
	b.add(&sequence{stream: newStream("first"), decodeLeft: 1})
	for _, want := range []string{"first", "later"} {
		_, emitted := b.step()
		if len(emitted) != 1 || emitted[0].id != want {
			t.Fatalf("step put out %d tokens, want one of %q", len(emitted), want)
		}
	}
}

func TestPrefixCacheKeepsWhatWasUsedLast(t *testing.T) {
	c := newPrefixCache(2)
	c.use([]uint64{1, 2})
	c.use([]uint64{1})
	c.use([]uint64{3})
	if hits := c.use([]uint64{1, 2}); hits != 1 {
		t.Fatalf("%d hits, want 1: block 2 had to make room for 3", hits)
	}
	events := c.take()
	for i, ev := range events {
		if ev.Seq != uint64(i+1) {
			t.Fatalf("event %d has number %d", i, ev.Seq)
		}
	}
	if len(events) != 3 || events[1].Removed[0] != 2 {
		t.Fatalf("events: %+v, want three, the second with block 2 removed", events)
	}
}

func TestBlockHashesShareAPrefix(t *testing.T) {
	long := Prompt{Roles: []string{"user"}, Contents: []string{string(make([]byte, 3*blockBytes))}}.Text()
	a, b := BlockHashes(long+"a"), BlockHashes(long[:2*blockBytes]+"b")
	if len(a) != 3 || len(b) != 2 || a[1] != b[1] || a[0] == a[1] {
		t.Fatalf("hashes %v and %v", a, b)
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
