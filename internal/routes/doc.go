// Package routes holds the routing table: to which service requests go, how they may be treated
// there, what callers may send, and which client accounts may send requests. An operator replaces
// the table as a whole under a revision number of their choice; the highest revision is in force.
//
// Table is the form that an operator writes, and Check finds its faults. Index is a Table indexed
// for lookups by requests. State is the replicated state machine that holds the table in force.
// The package is pure.
package routes
