package quarantine

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/controller/owners"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/quarantine"
)

const (
	// syncEvery is how often a host compares what it knows with another one's, and startEvery
	// until it has done so once.
	syncEvery  = time.Second
	startEvery = 50 * time.Millisecond
	// saveEvery bounds how often the store is written.
	saveEvery = 50 * time.Millisecond
	// expireEvery is how often what is old is forgotten.
	expireEvery = time.Minute
	// maxFetched bounds the requests in the answer to one comparison: some 70 KB.
	maxFetched = 512
	// fetchTimeout bounds one comparison.
	fetchTimeout = 500 * time.Millisecond
)

// Run keeps what this host knows in step with the others and the store until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	var nextSync, nextExpiry time.Time
	ticker := time.NewTicker(startEvery)
	defer ticker.Stop()
	for {
		now := time.Now()
		if now.After(nextExpiry) {
			nextExpiry = now.Add(expireEvery)
			g.expire(now)
		}
		if !g.synced.Load() || now.After(nextSync) {
			g.compare(ctx)
			nextSync = now.Add(syncEvery)
		}
		g.save()
		select {
		case <-ctx.Done():
			g.save()
			return
		case <-ticker.C:
		}
		if g.synced.Load() {
			ticker.Reset(g.period())
		}
	}
}

// period of Run's loop; a host without a store has nothing to save between comparisons.
func (g *Guard) period() time.Duration {
	if g.cfg.Store == nil {
		return syncEvery
	}
	return saveEvery
}

// Synced tells whether this host has learnt what its fleet knew when it started.
func (g *Guard) Synced() bool { return g.synced.Load() }

// compare asks one other host what it knows.
func (g *Guard) compare(ctx context.Context) {
	peers := g.cfg.Peers()
	if len(peers) == 0 {
		return
	}
	address := peers[rand.IntN(len(peers))]
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := g.cfg.Client(address).FetchSuspects(ctx, &pb.FetchSuspectsRequest{Digest: g.digest()})
	if err != nil {
		return // another host is asked next; package members logs hosts that are out of reach
	}
	g.learn(reply.GetSuspects(), address)
	if reply.GetComplete() && g.synced.CompareAndSwap(false, true) {
		g.cfg.Log.Info().Str("event", "suspects-synced").Str("from", address).Int("suspects", len(reply.GetSuspects())).Send()
	}
}

func (g *Guard) digest() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Digest()
}

func (g *Guard) state(id quarantine.ID) *pb.Suspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.State(time.Now(), id)
}

// learn takes what another host knows.
func (g *Guard) learn(told []*pb.Suspect, from string) {
	for _, s := range told {
		if g.merge(s) {
			g.logChange(s, from)
		}
	}
}

func (g *Guard) merge(s *pb.Suspect) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	id, news := g.table.Merge(now, s)
	if !news {
		return false
	}
	// Other hosts saw these ends as well: connections that this one opens from now on meet nobody.
	for run, age := range g.table.Ends(now, id) {
		if _, known := g.ended[run]; !known && age < endedKept {
			g.ended[run] = now.Add(-age)
		}
	}
	return true
}

func (g *Guard) expire(now time.Time) {
	for _, id := range g.expireHere(now) {
		g.cfg.Log.Info().Str("event", "suspect-forgotten").Str("account", id.Account).Stringer("fingerprint", id.Fingerprint).Send()
	}
}

func (g *Guard) expireHere(now time.Time) []quarantine.ID {
	g.mu.Lock()
	defer g.mu.Unlock()
	for run, at := range g.ended {
		if now.Sub(at) > endedKept {
			delete(g.ended, run)
		}
	}
	return g.table.Expire(now)
}

// save writes the store if anything has changed.
func (g *Guard) save() {
	if g.cfg.Store == nil {
		return
	}
	states, version, changed := g.unsaved()
	if !changed {
		return
	}
	if err := g.cfg.Store.Save(states); err != nil {
		g.metrics.unsaved.Add(1)
		g.cfg.Log.Warn().Str("event", "suspects-unsaved").Err(err).Send()
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.saved = version
}

func (g *Guard) unsaved() (states []*pb.Suspect, version uint64, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	version = g.table.Version()
	if version == g.saved {
		return nil, 0, false
	}
	return g.table.All(time.Now()), version, true
}

// HandleTold takes what another host tells.
func (g *Guard) HandleTold(told []*pb.Suspect, from string) { g.learn(told, from) }

// HandleFetch answers what this host knows.
func (g *Guard) HandleFetch(r *pb.FetchSuspectsRequest) *pb.FetchSuspectsReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	reply := &pb.FetchSuspectsReply{Complete: g.synced.Load(), Same: r.GetDigest() == g.table.Digest()}
	if !reply.Same {
		reply.Suspects = g.table.Some(time.Now(), maxFetched, rand.Uint64())
	}
	return reply
}

// HandleAdmit decides on a run of another host's request.
func (g *Guard) HandleAdmit(r *pb.AdmitSuspectRequest) *pb.AdmitSuspectReply {
	g.learn([]*pb.Suspect{r.GetSuspect()}, r.GetName())
	id, ok := idOf(r.GetSuspect().GetAccount(), r.GetSuspect().GetFingerprint())
	if !ok {
		return &pb.AdmitSuspectReply{Decision: string(quarantine.Run)}
	}
	v := g.decide(id, r.GetName(), time.Duration(r.GetLifetimeMs())*time.Millisecond)
	return &pb.AdmitSuspectReply{Decision: string(v.Decision), AfterMs: v.After.Milliseconds(), Suspect: g.state(id)}
}

// HandleEnd takes that another host's run has ended.
func (g *Guard) HandleEnd(r *pb.EndSuspectRequest) *pb.EndSuspectReply {
	g.learn([]*pb.Suspect{r.GetSuspect()}, r.GetName())
	if id, ok := idOf(r.GetSuspect().GetAccount(), r.GetSuspect().GetFingerprint()); ok {
		g.end(id, r.GetName())
	}
	return &pb.EndSuspectReply{}
}

func idOf(account string, fingerprint []byte) (id quarantine.ID, ok bool) {
	id.Account = account
	return id, copy(id.Fingerprint[:], fingerprint) == len(id.Fingerprint)
}

func (g *Guard) end(id quarantine.ID, name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.End(id, name)
}

// endRun tells the owner of a request that a run has ended. A message that is lost costs others of
// the request the rest of the time for which it kept them waiting.
func (g *Guard) endRun(owner owners.Host, id quarantine.ID, name string) {
	if owner.Self() {
		g.end(id, name)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	_, _ = g.cfg.Client(owner.Address).EndSuspect(ctx, &pb.EndSuspectRequest{Suspect: g.state(id), Name: name})
}
