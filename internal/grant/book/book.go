// Package book keeps the reservations that the owner of a budget has made for requests
// that other hosts serve. It is pure: time is passed in, and the caller serialises the
// calls.
//
// A reservation ends when its host says what the request used. Three things can go wrong
// in between, and none of them may let a token be spent twice:
//
//   - The host is lost. Nobody will say what was used; after the reservation's lifetime,
//     within which the request has surely ended, all of it counts as spent.
//   - The message that ends a reservation overtakes the one that asks for it, which was
//     held up. The reservation would stay until its lifetime ends, for a request that was
//     given up long ago. So the end is remembered for a while.
//   - A message comes twice. The second one finds nothing.
package book

import "time"

// rememberEnds is how long the end of a reservation that is not known is remembered:
// longer than a call that asks for one can be held up.
const rememberEnds = 30 * time.Second

// Key names a request: the run of its host, and its id there.
type Key struct{ Incarnation, Request string }

// Book of one owner.
type Book struct {
	open  map[Key]reservation
	ended map[Key]time.Time
}

type reservation struct {
	tokens uint64
	until  time.Time
}

// New makes an empty book.
func New() *Book {
	return &Book{open: make(map[Key]reservation), ended: make(map[Key]time.Time)}
}

// Add notes a reservation that was made. It returns false if the request has ended
// already: the reservation must be released.
func (b *Book) Add(now time.Time, k Key, tokens uint64, lifetime time.Duration) bool {
	if _, over := b.ended[k]; over {
		return false
	}
	b.open[k] = reservation{tokens: tokens, until: now.Add(lifetime)}
	return true
}

// End takes that a request has ended. It returns false if there is no reservation, or
// none any more.
func (b *Book) End(now time.Time, k Key) bool {
	_, ok := b.open[k]
	delete(b.open, k)
	if !ok {
		b.ended[k] = now
	}
	return ok
}

// Expired is a reservation whose lifetime has passed.
type Expired struct {
	Key
	// Tokens count as spent.
	Tokens uint64
}

// Expire takes the reservations off the book whose lifetime has passed.
func (b *Book) Expire(now time.Time) []Expired {
	var out []Expired
	for k, r := range b.open {
		if now.After(r.until) {
			out = append(out, Expired{Key: k, Tokens: r.tokens})
			delete(b.open, k)
		}
	}
	for k, at := range b.ended {
		if now.Sub(at) > rememberEnds {
			delete(b.ended, k)
		}
	}
	return out
}

// RemoveAll takes all reservations off the book: their owner stops.
func (b *Book) RemoveAll() []Expired {
	var out []Expired
	for k, r := range b.open {
		out = append(out, Expired{Key: k, Tokens: r.tokens})
	}
	clear(b.open)
	return out
}

// Len is the number of reservations.
func (b *Book) Len() int { return len(b.open) }
