package routes

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// confirmTimeout bounds a question for a confirmation by a host that serves nobody yet:
	// hosts that are down are asked too, and must not be waited for.
	confirmTimeout = 400 * time.Millisecond
)

// nextControl is the next control host in turn that is not being asked; it is from now on.
func (c *Controller) nextControl(sources []Source) (Source, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range sources {
		c.nextAsked++
		s := sources[c.nextAsked%len(sources)]
		if s.Control && !c.asking[s.Address] {
			c.asking[s.Address] = true
			return s, true
		}
	}
	return Source{}, false
}

// ask asks a control host whether the table in force is the newest.
func (c *Controller) ask(ctx context.Context, source Source) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	reply, err := c.cfg.Fetch(ctx, source.Address, &pb.FetchRoutesRequest{Have: c.Revision(), RevisionOnly: true})
	if err != nil {
		c.cfg.Log.Debug().Str("event", "routes-not-confirmed").Str("from", source.Address).
			Uint64("have", c.Revision()).Err(err).Send()
		return
	}
	if !reply.GetWithoutQuorum() {
		c.quorumAt.Store(int64(c.age()))
	}
	c.mu.Lock()
	c.offers[source.Address] = reply.GetRoutes().GetRevision()
	c.mu.Unlock()
	c.Apply(source.Address, reply)
}

// end notes that a control host is not being asked any more.
func (c *Controller) end(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.asking, address)
}

// confirm notes that a quorum confirmed the table in force; c.mu is held.
func (c *Controller) confirm(from string) {
	c.confirmedAt.Store(int64(c.age()))
	c.hopeless.Store(0)
	if !c.confirmed.Swap(true) {
		c.cfg.Log.Info().Str("event", "routes-confirmed").Uint64("revision", c.table.GetRevision()).Str("from", from).
			Dur("after", c.age()).Send()
	}
}

// Confirmation is how long ago a quorum last confirmed the table in force; false: never.
func (c *Controller) Confirmation() (age time.Duration, ok bool) {
	at := time.Duration(c.confirmedAt.Load())
	return c.age() - at, c.confirmed.Load()
}
