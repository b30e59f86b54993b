// Package relay is the frame of the chain for routed requests: those that a routing
// table sends on to a service as they are. Its filters are packages of their own below
// it, with the types of package filter; this package holds what they share, the
// Exchange, and the ports through which they reach the host's state.
//
// Order of the chain, outermost first: match (is there a table, and a route), identify
// (whose request it is), deadline, quarantine (have servers crashed under it), budget, forward. Whoever may not ask at all is
// refused before anything is spent on the request.
package relay
