package sse

const (
	// maxBuffered bounds the bytes of one event that are buffered until it is complete. What is sent of a longer event
	// is passed on as it comes.
	maxBuffered = 1 << 20
	// maxKept bounds the capacity of a buffer that is used again for the next events, in bytes.
	maxKept = 64 << 10
)

// Splitter splits a stream at the ends of events. Its zero value is ready for the beginning of
// a stream.
type Splitter struct {
	lines    Lines
	buffered []byte
	// returned is how many bytes of buffered the last call of Split returned.
	returned int
	// scanned is how many bytes of buffered have been searched for the end of an event.
	scanned int
	// inLine is set once the current line has a byte, inEvent once the current event has a line other
	// than a comment.
	inLine, inEvent bool
	comment         bool // the current line is a comment
	// overlong is set while the current event is passed on in parts.
	overlong bool
}

// Split appends the next bytes of the stream and returns the events that are now complete. The
// result is valid until the next call.
func (s *Splitter) Split(b []byte) []byte {
	s.drop()
	s.buffered = append(s.buffered, b...)
	end := s.scan()
	switch {
	case end > 0:
		s.overlong = false
	case s.overlong || len(s.buffered) > maxBuffered:
		s.overlong, end = true, len(s.buffered)
	default:
		return nil
	}
	s.returned = end
	return s.buffered[:end:end]
}

// rest returns the bytes that no call has returned yet.
func (s *Splitter) rest() []byte { return s.buffered[s.returned:] }

// drop removes the bytes that the last call returned from the buffer.
func (s *Splitter) drop() {
	if s.returned == 0 {
		return
	}
	rest := s.rest()
	if cap(s.buffered) > maxKept {
		s.buffered = append([]byte(nil), rest...)
	} else {
		s.buffered = s.buffered[:copy(s.buffered, rest)]
	}
	s.scanned -= s.returned
	s.returned = 0
}

// scan searches the bytes not searched yet and returns the position after the last complete event;
// 0: none ends there.
func (s *Splitter) scan() int {
	end := 0
	for s.scanned < len(s.buffered) {
		text, taken, ended := s.lines.Next(s.buffered[s.scanned:])
		s.scanned += taken
		if !s.inLine && len(text) > 0 {
			s.inLine, s.comment = true, text[0] == ':'
		}
		if ended {
			s.endLine()
		}
		if !s.inLine && !s.inEvent && !s.lines.halfEnd {
			end = s.scanned
		}
	}
	return end
}

// endLine records the end of a line. A blank one ends the event, and a comment belongs to none.
func (s *Splitter) endLine() {
	switch {
	case !s.inLine:
		s.inEvent = false
	case !s.comment:
		s.inEvent = true
	}
	s.inLine = false
}

// InsideEvent reports whether the stream would be truncated if it ended here: an event or a line has
// begun and has not ended.
func (s *Splitter) InsideEvent() bool { return s.inLine || s.inEvent || s.lines.halfEnd }
