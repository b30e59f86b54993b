// Package daemon assembles a bluebellsaild process from its settings file: which
// parts run for its roles, and in which order they start and stop.
//
// Start: the peer address first, since a replica needs it to reach the others; then
// the operators' address, so that a host that waits for the control group can report it;
// then registration, which gives this process its incarnation; last the callers' address.
//
// Stop: the host is no longer listed for callers, waits for as long as callers may use a
// list that they have, finishes the requests in flight, settles and returns its grants, and
// only then closes.
package daemon
