package engineclient

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// Forward is a caller's request to be sent to a backend server unchanged, except for the
// headers that concern a single connection.
type Forward struct {
	Address string
	Method  string
	// Target is the path and query as in the caller's request line.
	Target string
	// Host header of the caller.
	Host   string
	Header http.Header
	Body   []byte
	// Sent is called, possibly more than once, when the body is sent or given up; nil: no call.
	Sent func()
	// MayReuse reports whether the connection of an answer may be used again; nil: it may. It is called once for each answer.
	MayReuse func(res *http.Response, reused bool) bool
	// Early is set if the answer arrived before the whole request was sent.
	Early bool
	// Opened is when the connection of the answer was opened.
	Opened time.Time
	// Reused is set if the connection of the answer had been used before. What arrives on it may then be a late answer to an
	// earlier request.
	Reused bool
	// Via is the peer host through which the connection went; empty: none.
	Via string
}

// Forward sends a request once and returns the answer with an open body. The error is an
// *Error; its Ran is "no" only if no byte of the request was written to a connection.
//
// If a reused connection ends before a byte was written, the request is sent on another one:
// the server closed the connection because it was idle, which is no sign of a fault, and the
// request did not reach it. net/http does this only for requests without a body. At most
// IdlePerServer connections can have ended this way; the next one is new.
func (c *Client) Forward(ctx context.Context, f *Forward) (*http.Response, error) {
	for unsent := 0; ; unsent++ {
		res, trace, err := c.forward(ctx, f)
		f.Via = trace.via()
		if err == nil {
			f.Early, f.Opened, f.Reused = !trace.encoded.Load(), trace.opened(), trace.reused
			if f.Via != "" {
				res.Body = connCloser{res.Body, trace.conn}
			}
			return res, nil
		}
		if !trace.reused || !trace.unsent() || ctx.Err() != nil || unsent > c.cfg.IdlePerServer {
			return nil, err
		}
	}
}

// forward makes one attempt of Forward.
func (c *Client) forward(ctx context.Context, f *Forward) (*http.Response, *exchangeTrace, error) {
	trace := &exchangeTrace{}
	u, err := url.ParseRequestURI(f.Target)
	if err != nil {
		return nil, trace, &Error{Ran: errkind.RanNo, Cause: CauseInvalid, Message: err.Error()}
	}
	u.Scheme, u.Host = "http", f.Address
	req := (&http.Request{
		Method: f.Method, URL: u, Host: f.Host, Header: f.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: body(f), ContentLength: int64(len(f.Body)),
	}).WithContext(trace.withTrace(ctx))
	if _, given := f.Header["User-Agent"]; !given {
		f.Header["User-Agent"] = []string{""} // otherwise net/http sends its own User-Agent
	}
	res, err := c.pool(f.Address).RoundTrip(req)
	if err != nil {
		defer trace.decideReuse(false)
		return nil, trace, trace.failure(ctx, err)
	}
	trace.decideReuse(f.MayReuse == nil || f.MayReuse(res, trace.reused))
	return res, trace, nil
}

// body returns the request's body in a form that keeps net/http from sending the request
// twice.
//
// With http.NoBody, or a body that can be read again, net/http resends a GET, or any request
// with an Idempotency-Key, by itself when a reused connection ends during the request. The
// server then sees two requests although the retry budget was not consulted. net/http never
// resends a request whose body it can't read again.
//
// With other methods, such as POST, an empty body of this form would be sent as chunks. For
// those the Idempotency-Key header is hidden from net/http, which looks only for its canonical
// spelling.
func body(f *Forward) io.ReadCloser {
	if len(f.Body) > 0 || isUsuallyBodyless(f.Method) {
		b := singleReadBody{bytes.NewReader(f.Body)}
		if f.Sent == nil {
			return b
		}
		return reportedBody{b, f.Sent}
	}
	for _, key := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, given := f.Header[key]; given {
			delete(f.Header, key)
			f.Header[strings.ToLower(key)] = values
		}
	}
	return http.NoBody
}

// isUsuallyBodyless reports whether net/http sends no body with the method before it has read
// the body's first byte.
func isUsuallyBodyless(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

// connCloser closes the connection of an answer with its body. A connection through a peer is used for
// one request: the next one may take a better path, and the peer can leave.
type connCloser struct {
	io.ReadCloser
	conn io.Closer
}

// Close implements io.Closer.
func (c connCloser) Close() error {
	err := c.ReadCloser.Close()
	_ = c.conn.Close()
	return err
}

// singleReadBody is a request body that can be read only once.
type singleReadBody struct{ *bytes.Reader }

// Close implements io.Closer.
func (singleReadBody) Close() error { return nil }

// reportedBody is a singleReadBody that calls sent when net/http has sent it or given it up.
type reportedBody struct {
	singleReadBody
	sent func()
}

// Close implements io.Closer.
func (b reportedBody) Close() error {
	b.sent()
	return nil
}

var _ io.ReadCloser = singleReadBody{}
