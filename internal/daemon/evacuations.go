package daemon

import (
	"context"
	"slices"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/evacuation"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/surface"
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
//
// Orders of the operator have no identity: a host that stood still reads one that has long been sent again elsewhere, as does a host
// to which the network delivers it late. So an order is carried out only under the revision that its caller got from this host,
// for which the caller still had to be there, and not after a later change.
func (g *gateway) SetEvacuation(ctx context.Context, o surface.EvacuationOrder) error {
	if err := evacuation.CheckZone(o.Zone); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, g.tableCallTimeout())
	defer cancel()
	set, err := g.setEvacuation(ctx, o)
	event := g.d.tel.Log.Info().Str("event", "evacuation-ordered").Str("zone", o.Zone).Bool("evacuated", o.Evacuated)
	if o.Revision != nil {
		event.Uint64("if_revision", *o.Revision)
	}
	if err != nil {
		event.Err(err).Send()
		return err
	}
	event.Bool("changed", set.GetChanged()).Bool("outdated", set.GetOutdated()).Uint64("revision", set.GetEvacuations().GetRevision()).Send()
	if set.GetOutdated() {
		return g.evacuationPrecondition(set.GetEvacuations().GetRevision())
	}
	g.d.evacuationsCommitted(ctx, set.GetEvacuations())
	return nil
}

// setEvacuation proposes an order that names a revision. Of one that names none it returns whether it is outdated, which it is unless
// the zone is in the ordered state.
func (g *gateway) setEvacuation(ctx context.Context, o surface.EvacuationOrder) (*pb.SetEvacuationResult, error) {
	if o.Revision == nil {
		present, err := g.readEvacuations(ctx)
		if err != nil {
			return nil, err
		}
		evacuated := slices.ContainsFunc(present.GetZones(), func(e *pb.Evacuation) bool { return e.GetZone() == o.Zone })
		return &pb.SetEvacuationResult{Evacuations: present, Outdated: evacuated != o.Evacuated}, nil
	}
	res, err := g.d.client.Propose(ctx, &pb.Command{Actor: g.d.cfg.Host, Body: &pb.Command_SetEvacuation{
		SetEvacuation: &pb.SetEvacuation{Zone: o.Zone, Evacuated: o.Evacuated, IfRevision: o.Revision},
	}})
	if err == nil {
		err = wire.DecodeError(res.GetError())
	}
	if err != nil {
		return nil, g.redirect(err)
	}
	return res.GetSetEvacuation(), nil
}

// readEvacuations returns the evacuated zones as the control group has committed them.
func (g *gateway) readEvacuations(ctx context.Context) (*pb.Evacuations, error) {
	res, err := g.d.client.Read(ctx, &pb.Query{Body: &pb.Query_Evacuations{Evacuations: &pb.EvacuationsQuery{}}})
	if err == nil {
		err = wire.DecodeError(res.GetError())
	}
	if err != nil {
		return nil, g.redirect(err)
	}
	return res.GetEvacuations(), nil
}

// evacuationPrecondition returns the error of an order that has to name the present revision.
func (g *gateway) evacuationPrecondition(revision uint64) error {
	refusal := errkind.New(errkind.HostNotReady, "the order has to name revision %d of the evacuated zones", revision)
	address, ok := g.registryOf(g.d.cfg.PeerAddress())
	if !ok {
		return refusal
	}
	return &surface.Precondition{Address: address, Revision: revision, Refusal: refusal}
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
