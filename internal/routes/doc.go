// Package routes is the routing table: which requests go to which service, how they may
// be treated there, what a caller may send, and which client accounts may ask. An
// operator replaces it as a whole under a revision of its own; the highest revision is
// in force.
//
// Table is what an operator writes, and Check finds its faults. Index is a Table made
// ready for lookups by requests. State is the replicated state machine that holds the
// one in force. All of it is pure.
package routes
