// Package linkshare decides who uses the network link of a host while it is full: which connections
// of callers the host accepts, and which of the requests on them it serves. It keeps a part of the
// link free for the host's own calls.
package linkshare

import "sync/atomic"

// Purpose is what bytes on the link are for.
type Purpose int

// Purposes.
const (
	// Callers: requests of callers and the answers to them.
	Callers Purpose = iota
	// Servers: requests passed on to backend servers and the servers' answers.
	Servers
	// Peers: calls between processes of the fleet, and connections to backend servers that lead through
	// another host.
	Peers
	purposes
)

// String returns the purpose's name in logs and metrics.
func (p Purpose) String() string { return [...]string{"callers", "servers", "peers"}[p] }

// Purposes returns all purposes.
func Purposes() []Purpose { return []Purpose{Callers, Servers, Peers} }

// Bytes are the bytes that crossed the link in each direction.
type Bytes struct{ In, Out int64 }

// Traffic counts the bytes on the link. The zero value is ready to use. It is safe for concurrent use.
type Traffic struct {
	in, out [purposes]atomic.Int64
}

// Count adds bytes that were received and sent for a purpose.
func (t *Traffic) Count(p Purpose, in, out int) {
	if in > 0 {
		t.in[p].Add(int64(in))
	}
	if out > 0 {
		t.out[p].Add(int64(out))
	}
}

// Of returns the bytes of a purpose since the start.
func (t *Traffic) Of(p Purpose) Bytes { return Bytes{In: t.in[p].Load(), Out: t.out[p].Load()} }

// Total returns the bytes of all purposes since the start.
func (t *Traffic) Total() Bytes {
	var sum Bytes
	for _, p := range Purposes() {
		b := t.Of(p)
		sum.In, sum.Out = sum.In+b.In, sum.Out+b.Out
	}
	return sum
}
