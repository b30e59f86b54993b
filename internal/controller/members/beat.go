package members

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/changelog"
	"github.com/bluebellsail/bluebellsail/internal/membership"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// heartbeat is one heartbeat to be sent or in flight. sentAt is the tick of the membership
// table at which it was made.
type heartbeat struct {
	target  membership.Target
	sentAt  int64
	request *pb.HeartbeatRequest
	// pushed is the position that the peer reaches with the servers in the request; syncedWith is the
	// incarnation of the peer for which they were selected, 0 if nothing was known of the peer.
	pushed     changelog.Position
	syncedWith uint64
}

// tick advances the membership table by one interval and returns the heartbeats to send.
func (c *Controller) tick() []heartbeat {
	if peers := c.Peers(); !c.current.of(peers) {
		c.current = newCurrentHosts(peers)
		c.sync.retain(peers)
	}
	c.cfg.Registry.Observe(c.current.isAlive)
	return c.heartbeats((*membership.Table).Tick)
}

// round returns the heartbeats to send between two ticks.
func (c *Controller) round() []heartbeat { return c.heartbeats((*membership.Table).Round) }

// heartbeats returns the heartbeats to the hosts that choose returns.
func (c *Controller) heartbeats(choose func(*membership.Table) []membership.Target) []heartbeat {
	work := c.cfg.Registry.RecentWork()
	var limits []*pb.ServerLimit
	if c.cfg.Limits != nil {
		limits = c.cfg.Limits.Limits()
	}
	evacuations := c.evacuations()
	var load Load
	if c.cfg.Load != nil {
		load = c.cfg.Load()
	}
	beats := c.tableHeartbeats(load, choose)
	for i := range beats {
		request := beats[i].request
		request.Recent, request.Limits, request.Evacuations = work, limits, evacuations
		c.addServers(&beats[i])
		request.Limits = append(limits[:len(limits):len(limits)], c.limitsOf(request.GetServers())...)
	}
	return beats
}

// tableHeartbeats returns the heartbeats to the hosts that choose returns, with the membership table's part
// only.
func (c *Controller) tableHeartbeats(load Load, choose func(*membership.Table) []membership.Target) []heartbeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.SetLoad(load.SparePermille, load.Traffic, load.ConfigRevision)
	targets := choose(c.table)
	beats := make([]heartbeat, 0, len(targets))
	for _, target := range targets {
		beats = append(beats, heartbeat{target: target, sentAt: c.table.Now(), request: c.table.Request(target.Host)})
	}
	c.publish()
	return beats
}

// send sends a heartbeat and handles the reply or the failure. As long as the replies bring only a part of
// the servers that this host lacks, it sends further ones until the next tick, to one host at a time:
// several hosts would send the same servers.
func (c *Controller) send(ctx context.Context, b heartbeat) {
	if !c.sendOnce(ctx, b) || !c.mayPull(b.target.Host) || !c.pulling.CompareAndSwap(false, true) {
		return
	}
	defer c.pulling.Store(false)
	for tick := b.sentAt; ; {
		if b = c.followUp(b.target); b.sentAt != tick || !c.sendOnce(ctx, b) {
			return
		}
	}
}

// mayPull reports whether further heartbeats may be sent to a host within a tick. Hosts that run a replica are
// left alone: all hosts of a fleet that starts know them, and none but them before it is registered.
func (c *Controller) mayPull(host string) bool {
	p, known := findPeer(c.Peers(), host)
	return known && !p.Control && c.self().GetIncarnation() > 0
}

// sendOnce sends one heartbeat and reports whether another one would bring further servers.
func (c *Controller) sendOnce(ctx context.Context, b heartbeat) (more bool) {
	callCtx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	sent := time.Since(c.start)
	b.request.SentMs = sent.Milliseconds()
	reply, err := c.cfg.Peers.Client(b.target.Address).Heartbeat(callCtx, b.request)
	if ctx.Err() != nil {
		return false // this process is stopping, so the outcome says nothing about the peer
	}
	c.cfg.Metrics.HeartbeatsSent.Add(1)
	c.countBytes(b.request)
	if err != nil {
		c.handleFailure(b, err)
		return false
	}
	before := hashOf(c.cfg.Registry.ServerDigest())
	c.handleReply(b, reply, sent)
	c.receiveServerSync(b, reply, c.fetchSummarized(ctx, b.target, reply))
	progress := hashOf(c.cfg.Registry.ServerDigest()) != before
	return b.target.Host != "" && progress && isPartial(reply)
}

// followUp returns another heartbeat to a host within the same tick.
func (c *Controller) followUp(to membership.Target) heartbeat {
	c.mu.Lock()
	b := heartbeat{target: to, sentAt: c.table.Now(), request: c.table.Request(to.Host)}
	c.mu.Unlock()
	c.addServers(&b)
	return b
}

func (c *Controller) handleFailure(b heartbeat, err error) {
	c.cfg.Metrics.HeartbeatsFailed.Add(1)
	c.cfg.Log.Debug().Str("peer", b.target.Host).Str("address", b.target.Address).Err(err).Msg("heartbeat unanswered")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.MarkUnanswered(b.sentAt, b.target.Host)
	c.publishChanges()
}

// handleReply merges the reply to a heartbeat that was sent at sent by this host's clock.
func (c *Controller) handleReply(b heartbeat, reply *pb.HeartbeatReply, sent time.Duration) {
	c.countBytes(reply)
	now := time.Since(c.start)
	c.mergeLimits(reply.GetState())
	c.cfg.Metrics.ServerStates.Add(int64(len(reply.GetState().GetServers())))
	c.cfg.Registry.Merge(reply.GetState().GetServers(), now-sent, reply.GetFrom().GetHost())
	c.mergeEvacuations(reply.GetState())
	if c.cfg.OnViewDigest != nil {
		c.cfg.OnViewDigest(reply.GetFrom().GetHost(), reply.GetState().GetViewDigest(), c.start.Add(sent))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.transitTracker.recordRoundTrip(now, b.target.Host, now-sent)
	if from, replied := reply.GetFrom(), reply.GetState().GetSentMs(); replied > 0 && from.GetHost() == b.target.Host {
		c.transitTracker.recordReply(now, from, time.Duration(replied)*time.Millisecond)
	}
	c.table.ReceiveReply(b.sentAt, b.target.Host, reply)
	c.publishChanges()
}
