// Package window remembers keys for a period of applied time. Keys are grouped in
// generations by the time at which they were put, and a generation is forgotten
// as a whole, so that forgetting costs nothing per key. It has no clock: now is
// passed in, in Unix milliseconds, and never decreases.
package window

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
)

// KeySize is the size of a Key in bytes.
const KeySize = 16

// Key is a hash of what is remembered. With 128 bits a collision is infeasible even for
// callers who choose their own idempotency keys.
type Key [KeySize]byte

// KeyOf hashes s.
func KeyOf(s string) Key {
	sum := sha256.Sum256([]byte(s))
	return Key(sum[:KeySize])
}

// spanDivisor bounds the number of generations that a lookup has to visit: a new
// generation starts only after 1/spanDivisor of the time remembered so far.
const spanDivisor = 12

// Memory maps keys to values and forgets them by generation.
type Memory[V any] struct {
	length      int64
	maxSize     int
	horizon     int64
	size        int
	generations []*generation[V]
}

type generation[V any] struct {
	start, last int64
	entries     map[Key]V
}

// New returns an empty memory. A generation spans at least length milliseconds, or less
// if it reaches an eighth of maxSize; maxSize 0 means no bound.
func New[V any](length int64, maxSize int) *Memory[V] {
	return &Memory[V]{length: length, maxSize: maxSize}
}

// SetLength changes the length of later generations, in milliseconds.
func (m *Memory[V]) SetLength(length int64) { m.length = length }

// Len returns the number of keys remembered.
func (m *Memory[V]) Len() int { return m.size }

// Horizon returns the time since which nothing has been forgotten: a key put at or after
// it is still remembered.
func (m *Memory[V]) Horizon() int64 { return m.horizon }

// Get returns the value of k.
func (m *Memory[V]) Get(k Key) (V, bool) {
	for i := len(m.generations) - 1; i >= 0; i-- {
		if v, ok := m.generations[i].entries[k]; ok {
			return v, true
		}
	}
	var none V
	return none, false
}

// Put remembers k from now on. A key that is already remembered moves to the newest
// generation.
func (m *Memory[V]) Put(k Key, v V, now int64) {
	m.delete(k)
	g := m.current(now)
	g.entries[k] = v
	g.last = max(g.last, now)
	m.size++
}

// Set changes the value of a remembered key without moving it to a newer generation.
func (m *Memory[V]) Set(k Key, v V) {
	for _, g := range m.generations {
		if _, ok := g.entries[k]; ok {
			g.entries[k] = v
			return
		}
	}
}

func (m *Memory[V]) delete(k Key) {
	for _, g := range m.generations {
		if _, ok := g.entries[k]; ok {
			delete(g.entries, k)
			m.size--
			return
		}
	}
}

func (m *Memory[V]) current(now int64) *generation[V] {
	if n := len(m.generations); n > 0 {
		g := m.generations[n-1]
		span := max(m.length, (now-m.generations[0].start)/spanDivisor)
		full := m.maxSize > 0 && len(g.entries) >= max(1, m.maxSize/8)
		if now-g.start < span && !full {
			return g
		}
	}
	g := &generation[V]{start: now, last: now, entries: make(map[Key]V)}
	m.generations = append(m.generations, g)
	return g
}

// Forget drops the generations whose every key was put before the given time.
func (m *Memory[V]) Forget(before int64) {
	for len(m.generations) > 0 && m.generations[0].last < before {
		m.dropOldest()
	}
}

// Shrink drops the oldest generations while there are more than maxSize keys, but
// no generation with a key put at or after keep.
func (m *Memory[V]) Shrink(keep int64) {
	for m.maxSize > 0 && m.size > m.maxSize && len(m.generations) > 1 && m.generations[0].last < keep {
		m.dropOldest()
	}
}

func (m *Memory[V]) dropOldest() {
	g := m.generations[0]
	m.horizon = max(m.horizon, g.last+1)
	m.size -= len(g.entries)
	m.generations = slices.Delete(m.generations, 0, 1)
}

// Image is a copy of a Memory, for snapshots: images of equal memories have equal JSON.
type Image[V any] struct {
	Length      int64                `json:"length"`
	Horizon     int64                `json:"horizon"`
	Generations []generationImage[V] `json:"generations"`
}

// generationImage is a copy of one generation. Its entries are sorted only when it is
// encoded, as sorting takes far longer than copying and the log is blocked while the copy
// is made.
type generationImage[V any] struct {
	start, last int64
	entries     []entry[V]
}

type entry[V any] struct {
	key   Key
	value V
}

// generationJSON is the encoded form of a generation; Keys is the concatenation of the
// sorted keys.
type generationJSON[V any] struct {
	Start  int64  `json:"start"`
	Last   int64  `json:"last"`
	Keys   []byte `json:"keys"`
	Values []V    `json:"values"`
}

// Image returns a copy of the memory's content.
func (m *Memory[V]) Image() Image[V] {
	im := Image[V]{Length: m.length, Horizon: m.horizon, Generations: []generationImage[V]{}}
	for _, g := range m.generations {
		gi := generationImage[V]{start: g.start, last: g.last, entries: make([]entry[V], 0, len(g.entries))}
		for k, v := range g.entries {
			gi.entries = append(gi.entries, entry[V]{k, v})
		}
		im.Generations = append(im.Generations, gi)
	}
	return im
}

// MarshalJSON implements json.Marshaler.
func (g generationImage[V]) MarshalJSON() ([]byte, error) {
	sorted := slices.Clone(g.entries)
	slices.SortFunc(sorted, func(a, b entry[V]) int { return bytes.Compare(a.key[:], b.key[:]) })
	out := generationJSON[V]{Start: g.start, Last: g.last, Keys: make([]byte, 0, KeySize*len(sorted)), Values: make([]V, 0, len(sorted))}
	for _, e := range sorted {
		out.Keys = append(out.Keys, e.key[:]...)
		out.Values = append(out.Values, e.value)
	}
	return json.Marshal(out)
}

// UnmarshalJSON implements json.Unmarshaler.
func (g *generationImage[V]) UnmarshalJSON(data []byte) error {
	var in generationJSON[V]
	if err := json.Unmarshal(data, &in); err != nil {
		return err
	}
	if len(in.Keys) != KeySize*len(in.Values) {
		return errors.Errorf("window: snapshot: %d bytes of keys for %d values", len(in.Keys), len(in.Values))
	}
	g.start, g.last = in.Start, in.Last
	g.entries = make([]entry[V], 0, len(in.Values))
	for i, v := range in.Values {
		g.entries = append(g.entries, entry[V]{Key(in.Keys[i*KeySize : (i+1)*KeySize]), v})
	}
	return nil
}

// Restore replaces the memory's content by im.
func (m *Memory[V]) Restore(im Image[V]) {
	m.length, m.horizon, m.size, m.generations = im.Length, im.Horizon, 0, nil
	for _, gi := range im.Generations {
		g := &generation[V]{start: gi.start, last: gi.last, entries: make(map[Key]V, len(gi.entries))}
		for _, e := range gi.entries {
			g.entries[e.key] = e.value
		}
		m.generations = append(m.generations, g)
		m.size += len(g.entries)
	}
}
