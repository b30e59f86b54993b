// Package sse follows a stream of server-sent events as it passes by, without changing
// or holding it.
package sse

import "bytes"

// maxLine bounds how much of one line is kept, in bytes; ids are short.
const maxLine = 256

// Counter counts the events of a stream and remembers the id of the last whole one.
// Its zero value is ready for a stream's beginning.
type Counter struct {
	events int
	lastID string
	id     string
	line   []byte
	hasLine bool // the event under way has a line
	offset int64
	end    int64
}

// Write takes the next bytes of the stream.
func (c *Counter) Write(b []byte) {
	for len(b) > 0 {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			c.appendToLine(b)
			c.offset += int64(len(b))
			return
		}
		c.appendToLine(b[:i])
		c.offset += int64(i + 1)
		c.endLine()
		b = b[i+1:]
	}
}

func (c *Counter) appendToLine(b []byte) {
	if room := maxLine - len(c.line); room > 0 {
		c.line = append(c.line, b[:min(len(b), room)]...)
	}
}

func (c *Counter) endLine() {
	line := bytes.TrimSuffix(c.line, []byte("\r"))
	c.line = c.line[:0]
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
	c.end = c.offset
}

// Events is the number of whole events.
func (c *Counter) Events() int { return c.events }

// LastID is the id of the last whole event; empty before one had an id.
func (c *Counter) LastID() string { return c.lastID }

// IncompleteBytes is how many bytes of an event that is not whole have passed by.
func (c *Counter) IncompleteBytes() int64 { return c.offset - c.end }
