// Package framing checks that the bytes of a connection are HTTP/1 requests which every
// reader reads alike, before the server's parser sees them. It is pure: bytes in,
// verdicts out.
//
// What goes wrong without it: the parser of nbhttp takes what RFC 9112 forbids. Of two
// Content-Length headers it uses the first, beside Transfer-Encoding it ignores the
// length, it reads the chunk size "0x5" as 0, takes a line break within a chunk
// extension for part of it, a folded line for a header of its own, and a method in small
// letters for one in capitals. Whoever reads the same bytes by the book, such as a proxy
// before us, sees other requests in them: a caller can hide one in the body of another
// and have it run under a key that is not its own.
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

// Phase is how far the request that is being read has come.
type Phase int

// The phases.
const (
	// Idle: no byte of a request has come.
	Idle Phase = iota
	// Head: the request line or headers are being read.
	Head
	// Body: the head is whole, the body is not.
	Body
)

// state says what the next bytes belong to.
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
	// maxChunkLine bounds a chunk's size line with its extensions, in bytes.
	maxChunkLine = 256
	// maxChunkDigits bounds a chunk's size to 32 bits.
	maxChunkDigits = 8
	// maxLengthDigits keeps a Content-Length within 63 bits.
	maxLengthDigits = 18
)

// Checker follows one connection. It is not safe for concurrent use.
type Checker struct {
	state state
	// line is what has come of a line whose end has not.
	line []byte
	head head
	// remaining is how many bytes of the plain body or of the chunk are missing.
	remaining int64
	// size is what has come of a chunked body.
	size  int64
	begun uint64
}

// head is what a request's headers have said.
type head struct {
	bytes   int64
	version string
	hosts   int
	lengths int
	codings int
	length  int64
}

// Phase tells how far the present request has come.
func (c *Checker) Phase() Phase {
	switch {
	case c.state == requestLine && len(c.line) == 0:
		return Idle
	case c.state <= headerLine:
		return Head
	}
	return Body
}

// Missing is how many bytes of the request that is being read are still to come, as far as
// its headers have said.
func (c *Checker) Missing() int64 {
	if c.state != plainBody {
		return 0
	}
	return c.remaining
}

// Begun counts the requests of which a byte has come.
func (c *Checker) Begun() uint64 { return c.begun }

// Check takes the next bytes of the connection. It returns how many of them may go on to
// the parser: all, or with an error those before the line that has the fault. After an
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

// step consumes some of data.
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

// skip passes over body bytes.
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

// readLine takes a line, or the part of one that is there.
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
		return 0, badRequest("a line holds control characters")
	}
	return len(part), c.endLine(text, l)
}

// checkLength refuses a line that makes its part of the request too long.
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

// isPlainText tells whether a line is free of control characters, tabs aside.
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
		return badRequest("a chunk is followed by something else than its end")
	}
	return nil
}

// methods are those that the server takes; a name in other letters is another method.
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
		return badRequest("the method %q is not known", method)
	case !isPlainTarget(target):
		return badRequest("the request's target is not a plain path")
	case version != "HTTP/1.1" && version != "HTTP/1.0":
		return badRequest("the version %q is not known", version)
	}
	c.head.version = version
	c.state = headerLine
	return nil
}

// isPlainTarget tells whether a target is a path in visible ASCII with whole escapes.
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
		return badRequest("a header has no proper name")
	}
	value := strings.Trim(string(line[colon+1:]), " \t")
	switch strings.ToLower(string(line[:colon])) {
	case "host":
		c.head.hosts++
	case "trailer":
		return badRequest("trailers are not taken")
	case "content-length":
		return c.parseLength(value)
	case "transfer-encoding":
		c.head.codings++
		if !strings.EqualFold(value, "chunked") {
			return badRequest("the transfer coding %q is not known", value)
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

// isToken tells whether name is made of the characters of a header's name.
func isToken(name []byte) bool {
	for _, b := range name {
		letter := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
		if !letter && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(b)) {
			return false
		}
	}
	return true
}

// endHead decides how the body is framed.
func (c *Checker) endHead(l Limits) *errkind.Error {
	h := &c.head
	switch {
	case h.hosts > 1 || h.hosts == 0 && h.version == "HTTP/1.1":
		return badRequest("the request has %d Host headers", h.hosts)
	case h.lengths > 1:
		return badRequest("the request has %d lengths", h.lengths)
	case h.codings > 1 || h.codings == 1 && h.lengths > 0:
		return badRequest("the request's length is given in more than one way")
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
		return badRequest("a chunk has no proper size")
	}
	n, err := strconv.ParseUint(string(digits), 16, 32)
	if err != nil {
		return badRequest("a chunk has no proper size")
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
