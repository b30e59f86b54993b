package balance

import (
	"math/bits"

	"github.com/bluebellsail/bluebellsail/internal/rendezvous"
)

// shardSize is the approximate number of servers whose requests one host assigns. A request to
// such a server costs the host two calls of about 0.1 ms; with 24 servers at 3 answers a second
// each that is 2 % of a core.
const shardSize = 24

// Shard is a part of a service's servers: those whose ids hash to Index modulo Of. The zero
// value contains all servers.
type Shard struct{ Index, Of uint32 }

func (s Shard) contains(id string) bool {
	return s.Of <= 1 || shardIndex(id, s.Of) == s.Index
}

// shardIndex returns the shard of a server among of shards; of is a power of two.
func shardIndex(id string, of uint32) uint32 { return uint32(rendezvous.Hash(id)) & (of - 1) }

// Next returns the next shard in cyclic order.
func (s Shard) Next() Shard { return Shard{Index: (s.Index + 1) % max(s.Of, 1), Of: s.Of} }

// shardCount returns the number of shards for a number of servers. It is a power of two, so that
// servers change shards only when their number crosses a power of two.
func shardCount(servers int) uint32 {
	n := (servers + shardSize - 1) / shardSize
	return 1 << bits.Len(uint(max(n, 1)-1))
}

// ShardOf returns the shard of the preferred server for w's shared parts, or a random shard if w
// has none.
func (c *Core) ShardOf(w *Work) Shard {
	of := shardCount(c.reg.ServingCount(w.Service))
	if preferred := c.preferredServer(w); preferred != "" {
		return Shard{Index: shardIndex(preferred, of), Of: of}
	}
	return Shard{Index: c.rng.Uint32N(of), Of: of}
}
