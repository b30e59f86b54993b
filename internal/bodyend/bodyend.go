// Package bodyend reports whether a body whose end is not framed is whole, as far as its content
// shows.
//
// A body without a length and without chunks ends when its connection does. The kernel closes the
// connections of a process that crashes in the same way, so that this end proves nothing.
package bodyend

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"

	"github.com/bluebellsail/bluebellsail/internal/sse"
)

// Verdict is what the content of a body shows about its end.
type Verdict int

// Verdicts.
const (
	// Unknown: the content doesn't show its end.
	Unknown Verdict = iota
	// Whole: the content ends by itself.
	Whole
	// Truncated: the content ends before its end.
	Truncated
)

// Of returns the verdict on a body of the given Content-Type, whose parameters don't matter.
func Of(contentType string, body []byte) Verdict {
	kind, _, _ := strings.Cut(contentType, ";")
	kind = strings.ToLower(strings.TrimSpace(kind))
	switch {
	case kind == "application/json" || strings.HasSuffix(kind, "+json"):
		return ofJSON(body)
	case kind == "text/event-stream":
		return ofEventStream(body)
	}
	return Unknown
}

// ofJSON judges a JSON text. Content that isn't JSON despite its type is left alone: what is not
// known to be truncated is not to be refused. A number at the end may go on.
func ofJSON(body []byte) Verdict {
	d := json.NewDecoder(bytes.NewReader(body))
	var last json.RawMessage
	for {
		err := d.Decode(&last)
		switch {
		case err == nil:
		case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF) && last == nil:
			return Truncated
		case errors.Is(err, io.EOF) && !endsInNumber(last):
			return Whole
		default:
			return Unknown
		}
	}
}

func endsInNumber(value json.RawMessage) bool {
	return value[0] == '-' || '0' <= value[0] && value[0] <= '9'
}

// ofEventStream judges a stream: between two events, it may go on.
func ofEventStream(body []byte) Verdict {
	var s sse.Splitter
	s.Split(body)
	if s.InsideEvent() {
		return Truncated
	}
	return Unknown
}
