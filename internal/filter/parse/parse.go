// Package parse parses a call: model or service, streaming, the output cap and an upper bound of
// the prompt's tokens. It is strict about the fields on which the router itself relies and passes
// on all others.
package parse

import (
	"bytes"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
)

// Paths of the callers' API that run work.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PrefixServices  = "/services/"
)

// The maximum number of tokens of a prompt is derived from the request's body. It must not be an
// underestimate for any engine of the fleet: a stream is cut when it exceeds its reservation.
const (
	// bytesPerToken is the number of bytes of the whole body that are counted as one token.
	bytesPerToken = 2
	// tokensPerMessage is the number of tokens added for each message.
	tokensPerMessage = 8
)

// promptBound returns the maximum number of tokens of a body with the given number of messages.
func promptBound(bodyBytes, messages int) uint64 {
	return uint64((bodyBytes+bytesPerToken-1)/bytesPerToken + tokensPerMessage*messages)
}

// Filter sets the fields of a call that describe its request.
type Filter struct{ Settings filter.Settings }

// ServeHTTP implements filter.Filter.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	c := filter.CallFrom(r.Context())
	body, err := readBody(r, f.Settings.Fleet().MaxBodyBytes)
	if err != nil {
		return err
	}
	if c.Idempotent, err = idempotent(r.Header.Get(filter.HeaderNotIdempotent)); err != nil {
		return err
	}
	if c.Kind == filter.WorkService {
		err = f.service(c, r, body)
	} else {
		err = f.model(c, body)
	}
	if err != nil {
		return err
	}
	return next.ServeHTTP(w, r)
}

func readBody(r *http.Request, limit int64) ([]byte, error) {
	if r.Body == nil {
		return nil, nil
	}
	var b bytes.Buffer
	if r.ContentLength > 0 && r.ContentLength <= limit {
		b.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	if _, err := b.ReadFrom(io.LimitReader(r.Body, limit+1)); err != nil {
		return nil, errkind.New(errkind.BadRequest, "the body can't be read: %v", err)
	}
	if int64(b.Len()) > limit {
		return nil, errkind.New(errkind.BodyTooLarge, "the body exceeds %d bytes", limit)
	}
	return b.Bytes(), nil
}

func idempotent(header string) (bool, error) {
	switch header {
	case "", "false":
		return true, nil
	case "true":
		return false, nil
	}
	return false, errkind.New(errkind.BadRequest, "header %s is neither true nor false", filter.HeaderNotIdempotent)
}

// hash returns a hash of everything that makes two requests the same.
func hash(method, path, query string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{method, path, query} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

func allowed(list []string, name string) bool {
	if len(list) == 0 {
		return true
	}
	for _, v := range list {
		if v == name {
			return true
		}
	}
	return false
}
