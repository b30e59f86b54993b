package balance

import (
	"math/bits"

	"github.com/bluebellsail/bluebellsail/internal/rendezvous"
)

// shardSize is about how many servers one host places the requests for. A request to such
// a server costs that host two calls of about 0.1 ms; with 24 servers that answer 3
// requests a second each that is 2 % of a core.
const shardSize = 24

// Shard is a part of a service's servers: those whose ids hash to Index among Of. The
// zero value has all of them.
type Shard struct{ Index, Of uint32 }

func (s Shard) has(id string) bool {
	return s.Of <= 1 || shardIndex(id, s.Of) == s.Index
}

// shardIndex is the shard of an instance among so many, a power of two.
func shardIndex(id string, of uint32) uint32 { return uint32(rendezvous.Hash(id)) & (of - 1) }

// Next is the shard after this one, in turn.
func (s Shard) Next() Shard { return Shard{Index: (s.Index + 1) % max(s.Of, 1), Of: s.Of} }

// shards is into how many shards so many servers are divided: a power of two, so that a
// server more or less moves nothing but at the powers.
func shards(servers int) uint32 {
	n := (servers + shardSize - 1) / shardSize
	return 1 << bits.Len(uint(max(n, 1)-1))
}

// ShardOf is the shard in which w belongs: that of the server that is home to its shared
// parts, or any.
func (c *Core) ShardOf(w *Work) Shard {
	of := shards(len(c.reg.Serving(w.Service)))
	if home := c.home(w); home != "" {
		return Shard{Index: shardIndex(home, of), Of: of}
	}
	return Shard{Index: c.rng.Uint32N(of), Of: of}
}
