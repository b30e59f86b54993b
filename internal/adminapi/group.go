package adminapi

import (
	"context"
	"encoding/json"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wire"
)

// propose commits c under the request's operation id.
func (h *Handler) propose(ctx context.Context, q *request, c *pb.Command) (*pb.CommandResult, error) {
	return h.proposeAs(ctx, q.opID, q.actor, c)
}

// proposeAs commits c under opID and returns its result. A refusal is returned as an error.
func (h *Handler) proposeAs(ctx context.Context, opID, actor string, c *pb.Command) (*pb.CommandResult, error) {
	c.OpId = opID
	c.Actor = actor
	res, err := h.cfg.Group.Propose(ctx, c)
	if err != nil {
		return nil, err
	}
	if err := wire.DecodeError(res.GetError()); err != nil {
		return nil, err
	}
	return res, nil
}

func (h *Handler) query(ctx context.Context, q *pb.Query) (*pb.QueryResult, error) {
	res, err := h.cfg.Group.Read(ctx, q)
	if err != nil {
		return nil, err
	}
	if err := wire.DecodeError(res.GetError()); err != nil {
		return nil, err
	}
	return res, nil
}

// configValue is the value at a path of the settings tree.
type configValue struct {
	// json is nil if nothing is set.
	json     json.RawMessage
	version  uint64
	revision uint64
}

func (v configValue) found() bool { return v.json != nil }

// readConfig returns the value at path. A path without a value is not an error: the result
// has the version that the change that sets it must expect.
func (h *Handler) readConfig(ctx context.Context, path string) (configValue, error) {
	res, err := h.query(ctx, &pb.Query{Body: &pb.Query_Config{Config: &pb.ConfigQuery{Path: path}}})
	if errkind.Is(err, errkind.NotFound) {
		return configValue{version: errkind.From(err).PresentVersion}, nil
	}
	if err != nil {
		return configValue{}, err
	}
	return configValue{json: res.GetValueJson(), version: res.GetVersion(), revision: res.GetRevision()}, nil
}

// committedRevision returns the committed revision of the whole settings tree.
func (h *Handler) committedRevision(ctx context.Context) (uint64, error) {
	res, err := h.query(ctx, &pb.Query{Body: &pb.Query_History{History: &pb.HistoryQuery{Path: "/", Limit: 1}}})
	return res.GetRevision(), err
}
