// Package control runs one replica of a control group: it binds the pure
// consensus of package raft to the disk (wal, snapshot), the clock, the network
// and a replicated state machine, and serves the gRPC service Control.
//
// # One loop
//
// One goroutine owns the consensus state. Each turn it brings the consensus
// clock up to the time that really passed, takes the messages and proposals
// that have come in, writes everything with one sync, sends, and applies. What
// comes in during a sync waits and goes into the next one together (group
// commit).
//
// # Reads
//
// Only a leader with a lease answers reads. The lease is compared with the
// monotonic clock at the moment of the read, not with ticks fed to the
// consensus, so that a process that was frozen and woken finds it expired.
//
// The monotonic clock must run on while the process or the machine is stopped.
// A virtual machine that is paused without its clock being set forward on resume
// breaks this; such hosts must not carry a replica.
//
// # Identity and lost disks
//
// A replica's id stands for what its disk has promised: votes given, entries
// acknowledged. A replica that lost its disk has forgotten these promises. If it
// voted under its old id, a leader could be elected that lacks committed
// entries. The rule:
//
//   - The first start on an empty disk writes an identity file with a random
//     nonce, the mark of this disk.
//   - A replica of the bootstrap list with a new disk takes no part in
//     consensus. It asks every other replica of the list, and each answers with
//     its own nonce and, if it takes part already, with the nonce that it
//     recorded for the asker.
//   - Once all have answered, and none with another nonce than the asker's, the
//     asker records all nonces, syncs them and takes part. So the first
//     formation of a group needs all replicas of the list to be up, once.
//   - A different nonce means that the group was formed with another disk under
//     this id: the disk was lost. The replica gives up that id for good, draws a
//     new random one, and waits to be added as a learner. It is promoted once it
//     holds everything committed, and the old id is removed.
//
// Why this is safe: a replica takes part only after it recorded the nonces of
// all others. Any quorum that committed something holds, besides the lost disk,
// a replica that takes part, and it recorded the lost disk's nonce; since an
// empty disk waits for the answers of all, it hears that one.
//
// A replica started with Config.Join has a random id from the start and only waits.
package control
