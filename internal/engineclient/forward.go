package engineclient

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// Forward is a caller's request on its way to a backend server, byte for byte but for
// the headers that concern one connection.
type Forward struct {
	Address string
	Method  string
	// Target is the path and query as they stood in the caller's request line.
	Target string
	// Host header of the caller.
	Host   string
	Header http.Header
	Body   []byte
	// Early is set with an answer that came before all of the request was sent.
	Early bool
}

// Forward sends a request once and returns the answer with an open body. The error is
// an *Error; its Ran is "no" only if no byte of the request was written to a connection.
//
// A kept connection that ends before a byte was written is left for another one: the
// server closed it for idleness, which says nothing about the server and reached it in
// no way. net/http does so only with requests that have no body. As many as are kept may have
// ended so; after them the connection is a new one.
func (c *Client) Forward(ctx context.Context, f *Forward) (*http.Response, error) {
	for unsent := 0; ; unsent++ {
		res, d, err := c.forward(ctx, f)
		if err == nil {
			f.Early = !d.encoded.Load()
			return res, nil
		}
		if !d.reused || !d.unsent() || ctx.Err() != nil || unsent > c.cfg.IdlePerServer {
			return nil, err
		}
	}
}

// forward makes one try of Forward.
func (c *Client) forward(ctx context.Context, f *Forward) (*http.Response, *exchangeTrace, error) {
	d := &exchangeTrace{}
	u, err := url.ParseRequestURI(f.Target)
	if err != nil {
		return nil, d, &Error{Ran: errkind.RanNo, Cause: CauseInvalid, Message: err.Error()}
	}
	u.Scheme, u.Host = "http", f.Address
	req := (&http.Request{
		Method: f.Method, URL: u, Host: f.Host, Header: f.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: body(f), ContentLength: int64(len(f.Body)),
	}).WithContext(d.withTrace(ctx))
	if _, given := f.Header["User-Agent"]; !given {
		f.Header["User-Agent"] = []string{""} // net/http would name itself
	}
	res, err := c.pool(f.Address).RoundTrip(req)
	if err != nil {
		return nil, d, d.failure(ctx, err)
	}
	return res, d, nil
}

// body is the request's body in a form that keeps net/http from sending it twice.
//
// What goes wrong with http.NoBody, or a body that can be had again: when a kept
// connection dies under a request, net/http sends a GET, or any request with an
// Idempotency-Key, a second time by itself. The server sees two arrivals, and no retry
// allowance was asked. It repeats no request whose body it can't have again.
//
// An empty body of that form would be sent in chunks with a POST. There the header is
// hidden from net/http instead, which looks for its usual spelling only.
func body(f *Forward) io.ReadCloser {
	if len(f.Body) > 0 || isUsuallyBodyless(f.Method) {
		return singleReadBody{bytes.NewReader(f.Body)}
	}
	for _, key := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, given := f.Header[key]; given {
			delete(f.Header, key)
			f.Header[strings.ToLower(key)] = values
		}
	}
	return http.NoBody
}

// isUsuallyBodyless tells whether net/http sends no body of the method before it has seen
// its first byte.
func isUsuallyBodyless(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

// singleReadBody is a request body that can be read a single time.
type singleReadBody struct{ *bytes.Reader }

// Close implements io.Closer.
func (singleReadBody) Close() error { return nil }

var _ io.ReadCloser = singleReadBody{}
