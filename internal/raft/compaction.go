package raft

// maxKeptBytes bounds the memory of the entries that a leader keeps for members that need
// them, beyond those that its caller wants to keep.
const maxKeptBytes = 16 << 20

// Compact discards the entries up to index, which a durable snapshot covers. A leader
// keeps those that a member still needs: one that installs a snapshot would otherwise
// need the next one as soon as it is done, and again, if the group commits faster than a
// snapshot travels.
func (r *Raft) Compact(index uint64) {
	kept := index
	for _, id := range r.otherMembers() {
		held, ok := r.heldBy(r.progress[id])
		if ok && held >= r.log.snapIndex && held < kept && r.log.bytes(held+1, index) <= maxKeptBytes {
			kept = held
		}
	}
	r.log.compact(kept)
	r.members.compact(r.log.snapIndex)
}

// heldBy returns the index after which a member needs the entries, if it needs any.
func (r *Raft) heldBy(p *progress) (index uint64, ok bool) {
	if p.state == installing {
		return p.snapshotFrom, r.now-p.sentTick < r.snapshotResendTicks()
	}
	return p.match, p.match > 0 && r.active(p)
}

// SnapshotTaken records the newest durable snapshot, which covers the entries up to index, and its size in bytes.
func (r *Raft) SnapshotTaken(index uint64, bytes int) {
	r.snapshotIndex, r.snapshotBytes = index, bytes
}

// snapshotIsSmaller reports whether a member that is probed lacks more bytes of entries than the snapshot that covers them
// has. A group whose entries replace large values keeps many times the size of its state, which a new replica on a lossy link
// may not get before the next loss.
func (r *Raft) snapshotIsSmaller(p *progress) bool {
	return p.state != replicating && p.next <= r.snapshotIndex && r.log.bytes(p.next, r.snapshotIndex) > r.snapshotBytes
}
