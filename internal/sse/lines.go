package sse

import "bytes"

// Lines finds the ends of a stream's lines: LF, CR LF and CR. Its zero value is ready for the
// beginning of a stream.
//
// A CR at the end of the bytes that have arrived is a line end of its own, or the first half of one.
// Where the line before ended in CR LF it is taken for the latter, and the line ends with what
// follows.
type Lines struct {
	// afterCR is set if the last byte was a CR that ended a line, halfEnd if it was one that has not.
	afterCR, halfEnd bool
	// crlf is set if the last line ended in CR LF.
	crlf bool
}

// Next returns the part of b up to the end of the line that b begins in, and how many bytes of b
// that takes. ended is false if the line goes on after b, or if b begins with the LF of a line end
// whose CR came before; that LF alone is then taken.
func (l *Lines) Next(b []byte) (text []byte, taken int, ended bool) {
	switch {
	case l.halfEnd:
		l.halfEnd = false
		if l.crlf = b[0] == '\n'; l.crlf {
			return nil, 1, true
		}
		return nil, 0, true
	case l.afterCR:
		l.afterCR = false
		if l.crlf = b[0] == '\n'; l.crlf {
			return nil, 1, false
		}
	}
	return l.cut(b)
}

// cut finds the next line end in b.
func (l *Lines) cut(b []byte) (text []byte, taken int, ended bool) {
	i := bytes.IndexAny(b, "\r\n")
	switch {
	case i < 0:
		return b, len(b), false
	case b[i] == '\n':
		l.crlf = false
	case i == len(b)-1 && l.crlf:
		l.halfEnd = true
		return b[:i], i + 1, false
	case i == len(b)-1:
		l.afterCR = true
	case b[i+1] == '\n':
		l.crlf = true
		return b[:i], i + 2, true
	default:
		l.crlf = false
	}
	return b[:i], i + 1, true
}
