// Package control runs one replica of a control group: it binds the pure consensus of
// package raft to the disk (wal, snapshot), the clock, the network and a replicated
// state machine, and serves the gRPC service Control.
//
// # Event loop
//
// One goroutine owns the consensus state. Each iteration advances the consensus clock
// to the current time, takes the messages and proposals that arrived, sends, and
// applies. It starts one write to the log at a time and doesn't wait for it: only the
// messages that promise what is written do. Input that arrives during a write is written
// together with the next one (group commit). See docs/design/log-writes.md.
//
// # Reads
//
// Only a leader with a lease answers reads. The lease is compared with Config.Now at the
// moment of the read, not with the ticks passed to the consensus, so that a process that
// was suspended finds its lease expired when it resumes.
//
// That clock must go on while the process or the machine is suspended. A virtual machine
// that is paused and whose CLOCK_BOOTTIME is not set forward on resume breaks this; such
// hosts must not run a replica.
//
// # Identity and lost disks
//
// A replica's ID stands for what its disk has promised: votes granted, entries
// acknowledged. A replica that lost its disk no longer knows these promises. If it
// voted under its old ID, a leader that lacks committed entries could be elected. The
// rule:
//
//   - The first start on an empty disk writes an identity file with a random nonce,
//     which identifies this disk.
//   - A replica of the bootstrap list with a new disk does not participate in
//     consensus. It asks every other replica of the list, and each answers with its
//     own nonce and, if it already participates, with the nonce that it recorded for
//     the asking replica. Where another replica of the list was replaced, the new one
//     answers that the group was formed.
//   - Once all have answered, and none with a nonce other than the asking replica's,
//     that replica records all nonces, syncs them and participates. The first
//     formation of a group therefore needs all replicas of the list to be up at the
//     same time, unless Config.FirstStart asserts that no disk was used before: a
//     majority is then enough after firstStartPatience, as another one may have lost its
//     disk meanwhile. That one, or a late one, joins the group as a new replica.
//   - A different nonce, or the answer of a replaced replica, means that the group was
//     formed with another disk under this ID: the disk was lost. The replica abandons
//     that ID permanently, draws a new random one, and waits to be added as a learner.
//     The leader promotes it once it has caught up, and the old ID is removed.
//
// Why this is safe: a replica participates only after it recorded the nonces of all
// others. Any quorum that committed something contains, besides the lost disk, a
// participating replica that recorded the lost disk's nonce. Since a replica with an
// empty disk waits for the answers of all, it receives that replica's answer. A replica on
// its first disk has granted and acknowledged nothing, so that it breaks no promise whoever
// answers; the members and their IDs are the same for all, so that there is one group.
//
// A replica started with Config.Join has a random ID from the start and only waits to
// be added.
package control
