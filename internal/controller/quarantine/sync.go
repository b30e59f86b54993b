package quarantine

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/controller/owners"
	"github.com/bluebellsail/bluebellsail/internal/panics"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/quarantine"
)

const (
	// syncEvery is how often a host compares its table with another host's; firstSyncEvery
	// applies until it has synchronized once.
	syncEvery      = time.Second
	firstSyncEvery = 50 * time.Millisecond
	// saveEvery bounds how often the store is written.
	saveEvery = 200 * time.Millisecond
	// closeTimeout is how long the shutdown of the process waits for the last save.
	closeTimeout = 200 * time.Millisecond
	// expireEvery is how often expired records are removed.
	expireEvery = time.Minute
	// maxFetched bounds the requests in one reply to about 70 KB.
	maxFetched = 512
	// fetchTimeout bounds one call that fetches another host's table, or reports the end of an execution.
	fetchTimeout = 500 * time.Millisecond
)

// Run synchronizes this host's table with those of the other hosts until ctx is done.
func (g *Guard) Run(ctx context.Context) {
	var nextExpiry time.Time
	for ctx.Err() == nil {
		if now := time.Now(); now.After(nextExpiry) {
			nextExpiry = now.Add(expireEvery)
			g.expire(now)
		}
		g.syncWithPeer(ctx)
		pause := syncEvery
		if !g.synced.Load() {
			pause = firstSyncEvery
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// RunStore saves this host's table to the store until ctx is done. It is separate from Run so that a
// crash is stored however long other hosts take to answer. A disk that stalls delays only the next
// save, and the shutdown of the process by at most closeTimeout.
func (g *Guard) RunStore(ctx context.Context) {
	if g.cfg.Store == nil {
		return
	}
	ticker := time.NewTicker(saveEvery)
	defer ticker.Stop()
	var saving <-chan struct{}
	for ctx.Err() == nil {
		if saving == nil {
			saving = g.startSave()
		}
		select {
		case <-ctx.Done():
		case <-saving:
			saving = nil
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	if saving == nil {
		saving = g.startSave()
	}
	select {
	case <-saving:
	case <-time.After(closeTimeout):
	}
}

// startSave starts a save. The channel is closed at its end; no other save may start before.
func (g *Guard) startSave() <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer panics.Log(g.cfg.Log, "saving the suspected requests")
		g.save()
	}()
	return done
}

// Synced reports whether this host has received what its fleet knew when it started.
func (g *Guard) Synced() bool { return g.synced.Load() }

// syncWithPeer fetches the table of one other host if it differs from this host's.
func (g *Guard) syncWithPeer(ctx context.Context) {
	peers := g.cfg.Peers()
	if len(peers) == 0 {
		return
	}
	address := peers[rand.IntN(len(peers))]
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := g.cfg.Client(address).FetchSuspects(ctx, &pb.FetchSuspectsRequest{Digest: g.digest()})
	if err != nil {
		return // the next call goes to another host; package members logs unreachable hosts
	}
	g.mergeUpdates(reply.GetSuspects(), address)
	if reply.GetComplete() && g.synced.CompareAndSwap(false, true) {
		g.cfg.Log.Info().Str("event", "suspects-synced").Str("from", address).Int("suspects", len(reply.GetSuspects())).Send()
	}
}

func (g *Guard) digest() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Digest()
}

// causes returns the requests that may have caused the crashes of a part as a whole.
func (g *Guard) causes(id quarantine.ID) []*pb.Suspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Causes(time.Now(), id)
}

func (g *Guard) state(id quarantine.ID) *pb.Suspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Suspect(time.Now(), id)
}

// mergeUpdates merges states received from another host.
func (g *Guard) mergeUpdates(states []*pb.Suspect, from string) {
	for _, s := range states {
		if g.merge(s) {
			g.logChange(s, from)
			g.refuteLater(s)
		}
	}
}

// maxRefuteDelay bounds the random delay before a host clears a part that it knows to be answered, so that few
// of the hosts that know it do so.
const maxRefuteDelay = 50 * time.Millisecond

