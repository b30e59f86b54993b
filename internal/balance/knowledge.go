package balance

import "slices"

// Known are prompt parts that an instance keeps, the least recently used first.
type Known struct {
	Server string
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
	for id, parts := range c.touched {
		parts = parts[max(len(parts)-maxTouched, 0):]
		out = append(out, Known{Server: id, Parts: parts, CacheTokens: c.server(id).cache.limit})
	}
	clear(c.touched)
	return out
}

// Knowledge is what is known of the caches of a service's instances in a shard.
func (c *Core) Knowledge(service string, in Shard) []Known {
	var out []Known
	for _, inst := range c.reg.Serving(service) {
		s := c.servers[inst.ID]
		if s == nil || !in.has(inst.ID) || s.cache.size == 0 {
			continue
		}
		out = append(out, Known{Server: inst.ID, Parts: s.cache.list(), CacheTokens: s.cache.limit})
	}
	return out
}

// Learn takes what another host knows of instances' caches.
func (c *Core) Learn(known []Known) {
	for _, k := range known {
		c.server(k.Server).cache.learn(k.Parts, k.CacheTokens)
	}
}

// ShardOfServer is the service of an instance and the shard that it is in; ok is false if the
// instance is not known.
func (c *Core) ShardOfServer(id string) (service string, in Shard, ok bool) {
	inst, ok := c.reg.Get(id)
	if !ok {
		return "", Shard{}, false
	}
	of := shards(len(c.reg.Serving(inst.Service)))
	return inst.Service, Shard{Index: shardIndex(id, of), Of: of}, true
}

// reversed lists a prompt's parts with the shared ones, which others use too, last.
func reversed(prompt []Part) []Part {
	parts := slices.Clone(prompt)
	slices.Reverse(parts)
	return parts
}
