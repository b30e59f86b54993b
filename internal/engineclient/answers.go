package engineclient

import (
	"context"
	"net/http"
	"net/url"
)

// Answers tells whether a server answers a GET of a path over a new connection, with whatever
// status. One that takes the connection and is silent until ctx ends is busy, and counts as
// well. One that another server has taken the address of does not.
func (c *Client) Answers(ctx context.Context, address, path string) bool {
	u := &url.URL{Scheme: "http", Host: address, Path: path}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return false
	}
	var d exchangeTrace
	res, err := c.oneShot.RoundTrip(req.WithContext(d.withTrace(ctx)))
	if err != nil {
		return d.conn != nil && ctx.Err() != nil
	}
	_ = res.Body.Close()
	return res.StatusCode != http.StatusMisdirectedRequest
}
