package balance

import (
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/instance"
)

// CachedParts lists the prompt parts that a server has cached, the least recently used first.
type CachedParts struct {
	Server instance.Incarnation
	Parts  []Part
	// CacheTokens is the server's cache capacity in tokens.
	CacheTokens uint64
}

// maxDispatched bounds the parts that TakeDispatched returns for one server. It covers a few hundred
// milliseconds of the server's work.
const maxDispatched = 256

// TakeDispatched returns the parts sent to servers since the last call.
func (c *Core) TakeDispatched() []CachedParts {
	var out []CachedParts
	for inc, parts := range c.dispatched {
		parts = parts[max(len(parts)-maxDispatched, 0):]
		out = append(out, CachedParts{Server: inc, Parts: parts, CacheTokens: c.server(inc).cache.capacity})
	}
	clear(c.dispatched)
	return out
}

// ShardCaches returns the estimated caches of a service's servers in a shard.
func (c *Core) ShardCaches(service string, in Shard) []CachedParts {
	var out []CachedParts
	for _, inst := range c.reg.ServingInShard(service, in.Index, in.Of) {
		s := c.servers[inst.Incarnation()]
		if s == nil || s.cache.size == 0 {
			continue
		}
		out = append(out, CachedParts{Server: inst.Incarnation(), Parts: s.cache.list(), CacheTokens: s.cache.capacity})
	}
	return out
}

// MergeCaches adds the parts that another host reports as cached. Entries of an incarnation that
// has ended are ignored: the next incarnation starts with an empty cache.
func (c *Core) MergeCaches(now time.Time, known []CachedParts) {
	for _, k := range known {
		if c.reg.HasEnded(k.Server) {
			continue
		}
		s := c.server(k.Server)
		s.cache.merge(k.Parts, k.CacheTokens)
		s.others.seen(now)
	}
}

// ShardOfServer returns the service of a server's incarnation and its shard; ok is false if the
// incarnation has ended or is not known.
func (c *Core) ShardOfServer(inc instance.Incarnation) (service string, in Shard, ok bool) {
	inst, known := c.reg.Get(inc.ID)
	if !known || !c.reg.IsCurrent(inc) {
		return "", Shard{}, false
	}
	of := shardCount(c.reg.ServingCount(inst.Service))
	return inst.Service, Shard{Index: shardIndex(inc.ID, of), Of: of}, true
}

// reversed returns a prompt's parts in reverse order, the shared ones at the beginning last.
func reversed(prompt []Part) []Part {
	parts := slices.Clone(prompt)
	slices.Reverse(parts)
	return parts
}
