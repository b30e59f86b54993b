package balance

import "time"

const (
	// drainWeight is the weight of the newest request in the moving averages of a service.
	drainWeight = 0.05
	// maxEffortTokens bounds the tokens of one request that count towards its effort.
	maxEffortTokens = 1 << 24
	// plainEffort is the effort of a request to a plain service, all of which count the same.
	plainEffort = time.Millisecond
)

// drain is how long a service's requests have held their servers, against their effort.
type drain struct{ held, effort float64 }

// effort returns the work of a request with the given number of tokens to prefill, as the time that an
// engine takes to prefill as many tokens as it prefills and puts out.
func effort(w *Work, uncached uint64) time.Duration {
	if !w.Engine {
		return plainEffort
	}
	tokens := min(uncached, maxEffortTokens) + min(w.OutputTokens, maxEffortTokens)
	return prefillTime(float64(max(tokens, 1)))
}

// MinTime returns the least time from the start of a request to the first part of its answer: an engine has
// at most the shared parts of its prompt cached.
func (w *Work) MinTime() time.Duration {
	if !w.Engine {
		return 0
	}
	own := w.PromptTokens - min(SharedTokens(w.Prompt), w.PromptTokens)
	return prefillTime(float64(min(own, maxEffortTokens)))
}

// Effort returns the work of a request, as a time: its tokens to prefill at the server of its shard that has
// most of its prompt cached, and its expected output.
func (c *Core) Effort(w *Work) time.Duration {
	cached := uint64(0)
	if w.Engine {
		for _, inst := range c.reg.ServingInShard(w.Service, w.Shard.Index, w.Shard.Of) {
			if s := c.servers[inst.Incarnation()]; s != nil {
				cached = max(cached, s.cache.cached(w.Prompt))
			}
		}
	}
	return effort(w, w.PromptTokens-min(cached, w.PromptTokens))
}

// recordDrain updates the averages with a request that has ended. Requests that a server did not take have
// held none.
func (c *Core) recordDrain(now time.Time, r *attempt, result Result) {
	if result == Shed || result == Unreachable {
		return
	}
	d := c.drains[r.service]
	held, effort := now.Sub(r.started).Seconds(), r.effort.Seconds()
	if d == nil {
		c.drains[r.service] = &drain{held: held, effort: effort}
		return
	}
	d.held += drainWeight * (held - d.held)
	d.effort += drainWeight * (effort - d.effort)
}

// ShardLoad is the room that the servers of a shard have.
type ShardLoad struct {
	// Servers is the number of servers, Slots how many requests they run at once, and Running how many this
	// host has assigned to them.
	Servers, Slots, Running int
}

// Load returns the room of the servers of a shard.
func (c *Core) Load(service string, in Shard) ShardLoad {
	var l ShardLoad
	for _, inst := range c.reg.ServingInShard(service, in.Index, in.Of) {
		l.Servers++
		l.Slots += max(inst.Slots, 0)
		if s := c.servers[inst.Incarnation()]; s != nil {
			l.Running += s.running
		}
	}
	return l
}

// DrainTime predicts how long the servers of a shard, which have no room at present, take to make room for
// requests of the given effort in all; 0 if no request of the service has ended yet.
func (c *Core) DrainTime(service string, in Shard, effort time.Duration) time.Duration {
	d := c.drains[service]
	if d == nil || d.effort <= 0 {
		return 0
	}
	running := max(c.Load(service, in).Running, 1)
	return time.Duration(float64(effort) * d.held / d.effort / float64(running))
}
