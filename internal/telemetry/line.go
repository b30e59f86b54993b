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

// Write takes one JSON event of zerolog and writes one line.
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

func writePairs(buf *bytes.Buffer, event []byte) error {
	dec := json.NewDecoder(bytes.NewReader(event))
	if _, err := dec.Token(); err != nil {
		return errors.Wrap(err, "log event")
	}
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			return errors.Wrap(err, "log event key")
		}
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return errors.Wrap(err, "log event value")
		}
		if buf.Len() > 0 {
			buf.WriteByte(' ')
		}
		name, _ := key.(string)
		buf.WriteString(quoteIfNeeded(name))
		buf.WriteByte('=')
		buf.WriteString(quoteIfNeeded(plainValue(value)))
	}
	return nil
}

// plainValue takes the JSON quotes off a string; other values stay as they are.
func plainValue(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
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
