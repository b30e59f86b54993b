package placement

import (
	"bufio"
	"io"
	"net/http"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/placement"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// Guards against taking an order for accepted by an answer whose head is damaged or has no valid status.
func TestOrderIsNotAcceptedByAMalformedAnswer(t *testing.T) {
	for answer, want := range map[string]placement.Result{
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":  placement.Accepted,
		"HTTP/1.1 200 OK\r\nContent Length: 0\r\n\r\n":  placement.Unknown,
		"HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n": placement.Unknown,
		"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n":  placement.Unknown,
	} {
		l := testutil.Listen(t)
		go func() {
			defer func() { _ = l.Close() }()
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, answer)
			}
		}()
		got, err := New(Config{}).send(t.Context(), placement.Order{Server: l.Addr().String(), Verb: placement.LoadModel, Model: "m"}, 1)
		if got != want {
			t.Errorf("%q: result %v, want %v (%v)", answer, got, want, err)
		}
	}
}
