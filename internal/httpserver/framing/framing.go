// Package framing checks, before the server's parser sees them, that the bytes of a connection
// are HTTP/1 requests which every reader interprets the same way. It performs no I/O.
//
// nbhttp's parser accepts what RFC 9112 forbids. Of two Content-Length headers it uses the
// first, next to Transfer-Encoding it ignores the length, it reads the chunk size "0x5" as 0,
// takes a line break within a chunk extension as part of it, a folded line as a separate
// header, and a method in lower case as one in upper case. A strict reader of the same bytes,
// such as a proxy in front of this server, sees other requests in them. A caller could thus
// hide a request in the body of another (request smuggling) and have it run under a key that
// is not its own.
package framing

import (
	"bytes"
	"net/url"
	"strconv"
	"strings"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// Limits of one request, in bytes.
type Limits struct {
	// Header bounds the request line and all headers together.
	Header int64
	// Body bounds the body without its framing.
	Body int64
}

// Phase is how much of the current request has been received.
type Phase int

// Phases.
const (
	// Idle: no byte of a request has been received.
	Idle Phase = iota
	// Head: the request line or headers are being received.
	Head
	// Body: the head is complete, the body is not.
	Body
)

// state is what the next bytes belong to.
type state int

const (
	requestLine state = iota
	headerLine
	plainBody
	chunkSize
	chunkData
	chunkEnd
	lastChunkEnd
)

const (
	// maxChunkLine bounds a chunk's size line including extensions, in bytes.
	maxChunkLine = 256
	// maxChunkDigits bounds a chunk's size to 32 bits.
	maxChunkDigits = 8
	// maxLengthDigits keeps a Content-Length within 63 bits.
	maxLengthDigits = 18
)

// Checker checks the bytes of one connection. It is not safe for concurrent use.
type Checker struct {
	state state
	// line is the received part of an incomplete line.
	line []byte
	head head
	// remaining is how many bytes of the plain body or of the chunk are missing.
	remaining int64
	// size is the total size of the chunks so far.
	size  int64
	begun uint64
}

// head is the state collected from a request's headers.
type head struct {
	bytes   int64
	version string
	hosts   int
	lengths int
	codings int
	length  int64
}

// Phase returns the phase of the current request.
func (c *Checker) Phase() Phase {
	switch {
	case c.state == requestLine && len(c.line) == 0:
		return Idle
	case c.state <= headerLine:
		return Head
	}
	return Body
}

// Missing returns how many bytes of the current request are still to come, as far as its
// headers show.
func (c *Checker) Missing() int64 {
	if c.state != plainBody {
		return 0
	}
	return c.remaining
}

// Begun returns the number of requests of which at least one byte was received.
func (c *Checker) Begun() uint64 { return c.begun }

// Check processes the next bytes of the connection. It returns how many of them may be passed
// to the parser: all of them, or, with an error, those before the offending line. After an
// error the connection can't be read any further.
func (c *Checker) Check(data []byte, l Limits) (int, *errkind.Error) {
	for pos := 0; pos < len(data); {
		n, err := c.step(data[pos:], l)
		if err != nil {
			return pos, err
		}
		pos += n
	}
	return len(data), nil
}

// step consumes part of data and returns how many bytes.
func (c *Checker) step(data []byte, l Limits) (int, *errkind.Error) {
	if c.Phase() == Idle {
		c.begun++
		c.head = head{}
	}
	switch c.state {
	case plainBody, chunkData:
		return c.skip(data), nil
	}
	return c.readLine(data, l)
}

// skip consumes body bytes.
func (c *Checker) skip(data []byte) int {
	n := min(int64(len(data)), c.remaining)
	c.remaining -= n
	if c.remaining > 0 {
		return int(n)
	}
	if c.state == chunkData {
		c.state = chunkEnd
	} else {
		c.state = requestLine
	}
	return int(n)
}

// readLine consumes a line, or the part of one that has arrived.
func (c *Checker) readLine(data []byte, l Limits) (int, *errkind.Error) {
	end := bytes.IndexByte(data, '\n')
	part := data
	if end >= 0 {
		part = data[:end+1]
	}
	if err := c.checkLength(int64(len(c.line)+len(part)), l); err != nil {
		return 0, err
	}
	if end < 0 {
		c.line = append(c.line, part...)
		return len(part), nil
	}
	line := part
	if len(c.line) > 0 {
		line = append(c.line, part...)
		c.line = c.line[:0]
	}
	if !bytes.HasSuffix(line, []byte("\r\n")) {
		return 0, badRequest("a line ends without a carriage return")
	}
	text := line[:len(line)-2]
	if !isPlainText(text) {
		return 0, badRequest("a line contains control characters")
	}
	return len(part), c.endLine(text, l)
}

// checkLength rejects a line that exceeds the limit of its part of the request.
func (c *Checker) checkLength(length int64, l Limits) *errkind.Error {
	switch c.state {
	case requestLine, headerLine:
		if c.head.bytes+length > l.Header {
			return errkind.New(errkind.HeadersTooLarge, "the headers are over %d bytes", l.Header)
		}
	default:
		if length > maxChunkLine {
			return badRequest("a chunk's size line is over %d bytes", maxChunkLine)
		}
	}
	return nil
}

// isPlainText reports whether a line contains no control characters other than tabs.
func isPlainText(line []byte) bool {
	for _, b := range line {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

func (c *Checker) endLine(line []byte, l Limits) *errkind.Error {
	switch c.state {
	case requestLine:
		return c.endRequestLine(line)
	case headerLine:
		return c.endHeaderLine(line, l)
	case chunkSize:
		return c.endChunkSize(line, l)
	case chunkEnd:
		c.state = chunkSize
	default:
		c.state = requestLine
	}
	if len(line) > 0 {
		return badRequest("unexpected data at the end of a chunk")
	}
	return nil
}

// methods are the methods that the server accepts. Methods are case-sensitive.
var methods = map[string]bool{
	"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true, "OPTIONS": true,
}

func (c *Checker) endRequestLine(line []byte) *errkind.Error {
	c.head.bytes += int64(len(line)) + 2
	fields := strings.Split(string(line), " ")
	if len(fields) != 3 {
		return badRequest("the request line has %d fields", len(fields))
	}
	method, target, version := fields[0], fields[1], fields[2]
	switch {
	case !methods[method]:
		return badRequest("the method %q is not supported", method)
	case !isPlainTarget(target):
		return badRequest("the request target is not a valid path")
	case version != "HTTP/1.1" && version != "HTTP/1.0":
		return badRequest("the HTTP version %q is not supported", version)
	}
	c.head.version = version
	c.state = headerLine
	return nil
}

// isPlainTarget reports whether a target is a path in visible ASCII with valid escapes.
func isPlainTarget(target string) bool {
	if !strings.HasPrefix(target, "/") {
		return false
	}
	for i := range len(target) {
		if b := target[i]; b <= ' ' || b >= 0x7f || b == '#' {
			return false
		}
	}
	_, err := url.ParseRequestURI(target)
	return err == nil
}

func (c *Checker) endHeaderLine(line []byte, l Limits) *errkind.Error {
	c.head.bytes += int64(len(line)) + 2
	if len(line) == 0 {
		return c.endHead(l)
	}
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 || !isToken(line[:colon]) {
		return badRequest("a header name is invalid")
	}
	value := strings.Trim(string(line[colon+1:]), " \t")
	switch strings.ToLower(string(line[:colon])) {
	case "host":
		c.head.hosts++
	case "trailer":
		return badRequest("trailers are not supported")
	case "content-length":
		return c.parseLength(value)
	case "transfer-encoding":
		c.head.codings++
		if !strings.EqualFold(value, "chunked") {
			return badRequest("the transfer coding %q is not supported", value)
		}
	}
	return nil
}

func (c *Checker) parseLength(value string) *errkind.Error {
	c.head.lengths++
	if len(value) == 0 || len(value) > maxLengthDigits || strings.Trim(value, "0123456789") != "" {
		return badRequest("the Content-Length %q is not a number", value)
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return badRequest("the Content-Length %q is not a number", value)
	}
	c.head.length = n
	return nil
}

// isToken reports whether name consists of the characters allowed in a header name.
func isToken(name []byte) bool {
	for _, b := range name {
		letter := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
		if !letter && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(b)) {
			return false
		}
	}
	return true
}

// endHead determines how the body is framed.
func (c *Checker) endHead(l Limits) *errkind.Error {
	h := &c.head
	switch {
	case h.hosts > 1 || h.hosts == 0 && h.version == "HTTP/1.1":
		return badRequest("the request has %d Host headers", h.hosts)
	case h.lengths > 1:
		return badRequest("the request has %d Content-Length headers", h.lengths)
	case h.codings > 1 || h.codings == 1 && h.lengths > 0:
		return badRequest("the request has several transfer codings, or a Content-Length next to one")
	case h.codings == 1 && h.version != "HTTP/1.1":
		return badRequest("HTTP/1.0 has no transfer codings")
	case h.length > l.Body:
		return bodyTooLarge(l)
	case h.codings == 1:
		c.state, c.size = chunkSize, 0
	case h.length > 0:
		c.state, c.remaining = plainBody, h.length
	default:
		c.state = requestLine
	}
	return nil
}

func (c *Checker) endChunkSize(line []byte, l Limits) *errkind.Error {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	if len(digits) == 0 || len(digits) > maxChunkDigits {
		return badRequest("a chunk size is invalid")
	}
	n, err := strconv.ParseUint(string(digits), 16, 32)
	if err != nil {
		return badRequest("a chunk size is invalid")
	}
	if n == 0 {
		c.state = lastChunkEnd
		return nil
	}
	if c.size += int64(n); c.size > l.Body {
		return bodyTooLarge(l)
	}
	c.state, c.remaining = chunkData, int64(n)
	return nil
}

func bodyTooLarge(l Limits) *errkind.Error {
	return errkind.New(errkind.BodyTooLarge, "the body is over %d bytes", l.Body)
}

func badRequest(format string, args ...any) *errkind.Error {
	return errkind.New(errkind.BadRequest, format, args...)
}
