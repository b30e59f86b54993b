package sse

import "bytes"

// lines finds the ends of a stream's lines: LF, CR LF and CR. Its zero value is ready for the
// beginning of a stream.
type lines struct {
	// afterCR is set if the last byte was a CR: an LF that follows belongs to the same line end.
	afterCR bool
}

// next returns the part of b up to the end of the line that b begins in, and how many bytes of b
// that takes. ended is false if the line goes on after b, or if b begins with the LF of a line end
// whose CR came before; that LF alone is then taken.
func (l *lines) next(b []byte) (text []byte, taken int, ended bool) {
	if l.afterCR {
		l.afterCR = false
		if b[0] == '\n' {
			return nil, 1, false
		}
	}
	i := bytes.IndexAny(b, "\r\n")
	if i < 0 {
		return b, len(b), false
	}
	l.afterCR = b[i] == '\r'
	return b[:i], i + 1, true
}
