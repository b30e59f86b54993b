// Package daemon assembles a bluebellsaild process from its settings file: which
// parts run for its roles, in which order they start and in which they stop.
//
// Start: the peer address first, since a replica needs it to reach the others; then
// the operators' address, so that a host that waits for the control group can say so;
// then registration, which gives this run its incarnation; last the callers' address.
//
// Stop: the host leaves the address answers, waits as long as callers keep them,
// finishes what is in flight, settles and returns its grants, and only then closes.
package daemon
