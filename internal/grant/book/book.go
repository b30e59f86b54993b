// Package book keeps the reservations that the owner of a budget has made for requests
// that other hosts serve. It is pure: time is passed in, and the caller serializes the
// calls.
//
// A reservation ends when its host reports what the request used. Three faults can occur
// before that, and none of them may let a token be spent twice:
//
//   - The host dies and never reports what the request used. After the reservation's
//     lifetime, within which the request has certainly ended, all of it counts as spent.
//   - The message that ends a reservation overtakes the delayed message that requests it.
//     The reservation would stay until its lifetime ends, for a request that was given up
//     long before. So the end is remembered for endRetention.
//   - A message is received twice. The second one has no effect.
package book

import "time"

// endRetention is how long the end of an unknown reservation is remembered: longer than a
// call that requests a reservation can be delayed.
const endRetention = 30 * time.Second

// Key identifies a request by the incarnation of its host and its id on that host.
type Key struct{ Incarnation, Request string }

// Book holds the reservations of one owner.
type Book struct {
	open          map[Key]reservation
	unmatchedEnds map[Key]time.Time
}

type reservation struct {
	tokens uint64
	until  time.Time
}

// New returns an empty book.
func New() *Book {
	return &Book{open: make(map[Key]reservation), unmatchedEnds: make(map[Key]time.Time)}
}

// Add records a reservation. It returns false if the request has already ended: the
// reservation must then be released.
func (b *Book) Add(now time.Time, k Key, tokens uint64, lifetime time.Duration) bool {
	if _, ended := b.unmatchedEnds[k]; ended {
		return false
	}
	b.open[k] = reservation{tokens: tokens, until: now.Add(lifetime)}
	return true
}

// End records that a request has ended. It returns false if the request has no reservation,
// or no longer has one.
func (b *Book) End(now time.Time, k Key) bool {
	_, ok := b.open[k]
	delete(b.open, k)
	if !ok {
		b.unmatchedEnds[k] = now
	}
	return ok
}

// Expired is a reservation that was removed without an end reported by its host.
type Expired struct {
	Key
	// Tokens is the size of the reservation, all of which counts as spent.
	Tokens uint64
}

// Expire removes and returns the reservations whose lifetime has passed.
func (b *Book) Expire(now time.Time) []Expired {
	var out []Expired
	for k, r := range b.open {
		if now.After(r.until) {
			out = append(out, Expired{Key: k, Tokens: r.tokens})
			delete(b.open, k)
		}
	}
	for k, at := range b.unmatchedEnds {
		if now.Sub(at) > endRetention {
			delete(b.unmatchedEnds, k)
		}
	}
	return out
}

// RemoveAll removes and returns all reservations, when their owner stops.
func (b *Book) RemoveAll() []Expired {
	var out []Expired
	for k, r := range b.open {
		out = append(out, Expired{Key: k, Tokens: r.tokens})
	}
	clear(b.open)
	return out
}

// Len returns the number of reservations.
func (b *Book) Len() int { return len(b.open) }
