// Package rendezvous assigns keys to members by rendezvous hashing (highest random weight). Hosts
// with the same set of members compute the same assignment without communication, and a member
// that joins or leaves moves only the keys for which it ranks first.
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the hash of a key or a member's name, as Rank takes it.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Rank returns a member's weight for a key; the member with the highest weight owns the key.
func Rank(key, member uint64) uint64 {
	x := key ^ member*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// Members is a set of members with their hashes.
type Members struct {
	names  []string
	hashes []uint64
}

// New returns the set of members with the given names.
func New(names []string) Members {
	m := Members{names: slices.Clone(names), hashes: make([]uint64, len(names))}
	for i, name := range names {
		m.hashes[i] = Hash(name)
	}
	return m
}

// Len returns the number of members.
func (m Members) Len() int { return len(m.names) }

// RankOf returns a member's rank for a key, 0 first; ok is false if the name is not in the set.
func (m Members) RankOf(name string, key uint64) (rank int, ok bool) {
	at := slices.Index(m.names, name)
	if at < 0 {
		return 0, false
	}
	own := Rank(key, m.hashes[at])
	for _, h := range m.hashes {
		if Rank(key, h) > own {
			rank++
		}
	}
	return rank, true
}

// First returns the n members that rank first for a key, the owner first.
func (m Members) First(key uint64, n int) []string {
	var names []string
	var ranks []uint64
	for i, h := range m.hashes {
		rank := Rank(key, h)
		at := len(ranks)
		for at > 0 && rank > ranks[at-1] {
			at--
		}
		if at >= n {
			continue
		}
		ranks = slices.Insert(ranks, at, rank)
		names = slices.Insert(names, at, m.names[i])
		if len(names) > n {
			ranks, names = ranks[:n], names[:n]
		}
	}
	return names
}
