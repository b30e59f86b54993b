// Package answerhead checks, before net/http's parser sees them, that the bytes of a connection are heads of HTTP/1 answers
// whose fields every reader finds alike. It performs no I/O.
//
// net/http accepts what RFC 9112 forbids or lets a gateway reject. It keeps a blank in the name of a field, appends a line that
// begins with a blank to the field before it, and takes an empty line for the end of the head however the lines before it
// ended. A server that sends damaged heads would so lose the field that tells the length of its answer, or have a part of the
// head taken for the body. It also accepts any status from -00 to 999.
package answerhead

import (
	"bytes"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is the error of a head that is damaged.
var ErrMalformed = errors.New("the answer's head is malformed")

// maxQuoted bounds what an error quotes of a line, in bytes.
const maxQuoted = 80

// state is what the next bytes belong to.
type state int

const (
	statusLine state = iota
	fieldLine
	body
)

// Checker checks the bytes of one connection. The zero value expects the head of an answer. It is not safe for concurrent use.
type Checker struct {
	state state
	// line is the received part of an incomplete line. net/http bounds the head, and so the line.
	line []byte
	// crlf is set if the lines of the head end in CR LF and not in LF alone.
	crlf bool
	// interim is set if the head is that of an interim answer, which another head follows.
	interim bool
}

// Expect makes the next bytes those of a further answer. Without it all bytes after a head belong to its answer's body.
func (c *Checker) Expect() { *c = Checker{} }

// Check processes the next bytes of the connection. Its errors have the cause ErrMalformed; after one the connection can't be
// read any further.
func (c *Checker) Check(data []byte) error {
	for c.state != body && len(data) > 0 {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			c.line = append(c.line, data...)
			return nil
		}
		line := data[:end]
		if len(c.line) > 0 {
			line = append(c.line, line...)
			c.line = nil
		}
		if err := c.endLine(line); err != nil {
			return err
		}
		data = data[end+1:]
	}
	return nil
}

// endLine processes a line without its LF.
func (c *Checker) endLine(line []byte) error {
	text, crlf := bytes.CutSuffix(line, []byte("\r"))
	if c.state == statusLine {
		return c.endStatusLine(text, crlf)
	}
	switch {
	case crlf != c.crlf:
		return malformed("the lines end differently, at", line)
	case len(text) == 0:
		c.endHead()
		return nil
	}
	return checkField(text)
}

func (c *Checker) endHead() {
	c.state = body
	if c.interim {
		c.state = statusLine
	}
}

// endStatusLine processes a status line without its end. 101 (Switching Protocols) is the status of a final answer.
func (c *Checker) endStatusLine(line []byte, crlf bool) error {
	code := statusCode(line)
	if !isStatus(code) {
		return malformed("status line", line)
	}
	c.state, c.crlf, c.interim = fieldLine, crlf, code[0] == '1' && string(code) != "101"
	return nil
}

// statusCode returns the status code in a status line.
func statusCode(line []byte) []byte {
	_, rest, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	return code
}

// isStatus reports whether a code is from 100 to 599; others are invalid (RFC 9110, section 15).
func isStatus(code []byte) bool {
	isDigit := func(b byte) bool { return '0' <= b && b <= '9' }
	return len(code) == 3 && '1' <= code[0] && code[0] <= '5' && isDigit(code[1]) && isDigit(code[2])
}

// checkField rejects a line that is not one field with a valid name, such as one that continues the field before it
// (RFC 9112, sections 5.1 and 5.2).
func checkField(line []byte) error {
	name, _, found := bytes.Cut(line, []byte(":"))
	if !found || !httpguts.ValidHeaderFieldName(string(name)) {
		return malformed("field", line)
	}
	return nil
}

func malformed(what string, line []byte) error {
	return errors.Wrapf(ErrMalformed, "%s %q", what, line[:min(len(line), maxQuoted)])
}
