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
	r := Request{Address: address, Method: http.MethodGet, Path: kvPath(engineRequestID), Fresh: true}
	res, err := c.exchange(ctx, r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	kv, err := io.ReadAll(io.LimitReader(res.Body, maxKV+1))
	switch {
	case err != nil:
		return nil, truncated(res, err.Error())
	case Unframed(res):
		return nil, truncated(res, "the KV cache has neither a length nor chunks, and may be truncated")
	case len(kv) > maxKV:
		return nil, &Error{Ran: errkind.RanUnknown, Status: res.StatusCode, Message: "the KV cache is larger than the limit"}
	}
	return kv, nil
}

// ImportKV sends an exported KV cache to an engine, which continues the run under the ID
// engineRequestID; Resume reads its stream.
func (c *Client) ImportKV(ctx context.Context, address, engineRequestID string, kv []byte) error {
	res, err := c.exchange(ctx, Request{Address: address, Method: http.MethodPost, Path: kvPath(engineRequestID), Fresh: true,
		ContentType: "application/json", Body: kv})
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxKV)); err != nil {
		return truncated(res, err.Error())
	}
	return nil
}

func kvPath(id string) string { return "/kv/" + url.PathEscape(id) }
