package routes

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// fetchTimeout bounds the first try of a fetch: the largest tables have some ten
	// kilobytes as they are sent. Each try after one that took too long has twice the time,
	// up to maxFetchTimeout: what is given up half-way has used the link for nothing.
	fetchTimeout    = time.Second
	maxFetchTimeout = 8 * time.Second
	// hedgeAfter is how long a fetch is waited for before another host is asked, too; maxFetches
	// are under way at most. A table of 1,400 routes takes 16 ms over a link of 10 Mbit/s; a
	// host that is frozen, or cut off, is told of as alive for some heartbeats.
	hedgeAfter = 300 * time.Millisecond
	maxFetches = 2
)

// FetchFrom gets the table of the host at an address, which has told that its revision is
// this one, unless this host has as new a table.
func (c *Controller) FetchFrom(ctx context.Context, address string, revision uint64) {
	if c.Revision() < revision {
		c.fetch(ctx, Source{Address: address, Revision: revision})
	}
}

// newer is a host that has a newer table, another one each time, and that is to be asked for
// it; it counts as being asked from now on.
func (c *Controller) newer(sources []Source) (Source, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Now()
	for _, since := range c.fetching {
		if now.Sub(since) < hedgeAfter {
			return Source{}, false
		}
	}
	if len(c.fetching) >= maxFetches {
		return Source{}, false
	}
	have := c.table.GetRevision()
	var candidates []Source
	for _, s := range sources {
		if _, asked := c.fetching[s.Address]; !asked && max(s.Revision, c.offers[s.Address]) > have {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return Source{}, false
	}
	c.next++
	source := candidates[c.next%len(candidates)]
	c.fetching[source.Address] = now
	return source, true
}

// fetched notes that a host is not being asked for its table any more.
func (c *Controller) fetched(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.fetching, address)
}

func (c *Controller) fetch(parent context.Context, source Source) {
	c.mu.Lock()
	timeout := c.patience[source.Address]
	if timeout == 0 {
		timeout = fetchTimeout
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	reply, err := c.cfg.Fetch(ctx, source.Address, &pb.FetchRoutesRequest{Have: c.Revision()})
	if err != nil {
		c.cfg.Log.Debug().Str("event", "routes-not-fetched").Str("from", source.Address).
			Uint64("told", source.Revision).Uint64("have", c.Revision()).Dur("timeout", timeout).Err(err).Send()
	}
	c.mu.Lock()
	switch {
	case err == nil:
		delete(c.patience, source.Address)
	case ctx.Err() != nil:
		c.patience[source.Address] = min(2*timeout, maxFetchTimeout)
	}
	if err != nil {
		delete(c.offers, source.Address)
	}
	c.mu.Unlock()
	if err == nil {
		c.Apply(source.Address, reply)
	}
}
