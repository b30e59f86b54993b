// Package rendezvous assigns keys to members by rendezvous hashing (highest random weight). Hosts
// with the same set of members compute the same assignment without communication, and a member
// that joins or leaves moves only the keys for which it ranks first.
//
// Members may have weights. A member is then the first for a share of the keys that is its share of the
// sum of all weights, and a weight that changes moves keys only to or from that member. Members of the same
// weight rank as they do without weights.
package rendezvous

import (
	"math"
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
	// mean holds the inverse of each member's weight; nil if all have the same one.
	mean []float64
}

// New returns the set of members with the given names.
func New(names []string) Members {
	m := Members{names: slices.Clone(names), hashes: make([]uint64, len(names))}
	for i, name := range names {
		m.hashes[i] = Hash(name)
	}
	return m
}

// Weighted returns the set with the given weights of its members, which are above 0. Without any, all members
// have the same weight.
func (m Members) Weighted(weights []float64) Members {
	m.mean = nil
	if !slices.ContainsFunc(weights, func(w float64) bool { return w != weights[0] }) {
		return m
	}
	m.mean = make([]float64, len(weights))
	for i, w := range weights {
		m.mean[i] = 1 / w
	}
	return m
}

// Len returns the number of members.
func (m Members) Len() int { return len(m.names) }

// score is the place of a member for a key: the lower time first, and of the same time the higher rank.
// Without weights all times are 0.
//
// Times are exponentially distributed with the weight as their rate, which makes the first one each member's
// with a probability of its weight's share (Efraimidis and Spirakis, "Weighted random sampling with a
// reservoir", 2006).
type score struct {
	time float64
	rank uint64
}

func (s score) before(o score) bool { return s.time < o.time || s.time == o.time && s.rank > o.rank }

// rounding is a bound, generously, of the relative error of a time.
const rounding = 1e-12

// unit is the distance between the numbers in (0, 1] to which ranks are mapped.
const unit = 1.0 / (1 << 53)

// mayPrecede reports whether the member at an index, of the given rank for a key, may come before worst. It
// takes no logarithm: that of a number is never nearer to 0 than the number is to 1.
func (m *Members) mayPrecede(at int, rank uint64, worst score) bool {
	if m.mean == nil {
		return rank > worst.rank || worst.time > 0
	}
	return float64(^rank>>11)*unit*m.mean[at] <= worst.time*(1+rounding)
}

// score returns the score of the member at an index, of the given rank for a key.
func (m *Members) score(at int, rank uint64) score {
	if m.mean == nil {
		return score{rank: rank}
	}
	return score{time: -math.Log(float64(rank>>11+1)*unit) * m.mean[at], rank: rank}
}

// last comes after the scores of all members.
var last = score{time: math.Inf(1)}

// RankOf returns a member's rank for a key, 0 first; ok is false if the name is not in the set.
func (m Members) RankOf(name string, key uint64) (rank int, ok bool) {
	at := slices.Index(m.names, name)
	if at < 0 {
		return 0, false
	}
	own := m.score(at, Rank(key, m.hashes[at]))
	for i, hash := range m.hashes {
		if other := Rank(key, hash); m.mayPrecede(i, other, own) && m.score(i, other).before(own) {
			rank++
		}
	}
	return rank, true
}

// First returns the n members that rank first for a key, the owner first.
func (m Members) First(key uint64, n int) []string {
	if n = min(n, len(m.names)); n <= 0 {
		return nil
	}
	scores := make([]score, 0, n+1)
	names := make([]string, 0, n+1)
	worst := last
	for i, hash := range m.hashes {
		rank := Rank(key, hash)
		if !m.mayPrecede(i, rank, worst) {
			continue
		}
		s := m.score(i, rank)
		if !s.before(worst) {
			continue
		}
		at := len(scores)
		for at > 0 && s.before(scores[at-1]) {
			at--
		}
		scores, names = slices.Insert(scores, at, s), slices.Insert(names, at, m.names[i])
		if len(names) > n {
			scores, names = scores[:n], names[:n]
		}
		if len(names) == n {
			worst = scores[n-1]
		}
	}
	return names
}
