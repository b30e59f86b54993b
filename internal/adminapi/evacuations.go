package adminapi

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// listEvacuations returns the evacuated zones from the control group's state.
func (h *Handler) listEvacuations(ctx context.Context, _ *request) (any, error) {
	res, err := h.query(ctx, &pb.Query{Body: &pb.Query_Evacuations{Evacuations: &pb.EvacuationsQuery{}}})
	if err != nil {
		return nil, err
	}
	list := EvacuationList{Revision: res.GetEvacuations().GetRevision(), Zones: []Evacuation{}}
	for _, e := range res.GetEvacuations().GetZones() {
		list.Zones = append(list.Zones, Evacuation{Zone: e.GetZone(), Since: time.UnixMilli(e.GetSinceMs()).UTC(), Actor: e.GetActor()})
	}
	return list, nil
}

func (h *Handler) beginEvacuation(ctx context.Context, q *request) (any, error) {
	return h.setEvacuation(ctx, q, true)
}

func (h *Handler) endEvacuation(ctx context.Context, q *request) (any, error) {
	return h.setEvacuation(ctx, q, false)
}

// setEvacuation begins or ends the evacuation of a zone. An order that changes nothing is acknowledged. With If-Match it changes
// the set of that revision only, so that one that is read late undoes no later one.
func (h *Handler) setEvacuation(ctx context.Context, q *request, evacuated bool) (any, error) {
	zone := q.http.PathValue("zone")
	expected, err := expected(q)
	if err != nil {
		return nil, err
	}
	res, err := h.propose(ctx, q, &pb.Command{Body: &pb.Command_SetEvacuation{
		SetEvacuation: &pb.SetEvacuation{Zone: zone, Evacuated: evacuated, IfRevision: expected},
	}})
	if err != nil {
		return nil, err
	}
	set := res.GetSetEvacuation()
	if set.GetOutdated() {
		e := errkind.New(errkind.VersionConflict, "the evacuated zones have revision %d, which the order did not expect", set.GetEvacuations().GetRevision())
		e.PresentVersion = set.GetEvacuations().GetRevision()
		return nil, e
	}
	if h.cfg.OnEvacuations != nil {
		h.cfg.OnEvacuations(ctx, set.GetEvacuations())
	}
	return EvacuationSet{
		OpID: q.opID, Resend: res.GetResend(), Zone: zone, Evacuated: evacuated, Changed: set.GetChanged(),
		Revision: set.GetEvacuations().GetRevision(),
	}, nil
}
