package main

import (
	"context"
	"io"
	"net/http"
	"time"
)

func do(req *http.Request, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(req.Context(), timeout)
	defer cancel()
	res, err := plainClient.Do(req.WithContext(ctx))
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, b, err
}
