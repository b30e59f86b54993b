package standin

import (
	"slices"
	"time"
)

// prefillChunk is the maximum number of prompt tokens processed in one step.
const prefillChunk = 512

// sequence is one request in the batch.
type sequence struct {
	stream *stream
	// priority orders the queue; lower numbers go first.
	priority    int
	prefillLeft int
	decodeLeft  int
}

// batch models an engine with continuous batching. In each step, every sequence in a slot whose
// prompt is processed generates one token, and the others share one chunk of prefill. batch is
// a pure state machine: it has no clock, and step returns how long the step takes.
type batch struct {
	slots        int
	decodeSpeed  float64
	prefillSpeed float64
	slowdown     float64
	// slow is a factor for the time of every step.
	slow float64

	waiting []*sequence
	active  []*sequence
}

func newBatch(o Options) *batch {
	return &batch{
		slots:        o.Slots,
		decodeSpeed:  o.DecodeSpeed,
		prefillSpeed: o.PrefillSpeed,
		slowdown:     o.BatchSlowdown,
		slow:         1,
	}
}

// add queues a sequence behind those with the same priority.
func (b *batch) add(s *sequence) {
	at := len(b.waiting)
	for at > 0 && b.waiting[at-1].priority > s.priority {
		at--
	}
	b.waiting = slices.Insert(b.waiting, at, s)
}

// remove removes a stream's sequence.
func (b *batch) remove(st *stream) {
	of := func(s *sequence) bool { return s.stream == st }
	b.waiting = slices.DeleteFunc(b.waiting, of)
	b.active = slices.DeleteFunc(b.active, of)
}

func (b *batch) idle() bool { return len(b.waiting)+len(b.active) == 0 }

// step runs one step. It returns the duration of the step and the streams that have generated
// one more token at its end. Finished sequences free their slots.
func (b *batch) step() (took time.Duration, emitted []*stream) {
	b.admit()
	prefilled := b.prefill()
	for _, s := range b.active {
		if s.prefillLeft > 0 {
			continue
		}
		s.decodeLeft--
		emitted = append(emitted, s.stream)
	}
	b.active = slices.DeleteFunc(b.active, func(s *sequence) bool {
		return s.prefillLeft == 0 && s.decodeLeft <= 0
	})
	return b.stepTime(prefilled, len(emitted)), emitted
}

func (b *batch) admit() {
	for len(b.waiting) > 0 && len(b.active) < b.slots {
		b.active = append(b.active, b.waiting[0])
		b.waiting = b.waiting[1:]
	}
}

func (b *batch) prefill() int {
	room := prefillChunk
	for _, s := range b.active {
		n := min(room, s.prefillLeft)
		s.prefillLeft -= n
		room -= n
	}
	return prefillChunk - room
}

func (b *batch) stepTime(prefilled, decoding int) time.Duration {
	seconds := 0.0
	if b.prefillSpeed > 0 {
		seconds += float64(prefilled) / b.prefillSpeed
	}
	if b.decodeSpeed > 0 && decoding > 0 {
		seconds += (1 + b.slowdown*float64(decoding-1)) / b.decodeSpeed
	}
	return time.Duration(seconds * b.slow * float64(time.Second))
}

// tokensPerSecond returns the speed of one sequence at the current size of the batch; 0 means
// unlimited.
func (b *batch) tokensPerSecond() float64 {
	if b.decodeSpeed == 0 {
		return 0
	}
	others := max(len(b.active)-1, 0)
	return b.decodeSpeed / (1 + b.slowdown*float64(others)) / b.slow
}
