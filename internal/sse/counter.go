// Package sse parses a stream of server-sent events that is passed on unchanged.
package sse

import "bytes"

// maxLine bounds how many bytes of a line are kept; IDs are short.
const maxLine = 256

// ByteOrderMark may precede the first line of a stream, of which it is no part.
const ByteOrderMark = "\xEF\xBB\xBF"

// Counter counts the events of a stream and remembers the ID of the last complete one. Its
// zero value is ready for the beginning of a stream.
type Counter struct {
	lines   Lines
	events  int
	lastID  string
	id      string
	line    []byte
	hasLine bool // the current event has a line
	begun   bool // the first line has ended
	offset  int64
	end     int64
}

// Write processes the next bytes of the stream.
func (c *Counter) Write(b []byte) {
	for len(b) > 0 {
		text, taken, ended := c.lines.Next(b)
		c.appendToLine(text)
		c.offset += int64(taken)
		b = b[taken:]
		if ended {
			c.endLine()
		}
		if !c.hasLine && len(c.line) == 0 {
			c.end = c.offset
		}
	}
}

func (c *Counter) appendToLine(b []byte) {
	if room := maxLine - len(c.line); room > 0 {
		c.line = append(c.line, b[:min(len(b), room)]...)
	}
}

func (c *Counter) endLine() {
	line := c.line
	if !c.begun {
		line = bytes.TrimPrefix(line, []byte(ByteOrderMark))
	}
	c.line, c.begun = c.line[:0], true
	if len(line) == 0 {
		c.endEvent()
		return
	}
	c.hasLine = true
	if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
		c.id = string(bytes.TrimPrefix(value, []byte(" ")))
	}
}

func (c *Counter) endEvent() {
	if !c.hasLine {
		return
	}
	c.hasLine = false
	c.events++
	c.lastID = c.id
}

// Events returns the number of complete events.
func (c *Counter) Events() int { return c.events }

// LastID returns the ID of the last complete event; empty if no event has had one.
func (c *Counter) LastID() string { return c.lastID }

// IncompleteBytes returns how many bytes of an incomplete event have been processed.
func (c *Counter) IncompleteBytes() int64 { return c.offset - c.end }
