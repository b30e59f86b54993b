package sse

import "bytes"

// maxHeld bounds the bytes of one event that are held until it is whole. A longer event
// is passed on in parts.
const maxHeld = 1 << 20

// Splitter cuts a stream where events end. Its zero value is ready for a stream's
// beginning.
type Splitter struct{ held []byte }

// Take takes the next bytes of the stream and returns the whole events that are there.
// What it returns is valid until the next call.
func (s *Splitter) Take(b []byte) []byte {
	s.held = append(s.held, b...)
	end := lastEnd(s.held)
	if end == 0 && len(s.held) > maxHeld {
		end = len(s.held)
	}
	whole := s.held[:end:end]
	s.held = append([]byte(nil), s.held[end:]...)
	return whole
}

// Rest is what is held of an event that is not whole.
func (s *Splitter) Rest() []byte {
	rest := s.held
	s.held = nil
	return rest
}

// lastEnd is where the last whole event ends; 0: there is none.
func lastEnd(b []byte) int {
	return max(lastAfter(b, "\n\n"), lastAfter(b, "\n\r\n"))
}

func lastAfter(b []byte, end string) int {
	i := bytes.LastIndex(b, []byte(end))
	if i < 0 {
		return 0
	}
	return i + len(end)
}
