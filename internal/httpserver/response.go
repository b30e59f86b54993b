package httpserver

import (
	"net/http"
)

// response notes whether the answer has begun and keeps status codes within those
// nbhttp can send.
type response struct {
	http.ResponseWriter
	begun bool
}

// Unwrap gives the ResponseWriter below, as http.ResponseController expects.
func (r *response) Unwrap() http.ResponseWriter { return r.ResponseWriter }

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

// Write sends part of the body.
func (r *response) Write(b []byte) (int, error) {
	r.begun = true
	return r.ResponseWriter.Write(b)
}

// Flush sends what is buffered.
func (r *response) Flush() {
	r.begun = true
	if f, ok := r.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}
