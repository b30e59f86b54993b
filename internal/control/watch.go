package control

import (
	"context"
	"sync"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// hubChanges is how many changes are kept for watchers; one that is further
// behind gets the whole tree.
const hubChanges = 1024

// contactInterval is how often a watcher hears from a replica at least.
const contactInterval = time.Second

// hub keeps the latest changes of the settings, in revision order.
type hub struct {
	mu      sync.Mutex
	changes []*pb.ConfigChange
	updated chan struct{} // closed at each change
}

func newHub() *hub { return &hub{updated: make(chan struct{})} }

// observe takes over an applied command if it changed the settings.
func (h *hub) observe(cmd *pb.Command, res *pb.CommandResult) {
	set := cmd.GetSetConfig()
	done := res.GetSetConfig()
	if set == nil || done == nil || res.Error != nil || res.Resend {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = append(h.changes, &pb.ConfigChange{
		Revision: done.Revision, Version: done.Version, Path: set.Path, ValueJson: set.ValueJson,
		Delete: set.Delete, OpId: cmd.OpId, Actor: cmd.Actor, TimeMs: cmd.TimeMs,
	})
	if len(h.changes) > hubChanges {
		h.changes = append([]*pb.ConfigChange(nil), h.changes[len(h.changes)-hubChanges:]...)
	}
	h.broadcast()
}

// reset forgets the changes: the state was replaced as a whole.
func (h *hub) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = nil
	h.broadcast()
}

func (h *hub) broadcast() {
	close(h.updated)
	h.updated = make(chan struct{})
}

// after returns the changes that follow revision; false if some aren't kept.
func (h *hub) after(revision uint64) ([]*pb.ConfigChange, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.changes) == 0 || h.changes[0].Revision > revision+1 {
		return nil, false
	}
	for i, c := range h.changes {
		if c.Revision > revision {
			return append([]*pb.ConfigChange(nil), h.changes[i:]...), true
		}
	}
	return nil, true
}

func (h *hub) wait() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.updated
}

// Subscription follows the settings of one replica. It is pulled, so a slow
// watcher holds nothing up. It isn't safe for concurrent use.
type Subscription struct {
	r        *Replica
	revision uint64
	started  bool
}

// Subscribe follows the settings from a revision that the watcher holds, 0 if none.
func (r *Replica) Subscribe(from uint64) *Subscription {
	return &Subscription{r: r, revision: from, started: from > 0}
}

// Revision up to which the subscription has delivered.
func (s *Subscription) Revision() uint64 { return s.revision }

// Next waits for changes after those delivered and returns them, or the whole
// tree if they aren't kept. It never goes back to an older revision. After
// contactInterval without changes it returns an event without any, which tells
// the watcher that the replica is there and whether the revision is confirmed.
func (s *Subscription) Next(ctx context.Context) (*pb.WatchEvent, error) {
	timer := time.NewTimer(contactInterval)
	defer timer.Stop()
	for {
		updated := s.r.hub.wait()
		if e := s.poll(s.r.confirmed()); e != nil {
			return e, nil
		}
		select {
		case <-updated:
		case <-timer.C:
			if e := s.contact(); e != nil {
				return e, nil
			}
			timer.Reset(contactInterval)
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-s.r.stopped:
			return nil, &NotLeaderError{}
		}
	}
}

// contact returns an event even if nothing is new; nil before the first tree.
func (s *Subscription) contact() *pb.WatchEvent {
	confirmed := s.r.confirmed()
	if e := s.poll(confirmed); e != nil || !s.started {
		return e
	}
	return &pb.WatchEvent{Revision: s.revision, Confirmed: confirmed}
}

// poll returns what is new, nil if nothing is. confirmed was learnt before, so
// whatever it covers is in the state by now.
func (s *Subscription) poll(confirmed bool) *pb.WatchEvent {
	if changes, ok := s.r.hub.after(s.revision); ok && s.started {
		if len(changes) == 0 {
			return nil
		}
		s.revision = changes[len(changes)-1].Revision
		return &pb.WatchEvent{Revision: s.revision, Changes: changes, Confirmed: confirmed}
	}
	tree := s.r.query(&pb.Query{Body: &pb.Query_Config{Config: &pb.ConfigQuery{Path: rootPath}}})
	if tree.Error != nil || (s.started && tree.Revision <= s.revision) {
		return nil
	}
	s.started = true
	s.revision = tree.Revision
	return &pb.WatchEvent{Revision: tree.Revision, SnapshotJson: tree.ValueJson, Confirmed: confirmed}
}

// rootPath of the settings tree.
const rootPath = "/"

// confirmed tells whether this replica's state, as it is after the call, holds
// everything that was committed at some moment of the last two election
// timeouts: it leads under a lease, or a leader with a lease told it how much
// that was, and it has applied as much.
func (r *Replica) confirmed() bool {
	v := r.view.Load()
	index := v.commit
	if !r.leased(v) {
		if !v.confirm.Valid || r.ticksNow()-v.confirm.Tick > 2*int64(r.cfg.ElectionTicks) {
			return false
		}
		index = v.confirm.Index
	}
	r.stateMu.RLock()
	defer r.stateMu.RUnlock()
	return r.applied >= index
}
