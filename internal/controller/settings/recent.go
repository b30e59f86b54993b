package settings

import "github.com/bluebellsail/bluebellsail/internal/pb"

// maxRecentChanges bounds the number of changes that a host keeps for the hosts to which it
// relays.
const maxRecentChanges = 1000

// changeLog holds the last changes that led to the view, without a gap.
type changeLog struct {
	// since is the revision before the first of the changes.
	since   uint64
	changes []*pb.ConfigChange
}

// advance adds the changes of the event that followed revision from. A snapshot leaves a gap,
// so the changes before it are dropped.
func (r *changeLog) advance(from uint64, e *pb.WatchEvent) {
	if len(e.SnapshotJson) > 0 {
		r.changes, r.since = nil, e.Revision
		return
	}
	if len(r.changes) == 0 {
		r.since = from
	}
	for _, c := range e.Changes {
		if c.Revision > from {
			r.changes = append(r.changes, c)
		}
	}
	if over := len(r.changes) - maxRecentChanges; over > 0 {
		r.since = r.changes[over-1].Revision
		r.changes = append([]*pb.ConfigChange(nil), r.changes[over:]...)
	}
}

// after returns the changes that follow a revision; ok is false if not all of them are kept.
func (r *changeLog) after(revision uint64) (changes []*pb.ConfigChange, ok bool) {
	if revision < r.since {
		return nil, false
	}
	for i, c := range r.changes {
		if c.Revision > revision {
			return r.changes[i:], true
		}
	}
	return nil, true
}
