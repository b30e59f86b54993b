package sse

import "bytes"

// Part is the part of a stream that one server sends. A server that resumes a stream may begin its part
// with a byte-order mark, which has no place within a stream and would hide the first event's ID.
type Part struct {
	// Continues is set if another server has sent events before.
	Continues bool
	begun     bool
}

// Events returns whole events of the part in the form in which they belong into the stream.
func (p *Part) Events(events []byte) []byte {
	if len(events) == 0 || p.begun {
		return events
	}
	p.begun = true
	if p.Continues {
		return bytes.TrimPrefix(events, []byte(ByteOrderMark))
	}
	return events
}
