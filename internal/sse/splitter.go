package sse

import "bytes"

// maxBuffered bounds the bytes of one event that are buffered until it is complete. A longer
// event is passed on in parts.
const maxBuffered = 1 << 20

// Splitter splits a stream at the ends of events. Its zero value is ready for the beginning of
// a stream.
type Splitter struct{ buffered []byte }

// Split appends the next bytes of the stream and returns the events that are now complete. The
// result is valid until the next call.
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

// Rest returns and removes the buffered bytes of an incomplete event.
func (s *Splitter) Rest() []byte {
	rest := s.buffered
	s.buffered = nil
	return rest
}

// lastEnd returns the position after the last complete event; 0: there is none.
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
