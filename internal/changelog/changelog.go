// Package changelog orders the entries of a replicated set by their last change. With it a replica sends
// a peer only what has changed since their last exchange, and keeps no more than a Position for each
// peer, however many entries there are. Digests of the set tell which entries a peer lacks that got
// others elsewhere, or of which nothing is known. The package is pure, and the caller serializes the
// calls.
package changelog

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxBuckets and minBuckets bound the number of parts of the set that a Digest tells apart.
	maxBuckets = 256
	minBuckets = 8
	// entriesPerBucket is about the number of entries in a part of a small set.
	entriesPerBucket = 2
)

// Class is the class of a change.
type Class int

// Classes of changes. Urgent ones are sent before all others. Unnoted ones are not sent at all: peers
// learn them with the entry's next change.
const (
	Unnoted Class = iota
	Normal
	Urgent
)

// Position is a position in the changes of a Log, one for each class that is sent. The zero value stands
// before all changes.
type Position struct{ Urgent, Normal uint64 }

// Digest summarizes the entries of each of a number of buckets, a power of two. Replicas with the same
// entries have digests that are the same when folded to the same length.
type Digest []uint32

// Valid reports whether the digest has a valid length.
func (d Digest) Valid() bool {
	return len(d) > 0 && len(d) <= maxBuckets && bits.OnesCount(uint(len(d))) == 1
}

// fold returns the digest of fewer buckets.
func (d Digest) fold(buckets int) Digest {
	out := make(Digest, buckets)
	for i, sum := range d {
		out[i%buckets] ^= sum
	}
	return out
}

// Summary tells of an entry's state without its content: a hash of the key in the high 32 bits, and the sum in the
// low ones. A replica that has an entry with the same summary lacks nothing of it.
type Summary uint64

func summaryOf(hash, sum uint32) Summary { return Summary(hash)<<32 | Summary(sum) }

// KeyHash returns the hash of the entry's key.
func (s Summary) KeyHash() uint32 { return uint32(s >> 32) }

func (s Summary) sum() uint32 { return uint32(s) }

// Log holds the entries' keys in the order of their last change.
type Log struct {
	// last is the number of the last change.
	last    uint64
	size    int
	buckets [maxBuckets]map[string]*entry
	// byHash holds the entries by the hash of their key; those with the same one are linked.
	byHash map[uint32]*entry
	// digest has maxBuckets buckets.
	digest Digest
	urgent changes
	normal changes
}

type entry struct {
	key    string
	bucket int
	hash   uint32
	// sameHash is another entry with the same hash; nil if there is none.
	sameHash *entry
	// change is the number of the entry's last change; 0 if none was sent.
	change uint64
	// origin is the peer from which the last change came; empty if it arose here.
	origin string
	// sum is the entry's contribution to the digest.
	sum uint32
}

// change is a change of an entry. It is outdated if the entry has changed since.
type change struct {
	number uint64
	entry  *entry
}

func (c change) outdated() bool { return c.entry.change != c.number }

// changes are the changes of one class in their order.
type changes []change

// New returns an empty Log.
func New() *Log { return &Log{digest: make(Digest, maxBuckets), byHash: make(map[uint32]*entry)} }

func hashOf(key string) uint32 { return uint32(xxhash.Sum64String(key)) }

func bucketOf(hash uint32) int { return int(hash % maxBuckets) }

// Record records an entry's state. sum is a hash of what replicas must agree on; 0 leaves the entry out of
// the digest. origin is the peer that sent a change; empty if it arose here.
func (l *Log) Record(key string, sum uint32, class Class, origin string) {
	hash := hashOf(key)
	bucket := bucketOf(hash)
	e := l.buckets[bucket][key]
	if e == nil {
		e = &entry{key: key, bucket: bucket, hash: hash, sameHash: l.byHash[hash]}
		l.byHash[hash] = e
		if l.buckets[bucket] == nil {
			l.buckets[bucket] = make(map[string]*entry)
		}
		l.buckets[bucket][key] = e
		l.size++
	}
	l.digest[bucket] ^= e.sum ^ sum
	e.sum = sum
	if class == Unnoted {
		return
	}
	l.last++
	e.change, e.origin = l.last, origin
	if class == Urgent {
		l.urgent.add(change{l.last, e}, l.size)
	} else {
		l.normal.add(change{l.last, e}, l.size)
	}
}

// minCompaction is the number of changes below which outdated ones are kept.
const minCompaction = 64

// add appends a change, and drops the outdated ones when they are more than the entries.
func (c *changes) add(newest change, entries int) {
	*c = append(*c, newest)
	if len(*c) > 2*entries+minCompaction {
		*c = slices.DeleteFunc(*c, change.outdated)
	}
}

// Remove removes an entry.
func (l *Log) Remove(key string) {
	hash := hashOf(key)
	bucket := bucketOf(hash)
	e := l.buckets[bucket][key]
	if e == nil {
		return
	}
	l.digest[bucket] ^= e.sum
	e.change = 0
	delete(l.buckets[bucket], key)
	l.unlink(e)
	l.size--
}

// unlink removes an entry from those with its hash.
func (l *Log) unlink(e *entry) {
	first := l.byHash[e.hash]
	switch {
	case first != e:
		for first.sameHash != e {
			first = first.sameHash
		}
		first.sameHash = e.sameHash
	case e.sameHash != nil:
		l.byHash[e.hash] = e.sameHash
	default:
		delete(l.byHash, e.hash)
	}
}

// End returns the position after the last change.
func (l *Log) End() Position { return Position{l.last, l.last} }

