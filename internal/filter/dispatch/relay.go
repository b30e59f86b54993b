package dispatch

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellsail/bluebellsail/internal/filter"
)

const streamType = "text/event-stream"

// relay passes on a stream to a caller that asked for one. No token is sent twice: of a second run
// it skips as many tokens as the caller has, and continues only if they are the same ones, since
// the answer would otherwise be a mixture of two runs.
type relay struct {
	w    http.ResponseWriter
	c    *filter.Call
	skip uint64
	seen uint64
	hash xxhash.Digest
	out  []byte
	// finished is set once the chunk with the finish reason was sent.
	finished bool
}

func newRelay(w http.ResponseWriter, c *filter.Call) *relay {
	r := &relay{w: w, c: c, skip: c.Answer.Tokens}
	r.hash.Reset()
	return r
}

// chunk implements sink.
func (r *relay) chunk(raw []byte, ch *chunk) error {
	if !ch.isToken() {
		return r.nonToken(raw, ch)
	}
	r.seen++
	_, _ = r.hash.WriteString(ch.text())
	if r.seen > r.skip {
		r.c.Answer.Tokens, r.c.Answer.TextHash = r.seen, r.hash.Sum64()
		r.send(raw)
		return nil
	}
	ended := r.seen < r.skip && ch.finishes()
	if ended || r.seen == r.skip && r.hash.Sum64() != r.c.Answer.TextHash {
		return errDiverged
	}
	return nil
}

// nonToken processes a chunk without a token: the role at the beginning, the finish reason, or the
// usage.
func (r *relay) nonToken(raw []byte, ch *chunk) error {
	switch {
	case ch.finishes():
		if r.seen < r.skip {
			return errDiverged
		}
		if !r.finished {
			r.finished = true
			r.send(raw)
		}
	case len(ch.Choices) == 0 && ch.Usage != nil:
		if r.c.WantsUsage {
			r.send(raw)
		}
	case !r.c.Answer.Begun:
		r.send(raw)
	}
	return nil
}

// send queues one event for the caller.
func (r *relay) send(raw []byte) {
	if bytes.IndexByte(raw, '\n') >= 0 {
		var one bytes.Buffer
		if json.Compact(&one, raw) == nil {
			raw = one.Bytes()
		}
	}
	r.begin()
	r.out = append(r.out, "data: "...)
	r.out = append(r.out, raw...)
	r.out = append(r.out, "\n\n"...)
}

func (r *relay) begin() {
	a := &r.c.Answer
	if a.Begun {
		return
	}
	a.Begun, a.Status, a.ContentType = true, http.StatusOK, streamType
	h := r.w.Header()
	h.Set("Content-Type", streamType)
	h.Set("Cache-Control", "no-cache")
	r.w.WriteHeader(http.StatusOK)
}

// flush implements sink.
func (r *relay) flush() {
	if len(r.out) == 0 {
		return
	}
	appendAnswer(&r.c.Answer, r.out)
	_, _ = r.w.Write(r.out) // a closed connection is detected by the callergone filter
	r.out = r.out[:0]
	if fl, ok := r.w.(http.Flusher); ok {
		fl.Flush()
	}
}

// end implements sink.
func (r *relay) end() error {
	r.begin()
	r.out = append(r.out, "data: "+doneData+"\n\n"...)
	r.flush()
	return nil
}