// refuteLater clears a part that another host accuses, if this host knows that servers answer it.
func (g *Guard) refuteLater(s *pb.Suspect) {
	id, _ := quarantine.IDFromProto(s)
	if !g.refuted(id) {
		return
	}
	g.background.Go(func() {
		defer panics.Log(g.cfg.Log, "clearing a part that servers answer")
		time.Sleep(rand.N(maxRefuteDelay))
		if g.refuted(id) {
			g.clear(id)
		}
	})
}

func (g *Guard) refuted(id quarantine.ID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Refuted(time.Now(), id)
}

func (g *Guard) merge(s *pb.Suspect) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	id, changed := g.table.Merge(now, s)
	if !changed {
		return false
	}
	// Other hosts observed these ends: connections that this host opens from now on don't reach the
	// incarnations that ended.
	for inc, age := range g.table.CrashedIncarnations(now, id) {
		if _, known := g.endedAt[inc]; !known && age < endedRetention {
			g.endedAt[inc] = now.Add(-age)
		}
	}
	return true
}

func (g *Guard) expire(now time.Time) {
	for _, id := range g.expireTable(now) {
		g.cfg.Log.Info().Str("event", "suspect-forgotten").Str("account", id.Account).Stringer("fingerprint", id.Fingerprint).Send()
	}
}

func (g *Guard) expireTable(now time.Time) []quarantine.ID {
	g.mu.Lock()
	defer g.mu.Unlock()
	for inc, at := range g.endedAt {
		if now.Sub(at) > endedRetention {
			delete(g.endedAt, inc)
		}
	}
	return g.table.Expire(now)
}

// save writes the store if anything has changed.
func (g *Guard) save() {
	states, version, changed := g.unsavedStates()
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
	g.savedVersion = version
}

func (g *Guard) unsavedStates() (states []*pb.Suspect, version uint64, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	version = g.table.Version()
	if version == g.savedVersion {
		return nil, 0, false
	}
	return g.table.Suspects(time.Now()), version, true
}

// HandleUpdates merges updates broadcast by another host.
func (g *Guard) HandleUpdates(states []*pb.Suspect, from string) { g.mergeUpdates(states, from) }

// HandleFetch returns this host's table if the caller's differs.
func (g *Guard) HandleFetch(r *pb.FetchSuspectsRequest) *pb.FetchSuspectsReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	reply := &pb.FetchSuspectsReply{Complete: g.synced.Load()}
	if r.GetDigest() != g.table.Digest() {
		reply.Suspects = g.table.SomeSuspects(time.Now(), maxFetched, rand.Uint64())
	}
	return reply
}

// HandleAdmit decides on an execution of another host's request.
func (g *Guard) HandleAdmit(r *pb.AdmitSuspectRequest) *pb.AdmitSuspectReply {
	g.mergeUpdates(append(r.GetCauses(), r.GetSuspect()), r.GetName())
	id, ok := quarantine.IDFromProto(r.GetSuspect())
	if !ok {
		return &pb.AdmitSuspectReply{Decision: string(quarantine.Run)}
	}
	v := g.decide(quarantine.Query{
		ID: id, Request: quarantine.RequestFromProto(r), Name: r.GetName(), Lifetime: time.Duration(r.GetLifetimeMs()) * time.Millisecond,
	})
	return &pb.AdmitSuspectReply{Decision: string(v.Decision), AfterMs: v.After.Milliseconds(), Suspect: g.state(id)}
}

// HandleEnd records that another host's execution has ended.
func (g *Guard) HandleEnd(r *pb.EndSuspectRequest) *pb.EndSuspectReply {
	g.mergeUpdates([]*pb.Suspect{r.GetSuspect()}, r.GetName())
	if id, ok := quarantine.IDFromProto(r.GetSuspect()); ok {
		g.end(id, r.GetName())
	}
	return &pb.EndSuspectReply{}
}

func (g *Guard) end(id quarantine.ID, name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.End(id, name)
}

// endExecution notifies the owner of a request that an execution has ended. If the message is lost, the slot
// stays taken until the execution's lifetime is over.
func (g *Guard) endExecution(owner owners.Host, id quarantine.ID, name string) {
	if owner.Self() {
		g.end(id, name)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	_, _ = g.cfg.Client(owner.Address).EndSuspect(ctx, &pb.EndSuspectRequest{Suspect: g.state(id), Name: name})
}
