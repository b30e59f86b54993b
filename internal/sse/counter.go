// Package sse parses a stream of server-sent events that is passed on unchanged.
package sse

import "bytes"

// maxLine bounds how many bytes of a line are kept; IDs are short.
const maxLine = 256

// ByteOrderMark may precede the first line of a stream, of which it is no part.
const ByteOrderMark = "\xEF\xBB\xBF"

// Counter counts the events of a stream and remembers the ID of the last one. Its zero value is
// ready for the beginning of a stream.
type Counter struct {
	lines   Lines
	events  int
	lastID  string
	id      string
	line    []byte
	cut     bool // the current line is longer than what is kept of it
	hasLine bool // the current event has a line
	hasID   bool // the current event has an ID
	hasData bool // the current event has data
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
	kept := min(len(b), maxLine-len(c.line))
	c.line = append(c.line, b[:kept]...)
	c.cut = c.cut || kept < len(b)
}

func (c *Counter) endLine() {
	line, cut := c.line, c.cut
	if !c.begun {
		line = bytes.TrimPrefix(line, []byte(ByteOrderMark))
	}
	c.line, c.cut, c.begun = c.line[:0], false, true
	if len(line) == 0 {
		c.endEvent()
		return
	}
	c.hasLine = true
	field, value, _ := bytes.Cut(line, []byte(":"))
	switch string(field) {
	case "data":
		c.hasData = true
	case "id":
		c.hasID, c.id = true, ""
		if !cut {
			c.id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}

func (c *Counter) endEvent() {
	if !c.hasLine {
		return
	}
	c.events++
	switch {
	case c.hasID:
		c.lastID = c.id
	case c.hasData:
		c.lastID = ""
	}
	c.hasLine, c.hasID, c.hasData = false, false, false
}

// Events returns the number of complete events.
func (c *Counter) Events() int { return c.events }

// LastID returns the ID after which the stream goes on; empty if it isn't known, because the last
// complete event with data had no ID or one that is too long. A comment changes nothing.
func (c *Counter) LastID() string { return c.lastID }

// IncompleteBytes returns how many bytes of an incomplete event have been processed.
func (c *Counter) IncompleteBytes() int64 { return c.offset - c.end }
