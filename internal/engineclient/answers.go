package engineclient

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"syscall"
)

// Answers reports whether a server answers a GET of a path, with any status, over a new
// connection. A server that accepts the connection and sends nothing until ctx ends is busy
// and also counts as answering. A 421 (Misdirected Request) does not count: another server has
// taken over the address.
func (c *Client) Answers(ctx context.Context, address, path string) bool {
	u := &url.URL{Scheme: "http", Host: address, Path: path}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return false
	}
	var trace exchangeTrace
	res, err := c.oneShot.RoundTrip(req.WithContext(trace.withTrace(ctx)))
	if err != nil {
		return trace.conn != nil && ctx.Err() != nil
	}
	_ = res.Body.Close()
	return res.StatusCode != http.StatusMisdirectedRequest
}

// Accepts reports whether a server's machine accepts a new connection to the server. It is false only if
// the connection is refused, as it is once a server's process has ended.
func (c *Client) Accepts(ctx context.Context, address string) bool {
	dial := c.cfg.Dial
	if dial == nil {
		dial = Direct(c.cfg)
	}
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return !errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return true
}
