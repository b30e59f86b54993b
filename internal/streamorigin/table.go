// Package streamorigin keeps the software version at which each stream began, so that a stream that its
// caller takes up again goes on at that version. The package is pure: time is passed in, and the caller
// serializes the calls.
//
// An entry never changes: it is made when the first event of a stream is passed on, and names the server's
// version that sent that event. If two hosts report different origins for one stream, its origin counts
// as unknown.
package streamorigin

import (
	"crypto/sha256"
	"time"
)

// Key identifies a stream by the attempt that began it.
type Key [16]byte

// KeyOf returns the key of the stream that an attempt of a client account began. The account is part of it,
// so that no account can refer to another one's streams.
func KeyOf(account, attempt string) Key {
	sum := sha256.Sum256([]byte(account + "\x00" + attempt))
	return Key(sum[:len(Key{})])
}

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is the version of the server's software.
	Version string
}

// DefaultCapacity is the default number of entries that a Table keeps, of some 200 bytes each.
const DefaultCapacity = 1 << 14

// Table holds the origins of recent streams.
type Table struct {
	capacity int
	entries  map[Key]entry
	// order holds the keys of entries in the order in which they were added, oldest first.
	order []Key
}

type entry struct {
	origin  Origin
	expires time.Time
	// conflicting is set if different origins were reported.
	conflicting bool
}

// NewTable returns an empty table for at most the given number of entries.
func NewTable(capacity int) *Table {
	return &Table{capacity: capacity, entries: make(map[Key]entry)}
}

// Put records a stream's origin until it expires. It returns whether the origin is new to the table, and
// whether it conflicts with the one that the table holds.
func (t *Table) Put(now time.Time, k Key, o Origin, expires time.Time) (added, conflict bool) {
	e, held := t.entries[k]
	if !held {
		t.dropOldest(now)
		t.entries[k] = entry{origin: o, expires: expires}
		t.order = append(t.order, k)
		return true, false
	}
	if e.origin != o {
		e.conflicting, conflict = true, true
	}
	if expires.After(e.expires) {
		e.expires = expires
	}
	t.entries[k] = e
	return false, conflict
}

// Find returns the origin of a stream; known is false if it is not held or conflicting.
func (t *Table) Find(now time.Time, k Key) (o Origin, known bool) {
	e, held := t.entries[k]
	if !held || e.conflicting || now.After(e.expires) {
		return Origin{}, false
	}
	return e.origin, true
}

// Each calls f with each stream whose origin is known, and with when it expires.
func (t *Table) Each(now time.Time, f func(k Key, o Origin, expires time.Time)) {
	for k, e := range t.entries {
		if !e.conflicting && !now.After(e.expires) {
			f(k, e.origin, e.expires)
		}
	}
}

// dropOldest makes room for one entry, and drops the oldest ones that have expired.
func (t *Table) dropOldest(now time.Time) {
	for len(t.order) > 0 && (len(t.order) >= t.capacity || now.After(t.entries[t.order[0]].expires)) {
		delete(t.entries, t.order[0])
		t.order = t.order[1:]
	}
}

// Len returns the number of entries, expired ones that were not dropped yet included.
func (t *Table) Len() int { return len(t.entries) }
