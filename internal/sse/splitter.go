package sse

import "bytes"

// maxBuffered bounds the bytes of one event that are held until it is whole. A longer event
// is passed on in parts.
const maxBuffered = 1 << 20

// Splitter cuts a stream where events end. Its zero value is ready for a stream's
// beginning.
type Splitter struct{ buffered []byte }

// Split takes the next bytes of the stream and returns the whole events that are there.
// What it returns is valid until the next call.
func (s *Splitter) Split(b []byte) []byte {
	s.buffered = append(s.buffered, b...)
	end := lastEnd(s.buffered)
	if end == 0 && len(s.buffered) > maxBuffered {
		end = len(s.buffered)
	}
	whole := s.buffered[:end:end]
	s.buffered = append([]byte(nil), s.buffered[end:]...)
	return whole
}

// Rest is what is held of an event that is not whole.
func (s *Splitter) Rest() []byte {
	rest := s.buffered
	s.buffered = nil
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
