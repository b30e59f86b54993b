package relay

import "net/http"

// headWriter answers a HEAD request: whatever is written of a body stays here.
//
// What goes wrong without it: the server below takes an answer without a Content-Length
// for a chunked one and sends the last chunk, and it sends a refusal's words. The caller
// expects the next answer at that point of its kept connection; one would notice
// malformed answers after HEAD requests.
type headWriter struct{ http.ResponseWriter }

// writerFor is w for an answer to a request with the method.
func writerFor(w http.ResponseWriter, method string) http.ResponseWriter {
	if method != http.MethodHead {
		return w
	}
	return headWriter{w}
}

// Unwrap gives the ResponseWriter below, as http.ResponseController expects.
func (b headWriter) Unwrap() http.ResponseWriter { return b.ResponseWriter }

// WriteHeader sends status. An answer whose length nobody knows gets one of 0, since the
// server below can't send a head without one that is not chunked.
func (b headWriter) WriteHeader(status int) {
	h := b.Header()
	if h.Get("Content-Length") == "" && status != http.StatusNoContent && status != http.StatusNotModified {
		h.Set("Content-Length", "0")
	}
	b.ResponseWriter.WriteHeader(status)
}

// Write drops p.
func (headWriter) Write(p []byte) (int, error) { return len(p), nil }

// Flush sends the head.
func (b headWriter) Flush() {
	if f, ok := b.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}
