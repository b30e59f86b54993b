package control

import (
	"context"
	"sync"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// maxBufferedChanges is the number of changes kept for watchers; a watcher that is
// further behind receives the whole tree.
const maxBufferedChanges = 1024

// keepaliveInterval is the maximum time between two events to a watcher.
const keepaliveInterval = time.Second

// changeBuffer keeps the latest changes of the settings, in revision order.
type changeBuffer struct {
	mu      sync.Mutex
	changes []*pb.ConfigChange
	updated chan struct{} // closed at each change
}

func newChangeBuffer() *changeBuffer { return &changeBuffer{updated: make(chan struct{})} }

// record adds the change made by an applied command, if it changed the settings.
func (h *changeBuffer) record(cmd *pb.Command, res *pb.CommandResult) {
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
	if len(h.changes) > maxBufferedChanges {
		h.changes = append([]*pb.ConfigChange(nil), h.changes[len(h.changes)-maxBufferedChanges:]...)
	}
	h.broadcast()
}

// reset discards the changes because the state was replaced as a whole.
func (h *changeBuffer) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = nil
	h.broadcast()
}

func (h *changeBuffer) broadcast() {
	close(h.updated)
	h.updated = make(chan struct{})
}

// since returns the changes after revision, or false if some of them are no longer
// kept.
func (h *changeBuffer) since(revision uint64) ([]*pb.ConfigChange, bool) {
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

func (h *changeBuffer) updates() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.updated
}

// Subscription follows the settings of one replica. The watcher pulls, so a slow one
// blocks nothing. It is not safe for concurrent use.
type Subscription struct {
	r        *Replica
	revision uint64
	started  bool
}

// Subscribe returns a subscription that starts after revision from, which the watcher
// holds; 0 if it holds none.
func (r *Replica) Subscribe(from uint64) *Subscription {
	return &Subscription{r: r, revision: from, started: from > 0}
}

// Revision returns the revision up to which the subscription has delivered.
func (s *Subscription) Revision() uint64 { return s.revision }

// Next waits for changes after those delivered and returns them, or the whole tree if
// the changes are no longer kept. It never returns to an older revision. After
// keepaliveInterval without changes it returns an event without any, which shows the
// watcher that the replica is reachable and whether the revision is confirmed.
func (s *Subscription) Next(ctx context.Context) (*pb.WatchEvent, error) {
	timer := time.NewTimer(keepaliveInterval)
	defer timer.Stop()
	for {
		updated := s.r.changes.updates()
		if e := s.poll(s.r.confirmed()); e != nil {
			return e, nil
		}
		select {
		case <-updated:
		case <-timer.C:
			if e := s.keepalive(); e != nil {
				return e, nil
			}
			timer.Reset(keepaliveInterval)
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-s.r.stopped:
			return nil, &NotLeaderError{}
		}
	}
}

// keepalive returns an event even if there are no changes; nil before the first tree.
func (s *Subscription) keepalive() *pb.WatchEvent {
	confirmed := s.r.confirmed()
	if e := s.poll(confirmed); e != nil || !s.started {
		return e
	}
	return &pb.WatchEvent{Revision: s.revision, Confirmed: confirmed, Evacuations: s.r.Evacuations()}
}

// poll returns an event with the changes not delivered yet, or nil. The caller
// determines confirmed before the call, so the state already contains everything it
// covers.
func (s *Subscription) poll(confirmed bool) *pb.WatchEvent {
	if changes, ok := s.r.changes.since(s.revision); ok && s.started {
		if len(changes) == 0 {
			return nil
		}
		s.revision = changes[len(changes)-1].Revision
		return &pb.WatchEvent{Revision: s.revision, Changes: changes, Confirmed: confirmed, Evacuations: s.r.Evacuations()}
	}
	tree := s.r.query(&pb.Query{Body: &pb.Query_Config{Config: &pb.ConfigQuery{Path: rootPath}}})
	if tree.Error != nil || (s.started && tree.Revision <= s.revision) {
		return nil
	}
	s.started = true
	s.revision = tree.Revision
	return &pb.WatchEvent{
		Revision: tree.Revision, SnapshotJson: tree.ValueJson, Confirmed: confirmed, Evacuations: s.r.Evacuations(),
	}
}

// rootPath is the path of the whole settings tree.
const rootPath = "/"

// confirmed reports whether this replica's state, as it is after the call, contains
// everything that was committed at some moment within the last two election timeouts:
// the replica leads under a lease, or a leader with a lease sent it a commit index, and
// it has applied up to that index.
func (r *Replica) confirmed() bool {
	v := r.view.Load()
	index := v.commit
	if !r.hasLease(v) {
		if !v.confirmation.Valid || r.ticksNow()-v.confirmation.Tick > 2*int64(r.cfg.ElectionTicks) {
			return false
		}
		index = v.confirmation.Index
	}
	r.stateMu.RLock()
	defer r.stateMu.RUnlock()
	return r.applied >= index
}
