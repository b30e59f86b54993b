// Package relay defines the filter chain for routed requests: requests that a routing table
// forwards to a service unchanged. Each filter is a package of its own below this one and
// implements the types of package filter. This package holds what the filters share: the Exchange,
// and the interfaces through which they reach the host's state.
//
// The chain, outermost first: callergone (from package filter), match (is there a routing table,
// and a route for the request), identify (which client account sends it), deadline, quarantine
// (have servers crashed while they ran it), bandwidth, budget, forward. A request that may not be
// served is rejected before any tokens are reserved for it.
package relay
