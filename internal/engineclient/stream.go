package engineclient

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/sse"
)

// Bounds of one event of a stream, in bytes.
const (
	lineBuffer = 8 << 10
	maxEvent   = 1 << 20
)

// ErrEventTooLong is returned if the engine sends an event longer than maxEvent.
var ErrEventTooLong = errors.New("stream event is longer than the limit")

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
	res   *http.Response
	r     *bufio.Reader
	lines sse.Lines
	// begun is set once the first line has been read.
	begun      bool
	line, data []byte
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

// EndsWithConnection reports whether nothing but the end of its connection marks the stream's end.
func (s *Stream) EndsWithConnection() bool { return Unframed(s.res) }

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
		line, err := s.nextLine()
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
			return Event{}, ErrEventTooLong
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

// nextLine returns the next line without its line ending. The result is valid until the next call.
func (s *Stream) nextLine() ([]byte, error) {
	s.line = s.line[:0]
	for {
		if _, err := s.r.Peek(1); err != nil {
			return nil, readError(err)
		}
		arrived, _ := s.r.Peek(s.r.Buffered())
		text, taken, ended := s.lines.Next(arrived)
		s.line = append(s.line, text...)
		_, _ = s.r.Discard(taken)
		if len(s.line) > maxEvent {
			return nil, ErrEventTooLong
		}
		if ended {
			return s.withoutMark(), nil
		}
	}
}

// withoutMark returns the line just read without the mark that may precede the first one.
func (s *Stream) withoutMark() []byte {
	if s.begun {
		return s.line
	}
	s.begun = true
	return bytes.TrimPrefix(s.line, []byte(sse.ByteOrderMark))
}

func readError(err error) error {
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	return errors.Wrap(err, "read stream")
}
