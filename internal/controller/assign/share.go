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

// What goes wrong without sharing: the owner of a shard is lost, restarted, or a host joins
// that ranks before it. The new owner does not know which engine keeps which prompt part;
// it has them read where they are at home, though others keep them, and the engines' time
// goes there. With hosts restarted one after the other, a third of what was read had been
// kept by another engine.
//
// So an owner tells the next host in rank what its servers read, and whoever knows a shard
// tells all of it to a host that has become its owner.

const (
	// shareEvery is how often parts are told. They cost 12 bytes each.
	shareEvery = 250 * time.Millisecond
	// shareTimeout bounds one call.
	shareTimeout = 500 * time.Millisecond
	// shareFor is how long a host that places no requests for a shard any more still tells a
	// new owner what it knows.
	shareFor = 20 * time.Second
)

// shardKey names a shard of a service's servers.
type shardKey struct {
	service string
	shard   balance.Shard
}

// shared is what was told of a shard.
type shared struct {
	// to is the host that knows all up to now; the zero value if none does.
	to outbox.Receiver
	// used is when this host last placed a request there.
	used time.Time
}

// share tells what was read since the last call.
func (a *Assigner) share(ctx context.Context) {
	now := time.Now()
	news := make(map[shardKey][]balance.CachedParts)
	for _, k := range a.cfg.Local.Touched() {
		service, shard, ok := a.cfg.Local.ShardOfServer(k.Server)
		if !ok {
			continue
		}
		key := shardKey{service, shard}
		news[key] = append(news[key], k)
		if a.shares[key] == nil {
			a.shares[key] = &shared{}
		}
		a.shares[key].used = now
	}
	for key, s := range a.shares {
		if now.Sub(s.used) > shareFor {
			delete(a.shares, key)
			continue
		}
		a.shareShard(ctx, key, s, news[key])
	}
}

// shareShard tells the first host in rank other than this one.
func (a *Assigner) shareShard(ctx context.Context, key shardKey, s *shared, news []balance.CachedParts) {
	to, ok := a.successor(key)
	if !ok {
		return
	}
	known := news
	if to != s.to {
		known = a.cfg.Local.Knowledge(key.service, key.shard)
	}
	if len(known) == 0 {
		return
	}
	s.to = to
	a.sends.Go(func() {
		defer panics.Log(a.cfg.Log, "sharing what engines keep")
		if err := a.tellParts(ctx, to, known); err != nil {
			a.mu.Lock()
			a.untold = append(a.untold, key)
			a.mu.Unlock()
		}
	})
}

func (a *Assigner) successor(key shardKey) (outbox.Receiver, bool) {
	for _, h := range a.cfg.Owners.Of(Key(key.service, key.shard), 2) {
		if !h.Self() {
			return h.Receiver(), true
		}
	}
	return outbox.Receiver{}, false
}

func (a *Assigner) tellParts(ctx context.Context, to outbox.Receiver, known []balance.CachedParts) error {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	req := &pb.SharePartsRequest{}
	for _, k := range known {
		req.Servers = append(req.Servers, encodeKnown(k))
	}
	_, err := a.cfg.Client(to.Address).ShareParts(ctx, req)
	return err
}

// forgetUntold has shards told whole again whose last message was not answered.
func (a *Assigner) forgetUntold() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, key := range a.untold {
		if s := a.shares[key]; s != nil {
			s.to = outbox.Receiver{}
		}
	}
	a.untold = nil
}

// HandleShareParts takes what another host knows of engines' caches.
func (a *Assigner) HandleShareParts(req *pb.SharePartsRequest) *pb.SharePartsReply {
	known := make([]balance.CachedParts, 0, len(req.GetServers()))
	for _, s := range req.GetServers() {
		known = append(known, decodeKnown(s))
	}
	a.cfg.Local.Learn(known)
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
