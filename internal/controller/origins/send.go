package origins

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/bluebellsail/bluebellsail/internal/outbox"
	"github.com/bluebellsail/bluebellsail/internal/panics"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/streamorigin"
)

const (
	// handOverTimeout bounds the time in which a leaving host hands its origins over.
	handOverTimeout = 500 * time.Millisecond
	// handOverPoll is how often it checks whether all have been acknowledged.
	handOverPoll = 10 * time.Millisecond
)

// HandOver sends all origins that this host keeps to the hosts that rank first without it, and waits until
// they are acknowledged, ctx ends or handOverTimeout has passed. While hosts are restarted one after the
// other, a stream would otherwise lose one copy after the other. Run must be running.
func (k *Keeper) HandOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	now := time.Now()
	for key, held := range k.known(now) {
		k.sendCopies(now, key, held.origin, held.lifetime)
	}
	for !k.handedOver() && ctx.Err() == nil {
		k.signal()
		sleep(ctx, handOverPoll)
	}
}

// heldOrigin is an origin with the time for which it is still kept.
type heldOrigin struct {
	origin   streamorigin.Origin
	lifetime time.Duration
}

func (k *Keeper) known(now time.Time) map[streamorigin.Key]heldOrigin {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make(map[streamorigin.Key]heldOrigin, k.table.Len())
	k.table.Each(now, func(key streamorigin.Key, o streamorigin.Origin, expires time.Time) {
		out[key] = heldOrigin{o, expires.Sub(now)}
	})
	return out
}

func (k *Keeper) handedOver() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.outbox.Empty()
}

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
