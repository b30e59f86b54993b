package httpserver

import (
	"net/http"
	"sync/atomic"
)

// Bounds of what nbhttp is given of a chunked answer.
const (
	// maxBuffered is the most that may wait in nbhttp's buffer, in bytes. It leaves room for
	// the header within the 64 KiB from which nbhttp sends by itself.
	maxBuffered = 48 << 10
	// chunkFraming is the most that nbhttp adds to a chunk, in bytes.
	chunkFraming = 16
)

// response notes whether the answer has begun and keeps status codes within those
// nbhttp can send.
type response struct {
	http.ResponseWriter
	// conn is the caller's; nil in a test without one.
	conn *trackedConn
	// handlerReturned: the handler has returned.
	handlerReturned atomic.Bool
	begun           bool
	// mayChunk: the request's HTTP version allows a chunked answer.
	mayChunk bool
	// buffered bounds what waits in nbhttp's buffer.
	buffered int
}

// Unwrap gives the ResponseWriter below, as http.ResponseController expects.
func (r *response) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// abort closes the caller's connection while the handler runs.
func (r *response) abort() {
	if r.conn != nil && !r.handlerReturned.Load() {
		r.conn.closeWithCause(CauseAborted, nil)
	}
}

// WriteHeader sends status. nbhttp answers 200 to a status that net/http has no
// text for, which would turn a refusal into a success: such a status becomes the
// x00 of its class, as RFC 9110 section 15 has clients read it.
func (r *response) WriteHeader(status int) {
	if http.StatusText(status) == "" {
		status = status / 100 * 100
	}
	if http.StatusText(status) == "" {
		status = http.StatusInternalServerError
	}
	r.begun = true
	r.ResponseWriter.WriteHeader(status)
}

// Write sends part of the body. A chunked one is given to nbhttp in pieces, and what
// waits in its buffer is flushed before 64 KiB are reached.
//
// What goes wrong without it: from 64 KiB on, nbhttp 1.6.8 gives its buffer back to a
// pool that all connections share, goes on using it and gives it back again. Two
// owners then write into one buffer, seen as an answer that stops in its middle or
// holds bytes of another caller's.
func (r *response) Write(b []byte) (int, error) {
	r.begun = true
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

// Flush sends what is buffered.
func (r *response) Flush() {
	r.begun = true
	r.buffered = 0
	if f, ok := r.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}
