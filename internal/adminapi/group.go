package adminapi

import (
	"context"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// propose commits c under the request's operation id.
func (h *Handler) propose(ctx context.Context, q *request, c *pb.Command) (*pb.CommandResult, error) {
	return h.proposeAs(ctx, q.opID, q.actor, c)
}

// proposeAs commits c under opID and returns its result, a refusal as an error.
func (h *Handler) proposeAs(ctx context.Context, opID, actor string, c *pb.Command) (*pb.CommandResult, error) {
	c.OpId = opID
	c.Actor = actor
	res, err := h.cfg.Group.Propose(ctx, c)
	if err != nil {
		return nil, err
	}
	if err := refusal(res.GetError()); err != nil {
		return nil, err
	}
	return res, nil
}

func (h *Handler) query(ctx context.Context, q *pb.Query) (*pb.QueryResult, error) {
	res, err := h.cfg.Group.Read(ctx, q)
	if err != nil {
		return nil, err
	}
	if err := refusal(res.GetError()); err != nil {
		return nil, err
	}
	return res, nil
}

// readConfig returns the value at path; absent is told apart from a refusal.
func (h *Handler) readConfig(ctx context.Context, path string) (res *pb.QueryResult, found bool, err error) {
	res, err = h.cfg.Group.Read(ctx, &pb.Query{Body: &pb.Query_Config{Config: &pb.ConfigQuery{Path: path}}})
	if err != nil {
		return nil, false, err
	}
	if e := res.GetError(); e != nil && errkind.Kind(e.GetKind()) != errkind.NotFound {
		return nil, false, refusal(e)
	}
	value := res.GetValueJson()
	found = res.GetError() == nil && len(value) > 0 && string(value) != "null"
	return res, found, nil
}
