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
	// syncEvery is how often a host compares what it knows with another one's, and startEvery
	// until it has done so once.
	syncEvery  = time.Second
	startEvery = 50 * time.Millisecond
	// saveEvery bounds how often the store is written.
	saveEvery = 200 * time.Millisecond
	// closeWait is how long the end of a process waits for its disk.
	closeWait = 200 * time.Millisecond
	// expireEvery is how often what is old is forgotten.
	expireEvery = time.Minute
	// maxFetched bounds the requests in the answer to one comparison: some 70 KB.
	maxFetched = 512
	// fetchTimeout bounds one comparison.
	fetchTimeout = 500 * time.Millisecond
)

// Run keeps what this host knows in step with the others until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	var nextExpiry time.Time
	for ctx.Err() == nil {
		if now := time.Now(); now.After(nextExpiry) {
			nextExpiry = now.Add(expireEvery)
			g.expire(now)
		}
		g.compare(ctx)
		pause := syncEvery
		if !g.synced.Load() {
			pause = startEvery
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// RunStore keeps the store in step with what this host knows until ctx ends. It is apart from Run,
// so that a crash is kept however long other hosts take to answer. A disk that does not answer
// holds up nothing but the next save, and the end of the process for closeWait.
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
	case <-time.After(closeWait):
	}
}

// startSave begins to save; the channel is closed at its end, before which no other save may begin.
func (g *Guard) startSave() <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer panics.Log(g.cfg.Log, "saving the suspects")
		g.save()
	}()
	return done
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
	return g.table.Suspect(time.Now(), id)
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
	for run, age := range g.table.CrashedIncarnations(now, id) {
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
	return g.table.Suspects(time.Now()), version, true
}

// HandleTold takes what another host tells.
func (g *Guard) HandleTold(told []*pb.Suspect, from string) { g.learn(told, from) }

// HandleFetch answers what this host knows.
func (g *Guard) HandleFetch(r *pb.FetchSuspectsRequest) *pb.FetchSuspectsReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	reply := &pb.FetchSuspectsReply{Complete: g.synced.Load()}
	if r.GetDigest() != g.table.Digest() {
		reply.Suspects = g.table.SomeSuspects(time.Now(), maxFetched, rand.Uint64())
	}
	return reply
}

// HandleAdmit decides on a run of another host's request.
func (g *Guard) HandleAdmit(r *pb.AdmitSuspectRequest) *pb.AdmitSuspectReply {
	g.learn([]*pb.Suspect{r.GetSuspect()}, r.GetName())
	id, ok := quarantine.IDFromProto(r.GetSuspect())
	if !ok {
		return &pb.AdmitSuspectReply{Decision: string(quarantine.Run)}
	}
	v := g.decide(id, r.GetName(), time.Duration(r.GetLifetimeMs())*time.Millisecond)
	return &pb.AdmitSuspectReply{Decision: string(v.Decision), AfterMs: v.After.Milliseconds(), Suspect: g.state(id)}
}

// HandleEnd takes that another host's run has ended.
func (g *Guard) HandleEnd(r *pb.EndSuspectRequest) *pb.EndSuspectReply {
	g.learn([]*pb.Suspect{r.GetSuspect()}, r.GetName())
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
