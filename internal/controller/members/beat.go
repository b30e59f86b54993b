package members

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/membership"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// heartbeat is one heartbeat to be sent or in flight. sentAt is the tick of the membership
// table at which it was made.
type heartbeat struct {
	target  membership.Target
	sentAt  int64
	request *pb.HeartbeatRequest
}

// tick advances the membership table by one interval and returns the heartbeats to send.
func (c *Controller) tick() []heartbeat {
	servers := c.cfg.Registry.Servers()
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
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.SetLoad(load.SparePermille, load.Traffic, load.ConfigRevision)
	targets := c.table.Tick()
	hosts := c.table.Hosts()
	c.delta.Retain(hosts, servers)
	holders := holdersOf(hosts)
	beats := make([]heartbeat, 0, len(targets))
	for _, target := range targets {
		request := c.table.Request(target.Host)
		request.Recent, request.Limits, request.Evacuations = work, limits, evacuations
		request.Servers = servers
		if holder := holders[target.Host]; holder != nil {
			request.Servers = c.delta.Select(holder, servers)
		}
		beats = append(beats, heartbeat{target: target, sentAt: c.table.Now(), request: request})
	}
	c.publish()
	return beats
}

func holdersOf(hosts []membership.Host) map[string]*pb.Holder {
	holders := make(map[string]*pb.Holder, len(hosts))
	for _, h := range hosts {
		holders[h.Holder.GetHost()] = h.Holder
	}
	return holders
}

// send sends a heartbeat and handles the reply or the failure.
func (c *Controller) send(ctx context.Context, b heartbeat) {
	callCtx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	sent := time.Since(c.start)
	b.request.SentMs = sent.Milliseconds()
	reply, err := c.cfg.Peers.Client(b.target.Address).Heartbeat(callCtx, b.request)
	if ctx.Err() != nil {
		return // this process is stopping, so the outcome says nothing about the peer
	}
	c.cfg.Metrics.HeartbeatsSent.Add(1)
	c.countBytes(b.request)
	if err != nil {
		c.handleFailure(b, err)
		return
	}
	c.handleReply(b, reply, sent)
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
	c.cfg.Registry.Merge(reply.GetState().GetServers(), now-sent)
	c.mergeEvacuations(reply.GetState())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.transitTracker.recordRoundTrip(now, b.target.Host, now-sent)
	if from, replied := reply.GetFrom(), reply.GetState().GetSentMs(); replied > 0 && from.GetHost() == b.target.Host {
		c.transitTracker.recordReply(now, from, time.Duration(replied)*time.Millisecond)
	}
	c.table.ReceiveReply(b.sentAt, b.target.Host, reply)
	c.delta.MarkReceived(reply.GetFrom(), b.request.GetServers())
	c.delta.MarkReceived(reply.GetFrom(), reply.GetState().GetServers())
	c.publishChanges()
}
