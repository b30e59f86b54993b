package assign

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/outbox"
	"github.com/bluebellsail/bluebellsail/internal/panics"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Cache contents are shared because the owner of a shard changes: it fails, restarts, or a
// host joins that ranks before it. A new owner that does not know which engine has which
// prompt part cached has the preferred server prefill it again although another one has it
// cached. With hosts restarted one after the other, a third of the tokens prefilled were
// cached at another engine.
//
// An owner therefore sends the prompt parts that its servers prefill to the next host in rank,
// and each host that knows the caches of a shard sends them to a host that becomes its owner.

const (
	// shareEvery is how often prompt parts are sent. Each takes 12 bytes.
	shareEvery = 250 * time.Millisecond
	// shareTimeout bounds one call.
	shareTimeout = 500 * time.Millisecond
	// shareRetention is how long a host that no longer assigns requests for a shard still
	// shares its knowledge of the shard with a new owner.
	shareRetention = 20 * time.Second
)

// shardKey identifies a shard of a service's servers.
type shardKey struct {
	service string
	shard   balance.Shard
}

// shareState is what has been shared of a shard.
type shareState struct {
	// to is the host that has received everything so far; the zero value if none has.
	to outbox.Receiver
	// lastAssigned is when this host last assigned a request in the shard.
	lastAssigned time.Time
}

// share sends the next host in rank the prompt parts that this host's servers got since the last call.
func (a *Assigner) share(ctx context.Context) {
	now := time.Now()
	updates := make(map[shardKey][]balance.CachedParts)
	for _, k := range a.cfg.Local.TakeCacheUpdates() {
		service, shard, ok := a.cfg.Local.ShardOfServer(k.Server)
		if !ok {
			continue
		}
		key := shardKey{service, shard}
		updates[key] = append(updates[key], k)
		if a.shares[key] == nil {
			a.shares[key] = &shareState{}
		}
		a.shares[key].lastAssigned = now
	}
	for key, s := range a.shares {
		if now.Sub(s.lastAssigned) > shareRetention {
			delete(a.shares, key)
			continue
		}
		a.shareShard(ctx, key, s, updates[key])
	}
}

// shareShard sends the updates of one shard to the first host in rank other than this one, or
// everything known of the shard if that host has not received it yet.
func (a *Assigner) shareShard(ctx context.Context, key shardKey, s *shareState, updates []balance.CachedParts) {
	to, ok := a.successor(key)
	if !ok {
		return
	}
	known := updates
	if to != s.to {
		known = a.cfg.Local.CacheContents(key.service, key.shard)
	}
	if len(known) == 0 {
		return
	}
	s.to = to
	a.sends.Go(func() {
		defer panics.Log(a.cfg.Log, "sharing cache contents")
		if err := a.sendParts(ctx, to, known); err != nil {
			a.mu.Lock()
			a.unacknowledged = append(a.unacknowledged, key)
			a.mu.Unlock()
		}
	})
}

func (a *Assigner) successor(key shardKey) (outbox.Receiver, bool) {
	for _, h := range a.cfg.Owners.FirstRanked(Key(key.service, key.shard), 2) {
		if !h.Self() {
			return h.Receiver(), true
		}
	}
	return outbox.Receiver{}, false
}

func (a *Assigner) sendParts(ctx context.Context, to outbox.Receiver, known []balance.CachedParts) error {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	req := &pb.SharePartsRequest{}
	for _, k := range known {
		req.Servers = append(req.Servers, encodeKnown(k))
	}
	_, err := a.cfg.Client(to.Address).ShareParts(ctx, req)
	return err
}

// resetUnacknowledged has share send everything again for shards whose last message was not
// answered.
func (a *Assigner) resetUnacknowledged() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, key := range a.unacknowledged {
		if s := a.shares[key]; s != nil {
			s.to = outbox.Receiver{}
		}
	}
	a.unacknowledged = nil
}

// HandleShareParts merges another host's knowledge of engines' caches.
func (a *Assigner) HandleShareParts(req *pb.SharePartsRequest) *pb.SharePartsReply {
	known := make([]balance.CachedParts, 0, len(req.GetServers()))
	for _, s := range req.GetServers() {
		known = append(known, decodeKnown(s))
	}
	a.cfg.Local.MergeCaches(known)
	return &pb.SharePartsReply{}
}

func encodeKnown(k balance.CachedParts) *pb.ServerParts {
	return &pb.ServerParts{
		Server: k.Server.ID, Incarnation: k.Server.Started, CacheTokens: k.CacheTokens, Parts: encodeParts(k.Parts),
	}
}

func decodeKnown(s *pb.ServerParts) balance.CachedParts {
	return balance.CachedParts{
		Server:      instance.Incarnation{ID: s.GetServer(), Started: s.GetIncarnation()},
		CacheTokens: s.GetCacheTokens(), Parts: decodeParts(s.GetParts()),
	}
}

func encodeParts(parts []balance.Part) []*pb.PromptPart {
	out := make([]*pb.PromptPart, 0, len(parts))
	for _, p := range parts {
		out = append(out, &pb.PromptPart{Id: p.ID, Tokens: uint32(p.Tokens)})
	}
	return out
}

func decodeParts(parts []*pb.PromptPart) []balance.Part {
	out := make([]balance.Part, 0, len(parts))
	for _, p := range parts {
		out = append(out, balance.Part{ID: p.GetId(), Tokens: uint64(p.GetTokens())})
	}
	return out
}
