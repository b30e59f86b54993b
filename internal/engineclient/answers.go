package engineclient

import (
	"context"
	"net/http"
	"net/url"
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
