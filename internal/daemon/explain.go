package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wire"
)

// explainTimeout bounds the query to all peers.
const explainTimeout = 500 * time.Millisecond

// explainer implements adminapi.Explainer. It looks in this host's store, then in its peers'.
type explainer struct{ d *Daemon }

// Explain finds the decisions about a request at any reachable host.
func (x explainer) Explain(ctx context.Context, id string) (json.RawMessage, error) {
	e := x.d.entry
	if e == nil {
		return nil, errkind.New(errkind.NotFound, "this host serves no callers")
	}
	found, err := e.explain.JSON(id)
	if err == nil {
		return found, nil
	}
	if answer := e.askPeers(ctx, id); answer != nil {
		return answer, nil
	}
	return nil, err
}

// askPeers asks all peers in parallel and returns the first answer; nil if no peer knows the
// request.
func (e *entry) askPeers(ctx context.Context, id string) json.RawMessage {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	all := e.members.Peers()
	answers := make(chan json.RawMessage, len(all))
	for _, m := range all {
		go func() { answers <- e.askPeer(ctx, m.PeerAddress, id) }()
	}
	for range all {
		if answer := <-answers; answer != nil {
			return answer
		}
	}
	return nil
}

func (e *entry) askPeer(ctx context.Context, address, id string) json.RawMessage {
	reply, err := e.d.pool.Client(address).Explain(ctx, &pb.ExplainRequest{Id: id})
	if err != nil || reply.GetError() != nil {
		return nil
	}
	return reply.GetJson()
}

// HandleExplain implements peerservice.Explainer.
func (e *entry) HandleExplain(r *pb.ExplainRequest) *pb.ExplainReply {
	found, err := e.explain.JSON(r.GetId())
	return &pb.ExplainReply{Json: found, Error: wire.EncodeError(err)}
}
