// Package logreport reports from the logs of a fleet's hosts how a request ended and what
// happened on its host around that time. It reads the lines of key=value pairs that package
// telemetry writes. It needs no running host, so it works on the logs of a fleet that is down.
package logreport

import (
	"strconv"
	"strings"
	"time"
)

// Line is one event of a host's log.
type Line struct {
	// Time is the time of the line, to the second.
	Time time.Time `json:"time"`
	// Host is the host that wrote the line; empty if the line has no host.
	Host string `json:"host"`
	// Event is the name of the event; empty if the line has none.
	Event string `json:"event"`
	// Fields are all pairs, in the line's order.
	Fields []Field `json:"fields"`
}

// Field is one pair of a line.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Get returns the value of a key; empty if the line does not have it.
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Parse parses a line. It skips words that are not pairs, such as the prefixes that log
// collectors add. ok is false if the line has no pairs.
func Parse(text string) (l Line, ok bool) {
	for text = strings.TrimSpace(text); text != ""; text = strings.TrimLeft(text, " ") {
		var f Field
		var pair bool
		f, text, pair = cutPair(text)
		if !pair {
			continue
		}
		l.Fields = append(l.Fields, f)
		switch f.Key {
		case "host":
			l.Host = f.Value
		case "event":
			l.Event = f.Value
		case "time":
			l.Time, _ = time.Parse(time.RFC3339, f.Value) // an invalid time stays zero and sorts first
		}
	}
	return l, len(l.Fields) > 0
}

// cutPair splits off the first word of a line; pair is false if it is not a key=value pair.
func cutPair(text string) (f Field, rest string, pair bool) {
	end := strings.IndexAny(text, " =")
	if end <= 0 || text[end] == ' ' {
		_, rest, _ = strings.Cut(text, " ")
		return Field{}, rest, false
	}
	f.Key, text = text[:end], text[end+1:]
	if strings.HasPrefix(text, `"`) {
		if quoted, err := strconv.QuotedPrefix(text); err == nil {
			f.Value, _ = strconv.Unquote(quoted) // can't fail: QuotedPrefix has accepted it
			return f, text[len(quoted):], true
		}
	}
	f.Value, rest, _ = strings.Cut(text, " ")
	return f, rest, true
}