// Digest returns the digest of all entries, in a length that suits their number.
func (l *Log) Digest() Digest {
	buckets := 1 << bits.Len(uint(l.size/entriesPerBucket))
	return l.digest.fold(min(max(buckets, minBuckets), maxBuckets))
}

// difference tells the buckets in which a peer's digest differs. Without a valid digest it is all of them.
type difference struct{ own, theirs Digest }

func (l *Log) difference(theirs Digest) difference {
	if !theirs.Valid() {
		return difference{}
	}
	return difference{l.digest.fold(len(theirs)), theirs}
}

func (d difference) contains(bucket int) bool {
	if len(d.own) == 0 {
		return true
	}
	return d.own[bucket%len(d.own)] != d.theirs[bucket%len(d.own)]
}

// Since returns the keys of up to limit entries that have changed after a position, urgent ones first and
// otherwise in the order of their changes, and the position up to which a peer that gets them has all
// changes. It leaves out those that came from the peer, and those that the peer has by its digest, which
// may be absent.
func (l *Log) Since(after Position, limit int, peer string, theirs Digest) (keys []string, upTo Position) {
	differs := l.difference(theirs)
	return l.since(after, limit, func(e *entry) bool {
		return (peer == "" || e.origin != peer) && differs.contains(e.bucket)
	})
}

// OwnSince is like Since for the changes that arose here.
func (l *Log) OwnSince(after Position, limit int) (keys []string, upTo Position) {
	return l.since(after, limit, func(e *entry) bool { return e.origin == "" })
}

func (l *Log) since(after Position, limit int, include func(*entry) bool) (keys []string, upTo Position) {
	upTo = l.End()
	keys, upTo.Urgent = l.urgent.since(after.Urgent, upTo.Urgent, nil, limit, include)
	keys, upTo.Normal = l.normal.since(after.Normal, upTo.Normal, keys, limit, include)
	return keys, upTo
}

// since appends the keys that changed after a number, until there are limit of them. upTo is the number of
// the last change covered; end if that is all of them.
func (c changes) since(after, end uint64, keys []string, limit int, include func(*entry) bool) (_ []string, upTo uint64) {
	first, _ := slices.BinarySearchFunc(c, after+1, func(x change, number uint64) int { return cmp.Compare(x.number, number) })
	upTo = after
	for _, x := range c[first:] {
		if !x.outdated() && include(x.entry) {
			if len(keys) >= limit {
				return keys, upTo
			}
			keys = append(keys, x.entry.key)
		}
		upTo = x.number
	}
	return keys, max(upTo, end)
}

// Differing returns the keys of up to limit entries in the buckets in which a peer's digest differs, from
// the bucket first on. complete reports whether these are all of them. Replies of several replicas with
// different first buckets overlap little.
func (l *Log) Differing(theirs Digest, limit, first int) (keys []string, complete bool) {
	differs := l.difference(theirs)
	for i := range maxBuckets {
		bucket := (first + i) % maxBuckets
		if !differs.contains(bucket) {
			continue
		}
		if len(keys) > 0 && len(keys)+len(l.buckets[bucket]) > limit {
			return keys, false
		}
		start := len(keys)
		for key := range l.buckets[bucket] {
			keys = append(keys, key)
		}
		slices.Sort(keys[start:])
	}
	return keys, true
}

// DifferingSummaries is like Differing for a peer that takes summaries: missing has the keys of entries of which the
// peer has none in their bucket, up to limit, and summaries those of the others, up to maxSummaries.
func (l *Log) DifferingSummaries(theirs Digest, limit, maxSummaries, first int) (missing []string, summaries []Summary, complete bool) {
	if !theirs.Valid() {
		missing, complete = l.Differing(theirs, limit, first)
		return missing, nil, complete
	}
	differs := l.difference(theirs)
	complete = true
	for i := range maxBuckets {
		bucket := (first + i) % maxBuckets
		size := len(l.buckets[bucket])
		if size == 0 || !differs.contains(bucket) {
			continue
		}
		if theirs[bucket%len(theirs)] == 0 {
			if len(missing) > 0 && len(missing)+size > limit {
				complete = false
				continue
			}
			start := len(missing)
			for key := range l.buckets[bucket] {
				missing = append(missing, key)
			}
			slices.Sort(missing[start:])
			continue
		}
		if len(summaries) > 0 && len(summaries)+size > maxSummaries {
			complete = false
			continue
		}
		for _, e := range l.buckets[bucket] {
			summaries = append(summaries, summaryOf(e.hash, e.sum))
		}
	}
	return missing, summaries, complete
}

// Summary returns the summary of an entry; ok is false if there is none with the key.
func (l *Log) Summary(key string) (s Summary, ok bool) {
	hash := hashOf(key)
	e := l.buckets[bucketOf(hash)][key]
	if e == nil {
		return 0, false
	}
	return summaryOf(e.hash, e.sum), true
}

// Has reports whether the log has an entry with a summary.
func (l *Log) Has(s Summary) bool {
	for e := l.byHash[s.KeyHash()]; e != nil; e = e.sameHash {
		if e.sum == s.sum() {
			return true
		}
	}
	return false
}

// Keys returns the keys with a hash.
func (l *Log) Keys(hash uint32) []string {
	var keys []string
	for e := l.byHash[hash]; e != nil; e = e.sameHash {
		keys = append(keys, e.key)
	}
	return keys
}

// Hash returns a hash of the digest of all entries; never 0.
func (l *Log) Hash() uint64 {
	// FNV-1a by words.
	h := uint64(14695981039346656037)
	for _, sum := range l.digest {
		h = (h ^ uint64(sum)) * 1099511628211
	}
	return max(h, 1)
}
