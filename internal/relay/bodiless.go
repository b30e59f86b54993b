package relay

import "net/http"

// headWriter answers a HEAD request: it drops the body that handlers write.
//
// Without it the HTTP server would take an answer without a Content-Length for a chunked one and
// send the terminating chunk, and it would send the body of a refusal. The caller expects the next
// answer at that point of its kept-alive connection and sees malformed answers after HEAD requests.
type headWriter struct{ http.ResponseWriter }

// writerFor returns the writer for an answer to a request with the given method: w, or a headWriter
// for HEAD.
func writerFor(w http.ResponseWriter, method string) http.ResponseWriter {
	if method != http.MethodHead {
		return w
	}
	return headWriter{w}
}

// Unwrap returns the underlying ResponseWriter, as http.ResponseController expects.
func (b headWriter) Unwrap() http.ResponseWriter { return b.ResponseWriter }

// WriteHeader sends the status. An answer of unknown length gets a Content-Length of 0, since the
// HTTP server would otherwise send it as chunked.
func (b headWriter) WriteHeader(status int) {
	h := b.Header()
	if h.Get("Content-Length") == "" && status != http.StatusNoContent && status != http.StatusNotModified {
		h.Set("Content-Length", "0")
	}
	b.ResponseWriter.WriteHeader(status)
}

// Write discards p.
func (headWriter) Write(p []byte) (int, error) { return len(p), nil }

// Flush sends the headers.
func (b headWriter) Flush() {
	if f, ok := b.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}
