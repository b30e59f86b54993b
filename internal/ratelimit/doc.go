// Package ratelimit enforces the rate limits that backend servers advertise. An overloaded server
// advertises how many requests a second it accepts from all hosts together. The package is pure:
// time is passed in, and the caller serializes the calls.
//
// A host that counts only its own requests cannot enforce a limit on the sum over all hosts.
// Requests to a limited server therefore need permits, and one host, the owner of the server's
// limit, issues them from a token bucket. A permit covers one request and expires after
// PermitLifetime, so that none outlives its owner for long.
//
// Invariant: in any span of 4 s a server gets at most 1.5 times what its limit allows, plus 5
// requests. One bucket contributes at most rate x (4 s + PermitLifetime) + burst to such a span. Two
// hosts may act as the owner at the same time, or another host may become the owner while the former
// one is alive. Three rules bound what they issue together:
//
//   - The backup owner, second in rank, issues backupShare of the limit while the first in rank
//     is not suspected.
//   - An owner that suspects some of the hosts issues reachMargin times the share of the hosts
//     that it reaches, so that the owners on the sides of a partition share the limit.
//   - A host that may issue more than before, because it has become the owner or reaches more
//     hosts, does so after OwnerChangeTime: the former owner may not know of the change yet.
package ratelimit
