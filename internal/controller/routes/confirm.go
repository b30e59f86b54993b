package routes

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// confirmTimeout bounds a call that asks for a confirmation. It is short because hosts that
	// are down are called too.
	confirmTimeout = 400 * time.Millisecond
)

// nextControl returns the next control host in turn that is not being asked for a confirmation, and
// marks it as being asked.
func (c *Controller) nextControl(sources []Source) (Source, bool) {
	registered := c.cfg.Registered == nil || c.cfg.Registered()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.confirmations.mayAsk(c.uptime(), registered) {
		return Source{}, false
	}
	for range sources {
		c.nextControlSource++
		s := sources[c.nextControlSource%len(sources)]
		if s.Control && !c.confirming[s.Address] {
			c.confirming[s.Address] = true
			return s, true
		}
	}
	return Source{}, false
}

// answer is what came of a question for a confirmation.
type answer int

const (
	unanswered answer = iota
	answered
	// noTable means that a quorum confirms that there is no table.
	noTable
)

// askToConfirm asks a control host whether the table in force is the newest.
func (c *Controller) askToConfirm(ctx context.Context, source Source) answer {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	asked := c.cfg.Now()
	reply, err := c.cfg.Fetch(ctx, source.Address, &pb.FetchRoutesRequest{Have: c.Revision(), RevisionOnly: true})
	if err != nil {
		c.cfg.Log.Debug().Str("event", "routes-not-confirmed").Str("from", source.Address).
			Uint64("have", c.Revision()).Err(err).Send()
		return unanswered
	}
	if !reply.GetWithoutQuorum() {
		c.quorumSeenAt.Store(int64(c.uptime()))
	}
	c.mu.Lock()
	c.reportedRevisions[source.Address] = reply.GetRoutes().GetRevision()
	c.mu.Unlock()
	c.ApplyAnswer(source.Address, asked, reply)
	if reply.GetConfirmed() && reply.GetRoutes().GetRevision() == 0 {
		return noTable
	}
	return answered
}

// endConfirm records that a control host is no longer being asked.
func (c *Controller) endConfirm(address string, a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.confirming, address)
	if a == noTable && c.table.GetRevision() > 0 {
		a = answered // it has come meanwhile
	}
	c.confirmations.ended(c.uptime(), a)
}

// confirm records that a quorum confirmed the table in force at asked or later; c.mu is held. The answer may have been
// under way for long, and a newer table may have been committed meanwhile.
func (c *Controller) confirm(from string, asked time.Time) {
	c.confirmedAt.Store(max(c.confirmedAt.Load(), int64(asked.Sub(c.started))))
	c.unconfirmableUntil.Store(0)
	if !c.confirmed.Swap(true) {
		c.cfg.Log.Info().Str("event", "routes-confirmed").Uint64("revision", c.table.GetRevision()).Str("from", from).
			Dur("after", c.uptime()).Send()
	}
}

// Confirmation returns how long ago a quorum last confirmed the table in force; ok is false if it
// never did.
func (c *Controller) Confirmation() (age time.Duration, ok bool) {
	at := time.Duration(c.confirmedAt.Load())
	return c.uptime() - at, c.confirmed.Load()
}
