package engineclient

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/engineclient/answerhead"
)

// acceptTimeout bounds the check whether a server accepts connections.
const acceptTimeout = 250 * time.Millisecond

// Liveness is what one probe shows about a server.
type Liveness int

// Results of a probe.
const (
	// Gone: the machine refused the connection or ended it, or another server has taken over the
	// address and answers 421 (Misdirected Request).
	Gone Liveness = iota
	// Unheard: nothing arrived from the machine, which says nothing about the server.
	Unheard
	// Alive: the server gave any other answer, a malformed one too, or accepted the connection and sent nothing, as
	// busy servers do.
	Alive
)

// Probe sends a GET of a path over a new connection, and waits for an answer until ctx ends.
func (c *Client) Probe(ctx context.Context, address, path string) Liveness {
	u := &url.URL{Scheme: "http", Host: address, Path: path}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return Gone
	}
	var trace exchangeTrace
	res, err := c.oneShot.RoundTrip(req.WithContext(trace.withTrace(ctx)))
	if err != nil {
		return livenessOf(ctx, &trace, err)
	}
	_ = res.Body.Close()
	if res.StatusCode == http.StatusMisdirectedRequest {
		return Gone
	}
	return Alive
}

// livenessOf returns what a probe without an answer shows.
func livenessOf(ctx context.Context, trace *exchangeTrace, err error) Liveness {
	if trace.hasConn() {
		if ctx.Err() != nil || errors.Is(err, answerhead.ErrMalformed) {
			return Alive
		}
		return Gone
	}
	switch dialCause(ctx, err) {
	case CauseRequestEnded, CauseDialTimeout:
		return Unheard
	}
	return Gone
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

// serverEnded reports whether a server's process has ended, as far as a new connection shows.
func (c *Client) serverEnded(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	return !c.Accepts(ctx, address)
}
