package origins

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/bluebellsail/bluebellsail/internal/outbox"
	"github.com/bluebellsail/bluebellsail/internal/panics"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// send sends the copies that are due, one message at a time to each host.
func (k *Keeper) send(ctx context.Context) {
	k.mu.Lock()
	due := k.outbox.Due(time.Now())
	k.mu.Unlock()
	for _, m := range due {
		k.sends.Go(func() {
			defer panics.Log(k.cfg.Log, "sending origins of streams")
			k.sendOne(ctx, m)
		})
	}
}

func (k *Keeper) sendOne(ctx context.Context, m outbox.Message[*pb.StreamOrigin]) {
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	_, err := k.cfg.Client(m.To.Address).PutOrigins(ctx, &pb.PutOriginsRequest{Origins: m.Items})
	k.mu.Lock()
	defer k.mu.Unlock()
	if err == nil || status.Code(err) == codes.Unimplemented { // a host of an earlier version keeps none
		k.outbox.MarkAcknowledged(m.To)
		if !k.outbox.Empty() {
			k.signal()
		}
		return
	}
	k.outbox.MarkFailed(time.Now(), m.To)
	k.metrics.unanswered.Add(1)
	k.cfg.Log.Debug().Str("event", "stream-origins-unanswered").Str("owner", m.To.Host).Int("origins", len(m.Items)).Err(err).Send()
}
