// Package quarantine decides which requests are kept from backend servers because servers
// crash while they run them.
//
// A request is known by its Fingerprint. The first crash under it makes it suspected: it runs
// once at a time in the whole fleet. After MaxCrashes it is quarantined: it is refused but for
// a few trials with growing pauses between them, so that a request which was only running
// beside the cause is served again. A whole answer of a server clears it, as a request that
// crashes each server that runs it has none.
//
// A Table holds what one host knows. Tables of several hosts are merged in any order and as
// often as one likes, with the same result: within an epoch crashes and trials only come
// to be known, and a later epoch, which a clearance begins, replaces an earlier one.
//
// The package is pure: time is passed in, and the caller serialises the calls.
package quarantine
