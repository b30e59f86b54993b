// Package parse reads what a call asks for: model or service, streaming, the output
// cap and an upper bound of the prompt in tokens. It is strict where the router
// itself relies on a field and passes on what it doesn't know.
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

// The worst case of a prompt is reckoned from the request's body. It must not
// undercount for any engine of the fleet: a stream is cut when it passes its reservation.
const (
	// bytesPerToken: one token is counted for as many bytes of the whole body.
	bytesPerToken = 2
	// tokensPerMessage are counted for each message besides.
	tokensPerMessage = 8
)

// promptBound is the most tokens that a body with the given number of messages can have.
func promptBound(bodyBytes, messages int) uint64 {
	return uint64((bodyBytes+bytesPerToken-1)/bytesPerToken + tokensPerMessage*messages)
}

// Filter fills in what a call asks for.
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
		return nil, errkind.New(errkind.BodyTooLarge, "the body is over %d bytes", limit)
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

// hash covers all that makes two requests the same.
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
