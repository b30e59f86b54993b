package balance

import (
	"slices"

	"github.com/bluebellsail/bluebellsail/internal/instance"
)

// Known are prompt parts that an instance keeps, the least recently used first.
type Known struct {
	Server instance.Incarnation
	Parts  []Part
	// CacheTokens is the instance's memory.
	CacheTokens uint64
}

// maxTouched bounds the parts of one instance that Touched returns: those of some hundred
// milliseconds of its work.
const maxTouched = 256

// Touched takes the parts that were sent to instances since the last call.
func (c *Core) Touched() []Known {
	var out []Known
	for run, parts := range c.touched {
		parts = parts[max(len(parts)-maxTouched, 0):]
		out = append(out, Known{Server: run, Parts: parts, CacheTokens: c.server(run).cache.limit})
	}
	clear(c.touched)
	return out
}

// Knowledge is what is known of the caches of a service's instances in a shard.
func (c *Core) Knowledge(service string, in Shard) []Known {
	var out []Known
	for _, inst := range c.reg.Serving(service) {
		s := c.servers[inst.Incarnation()]
		if s == nil || !in.has(inst.ID) || s.cache.size == 0 {
			continue
		}
		out = append(out, Known{Server: inst.Incarnation(), Parts: s.cache.list(), CacheTokens: s.cache.limit})
	}
	return out
}

// Learn takes what another host knows of instances' caches. What is said of a run that is
// over is of no use: the next run keeps nothing of it.
func (c *Core) Learn(known []Known) {
	for _, k := range known {
		if c.reg.Over(k.Server) {
			continue
		}
		c.server(k.Server).cache.learn(k.Parts, k.CacheTokens)
	}
}

// ShardOfServer is the service of a run of a server and the shard that it is in; ok is
// false if the run is over or not known.
func (c *Core) ShardOfServer(run instance.Incarnation) (service string, in Shard, ok bool) {
	inst, known := c.reg.Get(run.ID)
	if !known || !c.reg.Holds(run) {
		return "", Shard{}, false
	}
	of := shards(len(c.reg.Serving(inst.Service)))
	return inst.Service, Shard{Index: shardIndex(run.ID, of), Of: of}, true
}

// reversed lists a prompt's parts with the shared ones, which others use too, last.
func reversed(prompt []Part) []Part {
	parts := slices.Clone(prompt)
	slices.Reverse(parts)
	return parts
}
