package engineclient

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// Bounds of one event of a stream, in bytes.
const (
	lineBuffer = 8 << 10
	maxEvent   = 1 << 20
)

// errEventTooLong is returned if the engine sends an event longer than maxEvent.
var errEventTooLong = errors.New("stream event is longer than the limit")

// Usage is the token usage that an engine reports.
type Usage struct {
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
	TotalTokens      uint64 `json:"total_tokens"`
}

// Event is one server-sent event. Data is valid until the next call of Next.
type Event struct {
	Name string
	Data []byte
}

// Stream is an engine's open answer. One goroutine reads it; Close may be called from any.
type Stream struct {
	res  *http.Response
	r    *bufio.Reader
	data []byte
}

func newStream(res *http.Response, id string) (*Stream, error) {
	if err := checkID(res, id); err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		return nil, statusError(res)
	}
	if ct := res.Header.Get("Content-Type"); !strings.HasPrefix(ct, "text/event-stream") {
		_ = res.Body.Close()
		return nil, &Error{Ran: errkind.RanUnknown, Status: res.StatusCode, Message: "answer is not an event stream but " + ct}
	}
	return &Stream{res: res, r: bufio.NewReaderSize(res.Body, lineBuffer)}, nil
}

// Close closes the stream, and its connection unless the stream was read to its end.
func (s *Stream) Close() { _ = s.res.Body.Close() }

// Drain reads the few bytes that may follow the last event, so that the connection can be
// reused.
func (s *Stream) Drain() { _, _ = io.CopyN(io.Discard, s.r, lineBuffer) }

// Buffered reports whether more of the stream has already arrived.
func (s *Stream) Buffered() bool { return s.r.Buffered() > 0 }

// Next returns the next event, or io.EOF at the end of the stream.
func (s *Stream) Next() (Event, error) {
	var ev Event
	s.data = s.data[:0]
	for {
		line, err := s.line()
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if len(s.data) == 0 {
				ev = Event{}
				continue
			}
			ev.Data = s.data[:len(s.data)-1]
			return ev, nil
		}
		s.field(&ev, line)
		if len(s.data) > maxEvent {
			return Event{}, errEventTooLong
		}
	}
}

// field parses one line of an event; comments and unknown fields are skipped.
func (s *Stream) field(ev *Event, line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		s.data = append(s.data, value...)
		s.data = append(s.data, '\n')
	case "event":
		ev.Name = string(value)
	}
}

// line returns the next line without its line ending. The result is valid until the next call.
func (s *Stream) line() ([]byte, error) {
	line, err := s.r.ReadSlice('\n')
	if err == nil {
		return trimEnd(line), nil
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return nil, readError(err)
	}
	long := append([]byte(nil), line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(long) > maxEvent {
			return nil, errEventTooLong
		}
		line, err = s.r.ReadSlice('\n')
		long = append(long, line...)
	}
	if err != nil {
		return nil, readError(err)
	}
	return trimEnd(long), nil
}

func trimEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}

func readError(err error) error {
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	return errors.Wrap(err, "read stream")
}
