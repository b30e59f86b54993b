package daemon

import (
	"context"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wire"
)

// fromRegistration is the source in log lines about evacuated zones that came with this host's
// registration.
const fromRegistration = "registration"

// evacuationsCommitted applies evacuated zones that the control group has just committed on this
// host, before the operator gets the answer, and notifies the other hosts. If only the control hosts
// had them and were cut off from the others just after the commit, the order would be acknowledged
// and not in force. Other hosts hold them by then, so that they spread as quickly if this host is lost.
func (d *Daemon) evacuationsCommitted(ctx context.Context, e *pb.Evacuations) {
	if !d.evacuations.Merge(e, fromOperator) {
		return
	}
	var replicate func(context.Context, *pb.Evacuations) error
	switch {
	case d.entry != nil:
		d.entry.members.Kick()
		replicate = d.entry.news.ReplicateEvacuations
	case d.gateway != nil:
		d.gateway.members.Kick()
		replicate = d.gateway.news.ReplicateEvacuations
	default:
		return
	}
	if err := replicate(ctx, e); err != nil {
		// The order is committed all the same.
		d.tel.Log.Warn().Str("event", "evacuation-not-replicated").Uint64("revision", e.GetRevision()).Err(err).Send()
	}
}

// SetEvacuation implements surface.Evacuations.
func (g *gateway) SetEvacuation(ctx context.Context, zone string, evacuated bool) error {
	ctx, cancel := context.WithTimeout(ctx, g.tableCallTimeout())
	defer cancel()
	res, err := g.d.client.Propose(ctx, &pb.Command{Actor: g.d.cfg.Host, Body: &pb.Command_SetEvacuation{
		SetEvacuation: &pb.SetEvacuation{Zone: zone, Evacuated: evacuated},
	}})
	if err == nil {
		err = wire.DecodeError(res.GetError())
	}
	event := g.d.tel.Log.Info().Str("event", "evacuation-ordered").Str("zone", zone).Bool("evacuated", evacuated)
	if err != nil {
		err = g.redirect(err)
		event.Err(err).Send()
		return err
	}
	set := res.GetSetEvacuation()
	event.Bool("changed", set.GetChanged()).Uint64("revision", set.GetEvacuations().GetRevision()).Send()
	g.d.evacuationsCommitted(ctx, set.GetEvacuations())
	return nil
}

// followReplicaEvacuations passes newer evacuated zones that this host's replica has applied to this
// host, and notifies the other hosts if the replica leads.
func (g *gateway) followReplicaEvacuations() {
	e := g.d.replica.Evacuations()
	if !g.d.evacuations.Merge(e, ownReplica) {
		return
	}
	g.members.Kick()
	if _, _, leads := g.d.replica.Leading(); leads {
		g.news.BroadcastEvacuations(e)
	}
}

// mergeEvacuations merges evacuated zones that the host at an address has broadcast.
func (d *Daemon) mergeEvacuations(e *pb.Evacuations, from string) { d.evacuations.Merge(e, from) }
