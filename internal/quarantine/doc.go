// Package quarantine decides which requests are kept away from backend servers because servers
// crash while running them.
//
// A request is identified by its Fingerprint. After the first crash of a server that was running
// it, the request is suspected: it runs once at a time in the whole fleet. After MaxCrashes crashes
// it is quarantined: it is rejected except for a few trials with growing pauses between them, so
// that a request that only happened to run beside the cause is served again. A whole answer from a
// server clears it, since a request that crashes every server that runs it never gets one.
//
// A part of prompts is known in the same way, since requests of which no two are alike may share the one part
// that crashes servers. A crash counts against those of a request's parts that no server with the same
// software is known to have answered, and for less if the server had begun to answer. Once a part is
// quarantined, the crashes it explains are not held against the parts that came with it in requests without
// it. An answer with output clears all parts of its request.
//
// A Table holds what one host knows. The tables of several hosts can be merged in any order and any
// number of times with the same result: within an epoch crashes and trials are only ever added, and
// clearing a request begins a later epoch, which replaces the earlier one.
//
// The package is pure: time is passed in, and the caller serializes the calls.
package quarantine
