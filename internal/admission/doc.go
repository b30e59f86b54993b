// Package admission bounds the requests that a fleet has at brittle backend servers. A brittle server
// fails if it has to reject more than a number of requests in one second, and its room, the requests
// that it runs and queues at once, may shrink without notice. The package is pure: time is passed in,
// and the caller serializes the calls.
//
// A host that counts only its own requests knows neither what is in flight at a server nor how many
// requests the server has rejected. Each request to a brittle server is therefore admitted by one host,
// the server's owner. The owner admits a request if
//
//   - the requests admitted in the last SettleTime whose fate is not known, plus the rejections of the
//     last second, stay below the tolerated number, and
//   - the requests in flight stay within a window, which starts at the server's slots, shrinks at a
//     rejection below what was in flight, and grows slowly.
//
// Invariant: however the room changes, the server rejects at most the tolerated number of requests
// in any second, as long as the owner learns of each rejection within SettleTime of the admission.
// The first rule alone ensures it; the window keeps rejections rare.
//
// Two hosts may take themselves for the owner, or another host may become the owner. Allowance bounds
// what they cause together: sides of a partition share the tolerated number, and a host that has
// become the owner waits for AgreedTime if all hosts are known to agree on it, else for SettledTime.
package admission
