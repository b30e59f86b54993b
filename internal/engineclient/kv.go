package engineclient

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// maxKV bounds the size of an exported KV cache, in bytes.
const maxKV = 64 << 20

// ExportKV reads a run's KV cache, in the engine's own format, so that another engine can
// continue the run without processing its prompt again.
func (c *Client) ExportKV(ctx context.Context, address, engineRequestID string) ([]byte, error) {
	return c.kv(ctx, Request{Address: address, Method: http.MethodGet, Path: kvPath(engineRequestID), Fresh: true})
}

// ImportKV sends an exported KV cache to an engine, which continues the run under the ID
// engineRequestID; Resume reads its stream.
func (c *Client) ImportKV(ctx context.Context, address, engineRequestID string, kv []byte) error {
	_, err := c.kv(ctx, Request{Address: address, Method: http.MethodPost, Path: kvPath(engineRequestID), Fresh: true,
		ContentType: "application/json", Body: kv})
	return err
}

func kvPath(id string) string { return "/kv/" + url.PathEscape(id) }

func (c *Client) kv(ctx context.Context, r Request) ([]byte, error) {
	res, err := c.exchange(ctx, r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxKV))
	if err != nil {
		return nil, &Error{Ran: errkind.RanUnknown, Status: res.StatusCode, Message: err.Error()}
	}
	return body, nil
}
