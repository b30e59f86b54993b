package httpserver

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
)

// Bounds of what is passed to nbhttp of a chunked answer.
const (
	// maxBuffered bounds the bytes in nbhttp's buffer. It leaves room for the header within
	// the 64 KiB at which nbhttp sends by itself.
	maxBuffered = 48 << 10
	// chunkFraming is the maximum that nbhttp adds to a chunk, in bytes.
	chunkFraming = 16
)

// response records whether the answer has begun and sends statuses that nbhttp does not know.
type response struct {
	http.ResponseWriter
	// request is nbhttp's, not a copy.
	request *http.Request
	// conn is the caller's connection; nil in tests without one.
	conn *trackedConn
	// handlerReturned: the handler has returned.
	handlerReturned atomic.Bool
	begun           bool
	// mayChunk: the request's HTTP version allows a chunked answer.
	mayChunk bool
	// buffered is an upper bound of the bytes in nbhttp's buffer.
	buffered int
}

// Unwrap returns the wrapped ResponseWriter, as http.ResponseController expects.
func (r *response) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// abort closes the caller's connection while the handler runs.
func (r *response) abort() {
	if r.conn != nil && !r.handlerReturned.Load() {
		r.conn.closeWithCause(CauseAborted, nil)
	}
}

// Statuses of final answers (RFC 9110, section 15).
const (
	minStatus = 200
	maxStatus = 599
)

// WriteHeader sends status, or 500 in place of one that no final answer may have.
//
// nbhttp sends 200 for a status that net/http has no text for. It gets the first one of the class for that, and the status
// itself goes with the protocol version, which nbhttp writes before it: "HTTP/1.1 520 500 Internal Server Error". What
// nbhttp writes is then the reason phrase, which has no meaning to clients (RFC 9112, section 4).
func (r *response) WriteHeader(status int) {
	switch {
	case r.begun || http.StatusText(status) != "":
	case status < minStatus || status > maxStatus:
		status = http.StatusInternalServerError
	default:
		r.request.Proto += " " + strconv.Itoa(status)
		status -= status % 100
	}
	r.begun = true
	r.ResponseWriter.WriteHeader(status)
}

// Write sends part of the body. A chunked body is passed to nbhttp in pieces, and nbhttp's
// buffer is flushed before it reaches 64 KiB.
//
// From 64 KiB on, nbhttp 1.6.8 returns its buffer to a pool shared by all connections,
// continues to use it and returns it again. Two owners then write into one buffer: an answer
// stops in the middle or contains bytes of another caller's answer.
//
// nbhttp doesn't fail a write to a closed connection; Write does.
func (r *response) Write(b []byte) (int, error) {
	r.begun = true
	if r.conn != nil && r.conn.isClosed() {
		return 0, net.ErrClosed
	}
	if !r.mayChunk || r.Header().Get("Content-Length") != "" {
		return r.ResponseWriter.Write(b)
	}
	written := 0
	for written < len(b) {
		piece := b[written:min(written+maxBuffered-chunkFraming, len(b))]
		if r.buffered+len(piece)+chunkFraming > maxBuffered {
			r.Flush()
		}
		r.buffered += len(piece) + chunkFraming
		n, err := r.ResponseWriter.Write(piece)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Flush sends the buffered bytes. To a caller that can't read chunks, an answer without a length is
// sent as a whole when the handler has returned: nbhttp would state the length of the part that is
// buffered now, and the caller would take that part for the whole answer.
func (r *response) Flush() {
	r.begun = true
	if !r.mayChunk && r.Header().Get("Content-Length") == "" {
		return
	}
	r.buffered = 0
	if r.conn != nil && r.conn.isClosed() {
		return
	}
	if f, ok := r.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}
