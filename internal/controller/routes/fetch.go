package routes

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// fetchTimeout bounds the first try of a fetch; the largest tables take tens of kilobytes
	// on the wire. After each timeout the next try gets twice the time, up to maxFetchTimeout,
	// because a fetch that is abandoned half-way has used the link in vain.
	fetchTimeout    = time.Second
	maxFetchTimeout = 8 * time.Second
	// hedgeAfter is how long a fetch may take before the table is fetched from another host as
	// well; at most maxFetches run at once. A table of 1,400 routes takes 16 ms over a link of
	// 10 Mbit/s, and a host that is frozen or partitioned counts as alive for some heartbeats.
	hedgeAfter = 300 * time.Millisecond
	maxFetches = 2
)

// fetch is a fetch that runs.
type fetch struct {
	since time.Time
	// control is set if it goes to a control host.
	control bool
}

// FetchFrom fetches the table of the host at an address, which has reported this revision,
// unless this host's table is as new.
func (c *Controller) FetchFrom(ctx context.Context, address string, revision uint64) {
	if c.Revision() < revision {
		c.fetchFrom(ctx, Source{Address: address, Revision: revision})
	}
}

// nextNewer returns the next host in turn that has a newer table, and marks it as being fetched from.
// It returns false if there is none, or no further fetch may start yet. Beside maxFetches from control hosts,
// which may be lost together just after they have committed a table, one from another host may run.
func (c *Controller) nextNewer(sources []Source) (Source, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Now()
	onlyControl := true
	for _, running := range c.fetching {
		if now.Sub(running.since) < hedgeAfter {
			return Source{}, false
		}
		onlyControl = onlyControl && running.control
	}
	full := len(c.fetching) >= maxFetches
	if full && !onlyControl {
		return Source{}, false
	}
	have := c.table.GetRevision()
	reported := uint64(0)
	for _, revision := range c.reportedRevisions {
		reported = max(reported, revision)
	}
	var candidates []Source
	for _, s := range sources {
		newer := s.Revision > have || reported > have && c.reportedRevisions[s.Address] > have
		if !newer || full && s.Control {
			continue
		}
		if _, asked := c.fetching[s.Address]; !asked {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return Source{}, false
	}
	c.nextSource++
	source := candidates[c.nextSource%len(candidates)]
	c.fetching[source.Address] = fetch{since: now, control: source.Control}
	return source, true
}

// endFetch records that the fetch from a host has ended.
func (c *Controller) endFetch(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.fetching, address)
}

func (c *Controller) fetchFrom(parent context.Context, source Source) {
	c.mu.Lock()
	timeout := c.timeouts[source.Address]
	if timeout == 0 {
		timeout = fetchTimeout
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	asked := c.cfg.Now()
	reply, err := c.cfg.Fetch(ctx, source.Address, &pb.FetchRoutesRequest{Have: c.Revision()})
	if err != nil {
		c.cfg.Log.Debug().Str("event", "routes-not-fetched").Str("from", source.Address).
			Uint64("told", source.Revision).Uint64("have", c.Revision()).Dur("timeout", timeout).Err(err).Send()
	}
	c.mu.Lock()
	switch {
	case err == nil:
		delete(c.timeouts, source.Address)
	case ctx.Err() != nil:
		c.timeouts[source.Address] = min(2*timeout, maxFetchTimeout)
	}
	if err != nil {
		delete(c.reportedRevisions, source.Address)
	}
	c.mu.Unlock()
	if err == nil {
		c.ApplyAnswer(source.Address, asked, reply)
	}
}
