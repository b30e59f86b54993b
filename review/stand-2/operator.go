package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// operator sends orders as PROTOCOL.md says: to one node that serves them, after a failure, a 5xx or a
// second without an answer to another one.
type operator struct {
	fleet *fleet
	rec   *record
}

// order sends an order until it is acknowledged, to the given machines first and then to all others
// in turn. It returns the machine that acknowledged it and when.
func (o *operator) order(method, path string, body []byte, first ...*machine) (*machine, time.Time, error) {
	targets := append(first[:len(first):len(first)], o.fleet.machines...)
	pause := 50 * time.Millisecond
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		for _, m := range targets {
			status, text, err := o.call(method, "http://"+m.address(portControl)+path, body, 0)
			o.rec.line("operator: %s %s at %s: status %d %s %s", method, path, m.name, status, strings.TrimSpace(text), errText(err))
			if err == nil && status/100 == 2 {
				return m, time.Now(), nil
			}
			if status >= 400 && status < 500 {
				return nil, time.Time{}, fmt.Errorf("%s %s: status %d: %s", method, path, status, text)
			}
			time.Sleep(pause)
			pause = min(2*pause, time.Second)
		}
	}
	return nil, time.Time{}, fmt.Errorf("%s %s is not acknowledged", method, path)
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// call makes one call, which may take a second, and follows two redirects.
func (o *operator) call(method, url string, body []byte, redirects int) (status int, text string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	transport := &http.Transport{DisableKeepAlives: true}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode == http.StatusTemporaryRedirect && redirects < 2 {
		return o.call(method, res.Header.Get("Location"), body, redirects+1)
	}
	b, _ := io.ReadAll(io.LimitReader(res.Body, 300))
	return res.StatusCode, string(b), nil
}
