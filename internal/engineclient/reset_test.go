package engineclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// Guards against an unframed answer to a long upload, a KV cache for example, that counts as whole although its connection was
// reset, since the reset was reported to the goroutine that wrote the upload.
func TestCallsWhoseConnectionIsResetDuringTheUploadFail(t *testing.T) {
	const rounds = 30 // which goroutine is told of the reset varies
	upload := make([]byte, 8<<20)
	address := startRawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart")
		time.Sleep(20 * time.Millisecond) // until the client waits for room to write
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	service := func(c *Client) error {
		_, err := c.Call(t.Context(), Request{Address: address, Method: http.MethodPost, Path: "/", Body: upload})
		return err
	}
	cache := func(c *Client) error { return c.ImportKV(t.Context(), address, "r1", upload) }
	for name, c := range map[string]struct {
		cfg  Config
		call func(*Client) error
	}{
		"service":          {Config{}, service},
		"service, bounded": {Config{Unacknowledged: time.Second, WriteStall: time.Second}, service},
		"KV cache":         {Config{}, cache},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := New(c.cfg)
			defer client.Close()
			whole := 0
			for range rounds {
				switch err := c.call(client).(type) {
				case nil:
					whole++
				case *Error:
					if err.Ran != errkind.RanUnknown || err.Cause != CauseBodyTruncated {
						t.Errorf("ran %s, cause %s: %v", err.Ran, err.Cause, err)
					}
				default:
					t.Error(err)
				}
			}
			if whole > 0 {
				t.Errorf("%d of %d answers that were reset count as whole", whole, rounds)
			}
		})
	}
}

// Guards against waiting for the rest of an upload before the end of an answer is reported: a server may close its side of the
// connection and never read on.
func TestEndOfAnAnswerDoesNotWaitForTheUpload(t *testing.T) {
	answered := make(chan struct{})
	address := startRawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nwhole")
		time.Sleep(20 * time.Millisecond) // until the client waits for room to write
		_ = c.(*net.TCPConn).CloseWrite()
		<-answered
	})
	defer close(answered)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	client := New(Config{})
	defer client.Close()
	a, err := client.Call(ctx, Request{Address: address, Method: http.MethodPost, Path: "/", Body: make([]byte, 8<<20)})
	if err != nil || ctx.Err() != nil || string(a.Body) != "whole" {
		t.Errorf("got %+v, %v, context: %v", a, err, ctx.Err())
	}
}
